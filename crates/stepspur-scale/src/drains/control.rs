//! Control members as processes of the real program, and what a subscriber of theirs is told in its settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::future::join_all;
use stepspur_distribution::config::{Distribution, ServiceConfig, SubscriberConfig};

use crate::fleet::cluster::reserve;
use crate::fleet::operators::{Keys, Operator};
use crate::fleet::plan::ControlMember;
use crate::fleet::processes::{Process, run_program};
use crate::fleet::settings::ControlFleet;

/// The service whose configuration changes.
pub(super) const SERVICE: &str = "service-0";
/// Where everything stands.
const REGION: &str = "region-0";
/// A subscriber that nothing concerns is told so often what it is covered to: the program's default.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// The program's defaults for a subscriber's dialling and writing.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Control members that run. Dropping them kills their processes.
pub(super) struct ControlMembers {
    fleet: ControlFleet,
    keys: Keys,
    processes: Vec<Process>,
}

impl ControlMembers {
    /// Founds a council of so many voters and starts them, in folders of their own in `folder`.
    ///
    /// # Errors
    /// A process that does not start.
    pub(super) async fn start(program: &Path, folder: &Path, count: u32) -> anyhow::Result<Self> {
        let mut members = Vec::new();
        for id in 1..=u64::from(count) {
            let member = ControlMember { id, region: REGION.to_owned(), votes: true };
            members.push((member, reserve(id)?));
        }
        let fleet = ControlFleet { members, keep_alive: KEEP_ALIVE };
        let keys = Keys::new(&folder.join("keys"), &fleet.operators())?;
        let mut settings = Vec::new();
        for place in 0..fleet.members.len() {
            settings.push(found(&fleet, place, &keys, folder).await?);
        }
        let logs: Vec<PathBuf> = settings.iter().map(|path| path.with_extension("log")).collect();
        let started = settings.iter().zip(&logs).map(|(path, log)| run_program(program, path, log));
        let started = join_all(started).await;
        let processes = started.into_iter().map(|started| Ok(started?.0)).collect::<anyhow::Result<_>>()?;
        Ok(Self { fleet, keys, processes })
    }

    /// An operator who calls all of them.
    ///
    /// # Errors
    /// Keys that make no client.
    pub(super) fn operator(&self) -> anyhow::Result<Operator> {
        self.keys.operator(self.fleet.operators())
    }

    /// The settings of a conductor that subscribes to them and keeps its documents in this file.
    pub(super) fn subscription(&self, state: PathBuf) -> Distribution {
        let control: Vec<SocketAddr> = self.fleet.places().iter().map(|place| place.address).collect();
        let service = ServiceConfig { service: SERVICE.to_owned(), tenants: Vec::new() };
        let subscriber = SubscriberConfig {
            name: "measured".to_owned(),
            region: REGION.to_owned(),
            state,
            control,
            services: vec![service],
            dial_timeout: DIAL_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        };
        Distribution { control: None, subscriber: Some(subscriber) }
    }

    /// Ends them in order.
    pub(super) async fn stop(self) {
        join_all(self.processes.into_iter().map(Process::terminate)).await;
    }
}

/// Writes the settings of a control member and makes its council's state: where the settings are.
async fn found(fleet: &ControlFleet, place: usize, keys: &Keys, folder: &Path) -> anyhow::Result<PathBuf> {
    let id = fleet.members[place].0.id;
    let own = folder.join(format!("control-{id}"));
    std::fs::create_dir_all(&own)?;
    let (settings, nodes) = (own.join("conductor.toml"), own.join("nodes.toml"));
    std::fs::write(&nodes, "servers = 1\n[[node]]\naddress = \"127.0.0.1:9\"\nzone = \"a\"\n")?;
    std::fs::write(&settings, fleet.settings(place, &own, keys.folder(), &nodes))?;
    let council = fleet.founding(id, &own.join("council.redb"));
    tokio::task::spawn_blocking(move || council.bootstrap()).await??;
    Ok(settings)
}
