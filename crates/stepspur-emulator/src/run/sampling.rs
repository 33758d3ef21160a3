//! Samples servers and proxies during a rehearsal, for the report and for the display of progress.

use std::sync::Arc;
use std::time::Duration;

use stepspur_model::proxy::Proxy as ProxyModel;
use stepspur_proto::v1;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::report::Progress;
use super::world::World;
use crate::node::Node;
use crate::series::{STEP, Sample, ZoneSample};
use crate::trace::lock;

/// Interval between two updates of the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

impl World {
    /// Starts the tasks that take samples and publish progress.
    pub(super) fn start_observers(
        self: &Arc<Self>,
        progress: Option<watch::Sender<Progress>>,
        begin: Instant,
        stop: &CancellationToken,
    ) {
        if let Some(progress) = progress {
            self.tasks.spawn(Arc::clone(self).publish_progress(progress, begin, stop.clone()));
        }
        self.tasks.spawn(Arc::clone(self).take_samples(begin, stop.clone()));
    }

    async fn publish_progress(
        self: Arc<Self>,
        progress: watch::Sender<Progress>,
        begin: Instant,
        stop: CancellationToken,
    ) {
        while !stop.is_cancelled() {
            progress.send_replace(self.progress(begin));
            tokio::select! {
                () = stop.cancelled() => {}
                () = sleep(PROGRESS_INTERVAL) => {}
            }
        }
    }

    fn progress(&self, begin: Instant) -> Progress {
        let tallies = lock(&self.clients.outcomes).tallies();
        let active_faults = lock(&self.active_faults).clone();
        let elapsed = Instant::now().saturating_duration_since(begin);
        let sample = lock(&self.samples).last().cloned().unwrap_or_default();
        Progress { elapsed, tallies, active_faults, sample }
    }

    /// Takes a sample every [`STEP`].
    async fn take_samples(self: Arc<Self>, begin: Instant, stop: CancellationToken) {
        let mut due = begin;
        loop {
            tokio::select! {
                () = sleep_until(due) => {}
                () = stop.cancelled() => return,
            }
            let sample = self.sample((Instant::now() - begin).as_secs_f64());
            lock(&self.samples).push(sample);
            due += STEP;
        }
    }

    fn sample(&self, at_s: f64) -> Sample {
        let mut sampler = Sampler::new(self);
        for node in &self.nodes {
            sampler.add_node(node);
        }
        sampler.divide_heat_by_cores();
        for proxy in &self.proxies {
            proxy.with_model(|model| sampler.add_proxy(model));
        }
        let Sampler { zones, cold_weight, levels, .. } = sampler;
        Sample { at_s, zones, cold_weight, levels }
    }
}

/// Accumulates one sample, first from the servers, then from the proxies.
struct Sampler<'a> {
    world: &'a World,
    zones: Vec<ZoneSample>,
    /// By zone: cores of the running servers.
    cores: Vec<f64>,
    /// By server: whether it runs and is cold.
    cold: Vec<bool>,
    /// The share of the weight in proxies' tables that is on cold servers.
    cold_weight: f64,
    /// By class: the mean admitted share over all proxies.
    levels: Vec<f64>,
    /// Number of proxies, at least 1.
    proxies: f64,
    /// Requests per second of a proxy if all proxies had the same rate.
    usual_rate: f64,
}

impl<'a> Sampler<'a> {
    fn new(world: &'a World) -> Self {
        let zones = world.plan.zones.len();
        let proxies = world.proxies.len().max(1) as f64;
        Self {
            world,
            zones: vec![ZoneSample::default(); zones],
            cores: vec![0.0; zones],
            cold: vec![false; world.nodes.len()],
            cold_weight: 0.0,
            levels: vec![0.0; world.plan.classes.len()],
            proxies,
            usual_rate: world.plan.rate / proxies,
        }
    }

    /// Adds a server if it runs; its requests in flight count towards the load (`heat`) of its zone.
    fn add_node(&mut self, node: &Node) {
        let Some((in_flight, cores)) = node.in_flight() else { return };
        let cold = node.is_cold();
        let zone = &mut self.zones[node.zone];
        zone.heat += in_flight as f64;
        zone.up += 1;
        zone.cold += usize::from(cold);
        zone.fallen += usize::from(node.has_fallen());
        self.cores[node.zone] += f64::from(cores);
        self.cold[node.index] = cold;
    }

    fn divide_heat_by_cores(&mut self) {
        for (zone, cores) in self.zones.iter_mut().zip(&self.cores) {
            zone.heat /= f64::max(*cores, 1.0);
        }
    }

    fn add_proxy(&mut self, model: &ProxyModel) {
        self.add_table(model);
        for class in 0..self.levels.len() {
            self.levels[class] += self.admitted_share(model, class) / self.proxies;
        }
    }

    /// Adds the normalized weights of a proxy's table to the zones of its servers.
    fn add_table(&mut self, model: &ProxyModel) {
        let total: f64 = model.lines().map(|(_, weight)| weight).sum();
        for (server, weight) in model.lines() {
            let Some(index) = self.world.node_indices.get(&server).copied() else { continue };
            let share = weight / f64::max(total, 1e-9) / self.proxies;
            self.zones[self.world.nodes[index].zone].weight += share;
            if self.cold[index] {
                self.cold_weight += share;
            }
        }
    }

    /// The share of a class's requests that a proxy's admission level admits; a rate is converted with
    /// `usual_rate`.
    fn admitted_share(&self, model: &ProxyModel, class: usize) -> f64 {
        match model.level(class).and_then(|level| level.admit) {
            None => 1.0,
            Some(v1::level::Admit::Share(share)) => f64::from(share),
            Some(v1::level::Admit::Rate(rate)) => (f64::from(rate) / self.usual_rate).min(1.0),
        }
    }
}
