//! Starts control members as processes of the real program, and builds the settings of their subscriber.

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

/// Service whose configuration changes.
pub(super) const SERVICE: &str = "service-0";
/// Region of the control members and the subscriber.
const REGION: &str = "region-0";
/// Interval at which control members send an idle subscriber the version it is covered to: the program's
/// default.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// A subscriber's timeouts for connecting and writing: the program's defaults.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Running control members. Dropping them kills their processes.
pub(super) struct ControlMembers {
    fleet: ControlFleet,
    keys: Keys,
    processes: Vec<Process>,
}

impl ControlMembers {
    /// Bootstraps a consensus group of `count` voters and starts them, each in its own folder in `folder`.
    ///
    /// # Errors
    /// If a process does not start.
    pub(super) async fn start(program: &Path, folder: &Path, count: u32) -> anyhow::Result<Self> {
        let mut members = Vec::new();
        for id in 1..=u64::from(count) {
            let member = ControlMember { id, region: REGION.to_owned(), votes: true };
            members.push((member, reserve(id)?));
        }
        let fleet = ControlFleet { members, keep_alive: KEEP_ALIVE_INTERVAL };
        let keys = Keys::new(&folder.join("keys"), &fleet.operators())?;
        let mut settings = Vec::new();
        for index in 0..fleet.members.len() {
            settings.push(bootstrap_member(&fleet, index, &keys, folder).await?);
        }
        let logs: Vec<PathBuf> = settings.iter().map(|path| path.with_extension("log")).collect();
        let started = settings.iter().zip(&logs).map(|(path, log)| run_program(program, path, log));
        let started = join_all(started).await;
        let processes = started.into_iter().map(|started| Ok(started?.0)).collect::<anyhow::Result<_>>()?;
        Ok(Self { fleet, keys, processes })
    }

    /// An operator client that can call all control members.
    ///
    /// # Errors
    /// If no client can be built from the keys.
    pub(super) fn operator(&self) -> anyhow::Result<Operator> {
        self.keys.operator(self.fleet.operators())
    }

    /// The `[distribution]` settings of a conductor that subscribes to these members and stores its documents
    /// in the file `state`.
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

    /// Terminates all members and waits for their exit.
    pub(super) async fn stop(self) {
        join_all(self.processes.into_iter().map(Process::terminate)).await;
    }
}

/// Writes the settings and the initial consensus state of a control member, and returns the path of the
/// settings.
async fn bootstrap_member(
    fleet: &ControlFleet,
    index: usize,
    keys: &Keys,
    folder: &Path,
) -> anyhow::Result<PathBuf> {
    let id = fleet.members[index].0.id;
    let member_folder = folder.join(format!("control-{id}"));
    std::fs::create_dir_all(&member_folder)?;
    let (settings, nodes) = (member_folder.join("conductor.toml"), member_folder.join("nodes.toml"));
    std::fs::write(&nodes, "servers = 1\n[[node]]\naddress = \"127.0.0.1:9\"\nzone = \"a\"\n")?;
    std::fs::write(&settings, fleet.settings(index, &member_folder, keys.folder(), &nodes))?;
    let council = fleet.founding(id, &member_folder.join("council.redb"));
    tokio::task::spawn_blocking(move || council.bootstrap()).await??;
    Ok(settings)
}
