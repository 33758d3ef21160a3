//! Real conductors: processes of the program, started and restarted with the same settings and stored state.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, ensure};
use serde_json::Value;
use stepspur_conductor::http;
use stepspur_distribution::version::Version;
use tokio::time::{Instant, sleep};

use super::history::SubscriberId;
use super::plan::{Conductor, Plan};
use super::processes::{Process, run_program};
use super::settings;
use crate::hollow_conductors::message::ControlPlace;

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a status response, in bytes.
const MAX_STATUS_BYTES: usize = 1 << 20;

/// Program, settings and log of a real conductor. A restart uses the same settings and stored state.
#[derive(Clone, Debug)]
pub(crate) struct RealConductorFiles {
    id: SubscriberId,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

/// A real conductor that runs.
pub(crate) struct RealConductor {
    /// Index of the conductor in the plan.
    pub id: SubscriberId,
    /// Address at which proxies connect.
    pub listening: SocketAddr,
    files: RealConductorFiles,
    process: Process,
    status: SocketAddr,
}

/// Documents of a real conductor, as its status page reports them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DocumentStatus {
    /// Number of documents that it holds.
    pub documents: u64,
    /// Bytes read from control members since it was started.
    pub bytes_read: u64,
}

impl RealConductorFiles {
    /// Writes the settings of a real conductor that connects to these control members. All its files are
    /// below `folder`.
    ///
    /// # Errors
    /// A folder that cannot be written.
    pub(crate) fn write(
        program: &Path,
        folder: &Path,
        plan: &Plan,
        conductor: &Conductor,
        control: &[ControlPlace],
    ) -> anyhow::Result<Self> {
        let conductor_folder = folder.join(&conductor.name);
        std::fs::create_dir_all(&conductor_folder)?;
        std::fs::write(conductor_folder.join("nodes.toml"), settings::nodes(plan, conductor))?;
        let path = conductor_folder.join("conductor.toml");
        std::fs::write(&path, settings::conductor(conductor, control, &conductor_folder))?;
        Ok(Self {
            id: conductor.id,
            program: program.to_owned(),
            settings: path,
            log: conductor_folder.join("log"),
        })
    }

    /// Starts the conductor and waits until it listens.
    ///
    /// # Errors
    /// A process that does not start.
    pub(crate) async fn start(self) -> anyhow::Result<RealConductor> {
        let (process, announcement) = run_program(&self.program, &self.settings, &self.log).await?;
        let status = announcement.status.context("the conductor announced no status address")?;
        Ok(RealConductor { id: self.id, listening: announcement.listening, files: self, process, status })
    }
}

impl RealConductor {
    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.process.pid
    }

    /// Stops the conductor.
    pub(crate) async fn end(self) {
        self.process.terminate().await;
    }

    /// Stops the conductor and returns its files, from which it can be restarted.
    pub(crate) async fn end_to_restart(self) -> RealConductorFiles {
        self.process.terminate().await;
        self.files
    }

    /// Requests the number of documents it holds and the bytes it has read.
    ///
    /// # Errors
    /// No response, or an error status.
    pub(crate) async fn document_status(&self) -> anyhow::Result<DocumentStatus> {
        let distribution_status = self.distribution_status().await?;
        let count = |name: &str| distribution_status["subscriber"][name].as_u64().unwrap_or_default();
        Ok(DocumentStatus { documents: count("documents"), bytes_read: count("bytes_read") })
    }

    /// Waits until it acts by a version or a later one.
    ///
    /// # Errors
    /// The version is not in force at `end`; the error contains the conductor's distribution status.
    pub(crate) async fn wait_until_acting_by(&self, version: Version, end: Instant) -> anyhow::Result<()> {
        loop {
            let distribution_status = self.distribution_status().await;
            let in_force = distribution_status.as_ref().ok().and_then(in_force);
            if in_force >= Some(version) {
                return Ok(());
            }
            ensure!(Instant::now() < end, "{:?} does not act by {version}: {distribution_status:?}", self.id);
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Requests the distribution status from its status page.
    async fn distribution_status(&self) -> anyhow::Result<Value> {
        let (status, body) =
            http::get(self.status, "/v1/distribution", STATUS_TIMEOUT, MAX_STATUS_BYTES).await?;
        ensure!(status.is_success(), "{status}");
        Ok(serde_json::from_slice(&body)?)
    }
}

/// Reads the version in force from a status: an object, or text of the form `TERM.INDEX`.
fn in_force(distribution_status: &Value) -> Option<Version> {
    let version = &distribution_status["subscriber"]["in_force"];
    match version.as_str() {
        Some(text) => text.parse().ok(),
        None => serde_json::from_value(version.clone()).ok(),
    }
}
