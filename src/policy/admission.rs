//! Admission control: what ratio of requests is shed when servers are overloaded, and which classes first.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::load::{OVERLOADED_LATENCY_RATIO, RECOVERED_LATENCY_RATIO};
use super::table::ClassAdmission;
use super::warming_load::AdmissionBounds;
use crate::interface::{Action, AdmissionMode, ClassId, Micros, ProxyId};

/// A median queue of this many requests counts as [`OVERLOADED_LATENCY_RATIO`].
const OVERLOADED_QUEUE_LENGTH: f64 = 2.0;
/// Lower bound of the recent attempts that may show overload by their latency. The first reports after a
/// start cover only a few requests.
const MIN_OVERLOAD_ATTEMPTS: f64 = 30.0;
/// If only probes carry load reports, short queues show recovery only while at most this ratio of attempts
/// fails. Servers that reject attempts also reject probes, so that their queues are not reported.
const MAX_ERROR_RATIO: f64 = 0.1;

/// Lower bound of the admitted ratio after a cut, as a multiple of the ratio that the servers can serve.
const MIN_RATIO_AFTER_CUT: f64 = 0.55;
/// Until reports can show the effect of a cut, a further cut is made only to below this multiple of the
/// admitted ratio.
const FURTHER_CUT_RATIO: f64 = 0.75;
/// Time until attempts show the effect of a cut; the time that two reports cover is added.
const CUT_EFFECT_DELAY: Micros = 2_500_000;
/// Recovery is fast up to this multiple of the ratio that the servers could serve when overload began, and
/// slow above.
const FAST_RECOVERY_RATIO: f64 = 0.75;
/// Relative growth of the admitted ratio per second in fast recovery, at a latency ratio of 0.
const FAST_RECOVERY_PER_SECOND: f64 = 1.0;
/// Relative growth of the admitted ratio per second in slow recovery, at a latency ratio of 0.
const SLOW_RECOVERY_PER_SECOND: f64 = 0.1;

/// Lower bound of the admitted ratio of all requests, and of each class except the most valuable.
const MIN_ADMITTED_RATIO: f64 = 0.15;
/// Lower bound of the admitted ratio of the most valuable class.
const MIN_TOP_CLASS_ADMITTED_RATIO: f64 = 0.6;

/// The level that stands for no limit in mode `RequestsPerSecond`, in requests per second.
const UNLIMITED_PER_SECOND: f64 = 1e6;
/// Attempts that a client makes at most for a request that is rejected at admission, the first included.
const CLIENT_ATTEMPTS_PER_REQUEST: f64 = 3.0;
/// Upper bound of the number of classes that get admission levels. Further classes get none.
const MAX_CLASSES: usize = 16;

/// Whether the next cut begins a new overload. This is independent of whether requests are shed: shedding
/// ends when `shed_fraction` is 0 again, usually after the state becomes `Recovered`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OverloadState {
    /// The next cut begins a new overload.
    #[default]
    Recovered,
    /// From the first cut until the latency ratio falls to [`RECOVERED_LATENCY_RATIO`].
    Overloaded,
}

/// State of admission control.
#[derive(Default)]
pub(super) struct AdmissionController {
    /// Fraction of all requests that is shed, from 0 to 1 - [`MIN_ADMITTED_RATIO`].
    pub(super) shed_fraction: f64,
    /// True: requests are shed, and the admitted ones are few enough for warming servers to serve their part.
    /// Then warming servers get traffic even while the fleet is overloaded.
    pub(super) warming_servers_suffice: bool,
    /// True: latencies or queue lengths do not show that the fleet is recovered from overload.
    pub(super) overload_possible: bool,
    /// True: the newest plans bound the attempts, to spare warming servers.
    pub(super) attempts_bounded: bool,
    state: OverloadState,
    /// The ratio of requests that the servers could serve when overload last began.
    sustainable_ratio: f64,
    /// The admitted ratio before the newest cut.
    ratio_before_cut: f64,
    /// Lower bound of the admitted ratio for the newest cut and those that deepen it.
    cut_floor: f64,
    /// Until this time reports cannot show the effect of the newest cut.
    effect_unknown_until: Micros,
}

/// The evidence about overload in one round.
struct OverloadSignal {
    /// The latency ratio to act on, from latencies or from queue lengths; 0 if neither is known.
    latency_ratio: f64,
    /// The latency ratio that corresponds to the median queue length; `None` if too few servers report it.
    queue_latency_ratio: Option<f64>,
    /// True: there is enough evidence to shed requests.
    has_enough_evidence: bool,
}

impl OverloadSignal {
    /// True: recent reports contain attempts or enough queue lengths.
    fn is_known(&self) -> bool {
        self.latency_ratio > 0.0 || self.queue_latency_ratio.is_some()
    }
}

impl AdmissionController {
    /// Begins a cut from the ratio `admitted`. `servable_ratio` is the ratio of requests that the servers can
    /// serve: peak goodput over usual request rate, but at most `admitted`.
    fn start_cut(&mut self, admitted: f64, servable_ratio: f64) {
        if self.state == OverloadState::Recovered {
            self.sustainable_ratio = servable_ratio;
        }
        self.state = OverloadState::Overloaded;
        self.ratio_before_cut = admitted;
        self.cut_floor = MIN_RATIO_AFTER_CUT * servable_ratio;
    }

    /// The ratio to admit at this latency ratio: `ratio_before_cut` × ([`OVERLOADED_LATENCY_RATIO`] / latency
    /// ratio)², and at least `cut_floor`. It starts from the ratio before the cut, so that repeated calls do
    /// not compound.
    fn cut(&self, latency_ratio: f64) -> f64 {
        let factor = (OVERLOADED_LATENCY_RATIO / latency_ratio).powi(2);
        (self.ratio_before_cut * factor).max(self.cut_floor)
    }

    /// The admitted ratio after `elapsed_seconds` of recovery. Its growth decreases linearly with the latency
    /// ratio and is 0 at [`OVERLOADED_LATENCY_RATIO`].
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
    /// Updates the fraction of requests that is shed, `elapsed_seconds` after the last round.
    ///
    /// Guards against overload: while the latency ratio is above [`OVERLOADED_LATENCY_RATIO`], the admitted
    /// ratio is divided by the square of (latency ratio / limit); below, it grows again. Cost: any other
    /// fault that slows most attempts also causes shedding.
    pub(super) fn update_admission(&mut self, elapsed_seconds: f64) {
        let signal = self.overload_signal();
        let latency_ratio = signal.latency_ratio;
        let highest_ratio = latency_ratio.max(signal.queue_latency_ratio.unwrap_or(0.0));
        self.admission.overload_possible = highest_ratio > RECOVERED_LATENCY_RATIO;
        let mut admitted = 1.0 - self.admission.shed_fraction;
        if latency_ratio > OVERLOADED_LATENCY_RATIO && signal.has_enough_evidence {
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

    /// Evaluates overload by the latency ratio, and by queue lengths if load reports cover most attempts.
    ///
    /// The latency ratio shows the end of overload late, as the failed attempts in it began much earlier. So
    /// recovery is also recognized by short queues, and while requests are shed and more than half of the
    /// attempts succeed, by the latency of the successful ones.
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
        let has_enough_evidence = load.attempts >= MIN_OVERLOAD_ATTEMPTS || queues_show_overload;
        OverloadSignal { latency_ratio, queue_latency_ratio, has_enough_evidence }
    }

    /// The admitted ratio after a cut, or `admitted` unchanged if no cut is due. Until reports can show the
    /// effect of the last cut, it is deepened only to below [`FURTHER_CUT_RATIO`] of the admitted ratio, so
    /// that old measurements do not cause a second cut.
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
        self.admission.effect_unknown_until = self.now + CUT_EFFECT_DELAY + self.load.two_report_periods();
        cut
    }

    /// Logs the admitted ratio with the evidence for it. Called when shedding increases or ends, not while it
    /// decreases.
    fn log_admission(&mut self, signal: &OverloadSignal) {
        let admitted = 1.0 - self.admission.shed_fraction;
        let OverloadSignal { latency_ratio, queue_latency_ratio, .. } = signal;
        let attempts = self.load.attempts;
        self.actions.push(Action::Log(format!(
            "admit {admitted:.2}: latency ratio {latency_ratio:.2} over {attempts:.0} attempts, \
             by queues {queue_latency_ratio:.2?}"
        )));
    }

    /// The admitted ratio of each class, by its index. Classes with the lowest [`Policy::class_value`] are
    /// shed first, each down to its lower bound, until the shed requests add up to the shed fraction.
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
            let min_ratio = if is_top { MIN_TOP_CLASS_ADMITTED_RATIO } else { MIN_ADMITTED_RATIO };
            let shed = (to_shed / share.max(1e-9)).clamp(0.0, 1.0 - min_ratio);
            admitted[*class] = 1.0 - shed;
            to_shed = (to_shed - shed * share).max(0.0);
        }
        admitted
    }

    /// The value of a class: its priority weight per microsecond of its latency objective, which approximates
    /// the work that a request costs.
    fn class_value(&self, class: usize) -> f64 {
        let class = &self.settings.classes[class];
        class.priority_weight / class.latency_objective.max(1) as f64
    }

    /// Admission level and retry policy of each class at these proxies of a table, within the bounds that
    /// warming servers need.
    pub(super) fn class_admissions(
        &self,
        admitted_ratios: &[f64],
        bounds: &AdmissionBounds,
        proxies: &BTreeSet<ProxyId>,
    ) -> BTreeMap<ClassId, ClassAdmission> {
        let mut admissions = BTreeMap::new();
        for (index, class) in self.settings.classes.iter().enumerate().take(MAX_CLASSES) {
            let id = ClassId(index as u8);
            let usual_rate = self.mean_usual_rate(proxies, id);
            let bound = if class.zone_local { bounds.zone_local } else { bounds.other };
            let level = self.admission_level(admitted_ratios[index], usual_rate);
            let level = level.min(self.bounded_level(bound, usual_rate));
            admissions.insert(id, ClassAdmission { retry_policy: self.retry_policy(class), level });
        }
        admissions
    }

    /// The level that admits the ratio `admitted` of *requests* at a proxy whose usual rate is `usual_rate`
    /// per second.
    ///
    /// In mode `Ratio` the level is lower than that ratio, as a client makes [`CLIENT_ATTEMPTS_PER_REQUEST`]
    /// attempts and each is admitted or rejected independently: 1 - (1 - admitted)^(1/3). In mode
    /// `RequestsPerSecond` the level is the admitted part of the usual rate over (1 - admitted)^(1/3), so
    /// higher than that part: a rate limit admits requests at even intervals, but they arrive at random.
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

    /// The level that admits at most `bound` times the usual requests as attempts, clients' retries included;
    /// infinite while no more arrive.
    fn bounded_level(&self, bound: f64, usual_rate: f64) -> f64 {
        if bound >= self.load.arrival_ratio {
            return f64::INFINITY;
        }
        match self.settings.admission_mode {
            AdmissionMode::RequestsPerSecond if usual_rate > 0.0 => bound * usual_rate,
            AdmissionMode::RequestsPerSecond => f64::INFINITY,
            AdmissionMode::Ratio | AdmissionMode::Ignored => bound / self.load.arrival_ratio,
        }
    }

    /// Mean usual rate of a class at these proxies, in requests per second for each proxy.
    fn mean_usual_rate(&self, proxies: &BTreeSet<ProxyId>, class: ClassId) -> f64 {
        let records = proxies.iter().filter_map(|proxy| self.proxies.get(proxy));
        let rates = records.filter_map(|record| record.usual_rates.get(&class));
        rates.sum::<f64>() / proxies.len().max(1) as f64
    }
}
