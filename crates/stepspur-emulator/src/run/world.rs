//! State of a running rehearsal.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::conductors::ConductorSlot;
use crate::clients::ClientPool;
use crate::launch::Launcher;
use crate::links::Links;
use crate::node::Node;
use crate::plan::Plan;
use crate::proxy::Proxy;
use crate::registry::Registry;
use crate::series::Sample;
use crate::trace::Trace;

/// Everything that takes part in a rehearsal, and what is observed of it.
pub(super) struct World {
    pub plan: Arc<Plan>,
    pub trace: Arc<Trace>,
    pub links: Arc<Links>,
    /// The emulated node list, which all conductors read.
    pub registry: Arc<Registry>,
    /// The emulated servers, in the order of the plan.
    pub nodes: Vec<Arc<Node>>,
    /// The index of each server in `nodes`, by its address.
    pub node_indices: BTreeMap<SocketAddr, usize>,
    pub proxies: Vec<Arc<Proxy>>,
    /// The clients, which send requests through the proxies.
    pub clients: Arc<ClientPool>,
    pub launcher: Launcher,
    pub conductors: Vec<ConductorSlot>,
    /// Names of the faults in effect, for the display of progress.
    pub active_faults: Mutex<Vec<String>>,
    /// Samples taken so far, one every [`STEP`](crate::series::STEP).
    pub samples: Mutex<Vec<Sample>>,
    /// CPU time in seconds of conductors that have ended; counts only those that ran as processes of their
    /// own.
    pub conductor_cpu_s: Mutex<f64>,
    /// Tasks of servers, proxies, relays, node lists and observers.
    pub tasks: TaskTracker,
}

impl World {
    /// Stops all tasks, kills the conductors, and waits until the tasks have ended.
    pub(super) async fn shut_down(&self, stop: &CancellationToken) {
        stop.cancel();
        for conductor in 0..self.conductors.len() {
            self.kill_conductor(conductor).await;
        }
        self.tasks.close();
        self.tasks.wait().await;
    }
}
