//! Admission control: how much is shed when servers are overloaded, and which classes first.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::load::{OVERLOADED_LATENCY_RATIO, RECOVERED_LATENCY_RATIO};
use super::table::ClassAdmission;
use crate::interface::{Action, AdmissionMode, ClassId, Micros, ProxyId};

/// A median queue of this length counts as the overloaded latency ratio.
const OVERLOADED_QUEUE_LENGTH: f64 = 2.0;
/// Fewer attempts than this don't show overload: the first reports after a start cover a few requests only.
const MIN_OVERLOAD_ATTEMPTS: f64 = 30.0;
/// Queue lengths that only probes report show recovery while no more than this ratio of attempts fails, as
/// servers that reject attempts reject probes, too.
const MAX_ERROR_RATIO: f64 = 0.1;

/// A cut leaves at least this multiple of the ratio that the servers can serve.
const MIN_RATIO_AFTER_CUT: f64 = 0.55;
/// Until reports can show the effect of a cut, a further one must be below this ratio of what is admitted.
const FURTHER_CUT_RATIO: f64 = 0.75;
/// Least time until reports can show the effect of a cut.
const CUT_EFFECT_DELAY: Micros = 2_500_000;
/// Recovery is fast up to this multiple of the ratio that servers could serve when overload began, then slow.
const FAST_RECOVERY_RATIO: f64 = 0.75;
/// Growth of the admitted ratio in fast recovery, per second at a latency ratio of 0.
const FAST_RECOVERY_PER_SECOND: f64 = 1.0;
/// The same in slow recovery.
const SLOW_RECOVERY_PER_SECOND: f64 = 0.1;

/// Least admitted ratio of all requests, and of each class.
const MIN_ADMITTED_RATIO: f64 = 0.15;
/// Least admitted ratio of the most valuable class.
const MIN_TOP_CLASS_ADMITTED_RATIO: f64 = 0.6;

/// A rate that admits everything, in requests per second.
const UNLIMITED_PER_SECOND: f64 = 1e6;
/// A client whose request is rejected at admission repeats it, up to this many attempts in all.
const CLIENT_ATTEMPTS_PER_REQUEST: f64 = 3.0;
/// Number of classes that get admission levels.
const MAX_CLASSES: usize = 16;

/// Whether the next cut begins a new overload. Not whether requests are shed: that ends when `shed_fraction`
/// is back at 0, as a rule later than `Recovered`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OverloadState {
    #[default]
    Recovered,
    /// From the first cut until the latency ratio falls to [`RECOVERED_LATENCY_RATIO`].
    Overloaded,
}

/// State of admission control.
#[derive(Default)]
pub(super) struct AdmissionController {
    /// Ratio of all requests that is shed.
    pub(super) shed_fraction: f64,
    /// True: so little is admitted that servers still warming up can serve their part of it.
    pub(super) warming_servers_suffice: bool,
    state: OverloadState,
    /// The ratio that servers could serve when overload last began.
    sustainable_ratio: f64,
    /// Admitted ratio before the newest cut.
    ratio_before_cut: f64,
    /// Least admitted ratio that the newest cut may leave.
    cut_floor: f64,
    /// Until then reports can't show the effect of the newest cut.
    effect_unknown_until: Micros,
}

/// What a round knows about overload.
struct OverloadSignal {
    /// The latency ratio that is taken for the fleet's.
    latency_ratio: f64,
    /// The latency ratio that the median queue length counts as, where load reports contain it.
    queue_latency_ratio: Option<f64>,
    /// True: there is evidence enough to shed.
    shows_overload: bool,
}

impl OverloadSignal {
    /// True: recent reports show a latency or a queue length.
    fn is_known(&self) -> bool {
        self.latency_ratio > 0.0 || self.queue_latency_ratio.is_some()
    }
}

impl AdmissionController {
    /// Begins a cut from the ratio `admitted`. `servable_ratio` is what the servers can serve: the admitted
    /// ratio, or peak goodput over usual request rate if that is less.
    fn start_cut(&mut self, admitted: f64, servable_ratio: f64) {
        if self.state == OverloadState::Recovered {
            self.sustainable_ratio = servable_ratio;
        }
        self.state = OverloadState::Overloaded;
        self.ratio_before_cut = admitted;
        self.cut_floor = MIN_RATIO_AFTER_CUT * servable_ratio;
    }

    /// Ratio to admit at this latency ratio: `ratio_before_cut` times (overloaded / latency ratio)², and no
    /// less than `cut_floor`. It is computed from the ratio before the cut, so that repeated calls do not add
    /// up.
    fn cut(&self, latency_ratio: f64) -> f64 {
        let factor = (OVERLOADED_LATENCY_RATIO / latency_ratio).powi(2);
        (self.ratio_before_cut * factor).max(self.cut_floor)
    }

    /// The admitted ratio after `elapsed_seconds` of recovery; growth falls to 0 as the latency ratio nears
    /// [`OVERLOADED_LATENCY_RATIO`].
    fn recover(&mut self, admitted: f64, latency_ratio: f64, elapsed_seconds: f64) -> f64 {
        if latency_ratio <= RECOVERED_LATENCY_RATIO {
            self.state = OverloadState::Recovered;
        }
        let fast = admitted < self.sustainable_ratio * FAST_RECOVERY_RATIO;
        let per_second = if fast { FAST_RECOVERY_PER_SECOND } else { SLOW_RECOVERY_PER_SECOND };
        let headroom = 1.0 - latency_ratio / OVERLOADED_LATENCY_RATIO;
        admitted + admitted * per_second * elapsed_seconds * headroom
    }
}

impl Policy {
    /// Updates how much is shed, `elapsed_seconds` after the last round.
    ///
    /// Guards against overload: cuts what is admitted by the square of how far the latency ratio lies above
    /// [`OVERLOADED_LATENCY_RATIO`], and lets it grow again below. Cost: other trouble that slows most
    /// attempts sheds, too.
    pub(super) fn update_admission(&mut self, elapsed_seconds: f64) {
        let signal = self.overload_signal();
        let latency_ratio = signal.latency_ratio;
        let mut admitted = 1.0 - self.admission.shed_fraction;
        if latency_ratio > OVERLOADED_LATENCY_RATIO && signal.shows_overload {
            admitted = self.cut_admission(admitted, latency_ratio);
        } else if signal.is_known() && latency_ratio < OVERLOADED_LATENCY_RATIO {
            admitted = self.admission.recover(admitted, latency_ratio, elapsed_seconds);
        }
        self.admission.warming_servers_suffice =
            admitted < 1.0 && self.warming_servers_suffice(admitted.max(MIN_ADMITTED_RATIO));
        let shed_before = self.admission.shed_fraction;
        let shed = 1.0 - admitted.clamp(MIN_ADMITTED_RATIO, 1.0);
        self.admission.shed_fraction = shed;
        if shed > shed_before || shed_before > 0.0 && shed == 0.0 {
            self.log_admission(&signal);
        }
    }

    /// Judges overload by latency, and by queues where most servers report them.
    ///
    /// Latency shows the end of overload late, as failed attempts began long ago. So recovery is also judged
    /// by short queues, and by the latency of successful attempts while more than half of the attempts
    /// succeed.
    fn overload_signal(&self) -> OverloadSignal {
        let queue_length = self.median_queue_length(self.load.recent_since(self.now));
        let queue_latency_ratio =
            queue_length.map(|length| OVERLOADED_LATENCY_RATIO * length / OVERLOADED_QUEUE_LENGTH);
        let load = &self.load;
        let queues_trusted = load.responses_carry_load || load.errors <= MAX_ERROR_RATIO * load.attempts;
        let recovered_queues =
            queue_latency_ratio.filter(|ratio| *ratio <= RECOVERED_LATENCY_RATIO && queues_trusted);
        let successes_show_recovery = self.admission.shed_fraction > 0.0
            && load.errors * 2.0 < load.attempts
            && load.success_latency_ratio > 0.0;
        let recovered_successes = Some(load.success_latency_ratio)
            .filter(|ratio| successes_show_recovery && *ratio <= RECOVERED_LATENCY_RATIO);
        let latency_ratio = recovered_queues
            .or(recovered_successes)
            .unwrap_or(load.current_latency_ratio.max(queue_latency_ratio.unwrap_or(0.0)));
        let queues_show_overload = queue_latency_ratio.is_some_and(|ratio| ratio > OVERLOADED_LATENCY_RATIO);
        let shows_overload = load.attempts >= MIN_OVERLOAD_ATTEMPTS || queues_show_overload;
        OverloadSignal { latency_ratio, queue_latency_ratio, shows_overload }
    }

    /// The admitted ratio after a cut, if one is due. Until reports can show the effect of the last one, only
    /// a latency that grew much deepens it.
    fn cut_admission(&mut self, admitted: f64, latency_ratio: f64) -> f64 {
        let effect_known = self.now >= self.admission.effect_unknown_until;
        if effect_known {
            let request_rate = self.load.usual_request_rate();
            let peak_ratio = self.load.goodput.peak_per_second / request_rate.max(1e-9);
            self.admission.start_cut(admitted, admitted.min(peak_ratio));
        }
        let cut = self.admission.cut(latency_ratio);
        let threshold = if effect_known { 1.0 } else { FURTHER_CUT_RATIO };
        if cut >= admitted * threshold {
            return admitted;
        }
        self.admission.effect_unknown_until = self.now + CUT_EFFECT_DELAY + self.load.two_report_spans();
        cut
    }

    /// Logged when more is shed than before, and when nothing is shed any more; not while less and less is
    /// shed.
    fn log_admission(&mut self, signal: &OverloadSignal) {
        let admitted = 1.0 - self.admission.shed_fraction;
        let OverloadSignal { latency_ratio, queue_latency_ratio, .. } = signal;
        let attempts = self.load.attempts;
        self.actions.push(Action::Log(format!(
            "admit {admitted:.2}: latency ratio {latency_ratio:.2} over {attempts:.0} attempts, \
             by queues {queue_latency_ratio:.2?}"
        )));
    }

    /// The admitted ratio of each class. Classes of the least value for their work are shed first; the
    /// latency objective stands for the work.
    pub(super) fn admitted_ratios(&self) -> Vec<f64> {
        let mut classes: Vec<usize> = (0..self.settings.classes.len()).collect();
        classes.sort_by(|a, b| self.class_value(*a).total_cmp(&self.class_value(*b)));
        let total: f64 = self.load.class_rates.iter().sum();
        let mut to_shed = self.admission.shed_fraction;
        let mut admitted = vec![1.0; classes.len()];
        for class in &classes {
            let share =
                if total > 0.0 { self.load.class_rates[*class] / total } else { 1.0 / classes.len() as f64 };
            let is_top = classes.last() == Some(class);
            let least = if is_top { MIN_TOP_CLASS_ADMITTED_RATIO } else { MIN_ADMITTED_RATIO };
            let shed = (to_shed / share.max(1e-9)).clamp(0.0, 1.0 - least);
            admitted[*class] = 1.0 - shed;
            to_shed = (to_shed - shed * share).max(0.0);
        }
        admitted
    }

    /// Priority weight for each microsecond of the latency objective.
    fn class_value(&self, class: usize) -> f64 {
        let class = &self.settings.classes[class];
        class.priority_weight / class.latency_objective.max(1) as f64
    }

    /// Admission and retries of each class at the proxies of a table.
    pub(super) fn class_admissions(
        &self,
        admitted_ratios: &[f64],
        proxies: &BTreeSet<ProxyId>,
    ) -> BTreeMap<ClassId, ClassAdmission> {
        let mut admissions = BTreeMap::new();
        for (index, class) in self.settings.classes.iter().enumerate().take(MAX_CLASSES) {
            let id = ClassId(index as u8);
            let usual_rate = self.mean_usual_rate(proxies, id);
            let level = self.admission_level(admitted_ratios[index], usual_rate);
            admissions.insert(id, ClassAdmission { retry_policy: self.retry_policy(class), level });
        }
        admissions
    }

    /// The level to send so that this ratio of *requests* is admitted at a proxy that usually gets
    /// `usual_rate` of them per second.
    ///
    /// In mode `Ratio` it is lower than the ratio, as each of [`CLIENT_ATTEMPTS_PER_REQUEST`] attempts of a
    /// request is admitted or rejected by itself: 1 - (1 - admitted)^(1/3). In mode `RequestsPerSecond` it is
    /// the admitted part of the usual rate over (1 - admitted)^(1/3), so higher than that part: a rate limit
    /// admits requests at even intervals, but they arrive at random.
    fn admission_level(&self, admitted: f64, usual_rate: f64) -> f64 {
        let rejected_per_attempt = (1.0 - admitted).powf(1.0 / CLIENT_ATTEMPTS_PER_REQUEST);
        match self.settings.admission_mode {
            AdmissionMode::RequestsPerSecond if admitted >= 1.0 || usual_rate <= 0.0 => UNLIMITED_PER_SECOND,
            AdmissionMode::RequestsPerSecond => {
                (admitted * usual_rate / rejected_per_attempt).min(UNLIMITED_PER_SECOND)
            }
            AdmissionMode::Ratio | AdmissionMode::Ignored => 1.0 - rejected_per_attempt,
        }
    }

    /// Requests per second of a class that one of these proxies usually gets.
    fn mean_usual_rate(&self, proxies: &BTreeSet<ProxyId>, class: ClassId) -> f64 {
        let records = proxies.iter().filter_map(|proxy| self.proxies.get(proxy));
        let rates = records.filter_map(|record| record.usual_rates.get(&class));
        rates.sum::<f64>() / proxies.len().max(1) as f64
    }
}
