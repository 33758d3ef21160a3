//! Starts, kills and restarts the conductors of a rehearsal.

use std::net::SocketAddr;

use stepspur_conductor::Config;
use tokio::sync::{Mutex, watch};

use super::error::RunError;
use super::world::World;
use crate::launch::{LaunchError, Running};
use crate::trace::{Event, lock};
use crate::usage::Usage;

/// A conductor that may be started and stopped many times under the same settings.
pub(super) struct ConductorSlot {
    /// The conductor's settings; the node list address differs from slot to slot.
    config: Config,
    /// The running conductor; `None` while it is down.
    running: Mutex<Option<Running>>,
    /// Address that the running conductor listens on; `None` while it is down. The relay in front reads it.
    pub address: watch::Sender<Option<SocketAddr>>,
}

impl ConductorSlot {
    /// Creates a slot whose conductor is not yet started.
    pub(super) fn new(config: Config) -> Self {
        Self { config, running: Mutex::default(), address: watch::Sender::new(None) }
    }
}

impl World {
    /// Starts all conductors for the first time; fails with the first one that does not start.
    pub(super) async fn start_conductors(&self) -> Result<(), RunError> {
        for conductor in 0..self.conductors.len() {
            self.start_conductor(conductor).await?;
        }
        Ok(())
    }

    async fn start_conductor(&self, conductor: usize) -> Result<(), LaunchError> {
        let slot = &self.conductors[conductor];
        let mut slot_running = slot.running.lock().await;
        self.trace.note(Event::Conductor { conductor, up: true });
        let running = self.launcher.start(&slot.config).await?;
        slot.address.send_replace(Some(running.address));
        *slot_running = Some(running);
        Ok(())
    }

    /// Starts a conductor again after it was killed or terminated; a failure is logged.
    pub(super) async fn start_conductor_again(&self, conductor: usize) {
        if let Err(error) = self.start_conductor(conductor).await {
            tracing::error!(event = "conductor_lost", conductor, %error);
        }
    }

    /// Kills a conductor at once: its proxies receive no `Goodbye` and see their streams break.
    pub(super) async fn kill_conductor(&self, conductor: usize) {
        let slot = &self.conductors[conductor];
        let running = slot.running.lock().await.take();
        slot.address.send_replace(None);
        if let Some(running) = running {
            self.add_conductor_cpu(&running);
            running.kill().await;
        }
        self.trace.note(Event::Conductor { conductor, up: false });
    }

    /// Terminates a conductor gracefully, so that it sends `Goodbye` to its proxies, and starts it again at
    /// once.
    pub(super) async fn restart_conductor(&self, conductor: usize) {
        let slot = &self.conductors[conductor];
        let running = slot.running.lock().await.take();
        if let Some(running) = running {
            self.add_conductor_cpu(&running);
            running.terminate().await;
        }
        slot.address.send_replace(None);
        self.trace.note(Event::Conductor { conductor, up: false });
        self.start_conductor_again(conductor).await;
    }

    /// Adds the CPU time of a conductor that is about to be stopped, if it runs as a process of its own.
    fn add_conductor_cpu(&self, running: &Running) {
        if let Some(usage) = running.pid().and_then(|pid| Usage::of(pid).ok()) {
            *lock(&self.conductor_cpu_s) += usage.cpu_s;
        }
    }
}
