//! Real conductors: processes of the program, started and started again from what they have kept.

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

/// Between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// A status page answers within this.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a status page at most.
const STATUS_BYTES_MOST: usize = 1 << 20;

/// What is needed to start a real conductor, each time by the same settings and the same kept state.
#[derive(Clone, Debug)]
pub(crate) struct Files {
    id: SubscriberId,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

/// A real conductor that runs.
pub(crate) struct RealConductor {
    /// Its place in the plan.
    pub id: SubscriberId,
    /// Where proxies join it.
    pub listening: SocketAddr,
    files: Files,
    process: Process,
    status: SocketAddr,
}

/// What a real conductor tells of its documents.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    /// Documents that it holds.
    pub documents: u64,
    /// Bytes that it has read from control members since it was started.
    pub bytes_read: u64,
}

impl Files {
    /// Writes the settings of a real conductor that knows these control members; all it writes lies in `folder`.
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
        let own = folder.join(&conductor.name);
        std::fs::create_dir_all(&own)?;
        std::fs::write(own.join("nodes.toml"), settings::nodes(plan, conductor))?;
        let path = own.join("conductor.toml");
        std::fs::write(&path, settings::conductor(conductor, control, &own))?;
        Ok(Self { id: conductor.id, program: program.to_owned(), settings: path, log: own.join("log") })
    }

    /// Starts the conductor.
    ///
    /// # Errors
    /// A process that does not start.
    pub(crate) async fn start(self) -> anyhow::Result<RealConductor> {
        let (process, said) = run_program(&self.program, &self.settings, &self.log).await?;
        let status = said.status.context("a conductor without a status page")?;
        Ok(RealConductor { id: self.id, listening: said.listening, files: self, process, status })
    }
}

impl RealConductor {
    /// Its process.
    pub(crate) fn pid(&self) -> u32 {
        self.process.pid
    }

    /// Ends it.
    pub(crate) async fn end(self) {
        self.process.terminate().await;
    }

    /// Ends it; what is left can be started again.
    pub(crate) async fn end_to_restart(self) -> Files {
        self.process.terminate().await;
        self.files
    }

    /// What it tells of its documents.
    ///
    /// # Errors
    /// No answer.
    pub(crate) async fn held(&self) -> anyhow::Result<Held> {
        let standing = self.standing().await?;
        let count = |name: &str| standing["subscriber"][name].as_u64().unwrap_or_default();
        Ok(Held { documents: count("documents"), bytes_read: count("bytes_read") })
    }

    /// Waits until it acts by a version.
    ///
    /// # Errors
    /// Not by then, with its standing.
    pub(crate) async fn acts_by(&self, version: Version, end: Instant) -> anyhow::Result<()> {
        loop {
            let standing = self.standing().await;
            let in_force = standing.as_ref().ok().and_then(in_force);
            if in_force >= Some(version) {
                return Ok(());
            }
            ensure!(Instant::now() < end, "{:?} does not act by {version}: {standing:?}", self.id);
            sleep(LOOK_EVERY).await;
        }
    }

    /// What its status page says of the distribution.
    async fn standing(&self) -> anyhow::Result<Value> {
        let (status, body) =
            http::get(self.status, "/v1/distribution", STATUS_TIMEOUT, STATUS_BYTES_MOST).await?;
        ensure!(status.is_success(), "{status}");
        Ok(serde_json::from_slice(&body)?)
    }
}

/// The version that a subscriber acts by, as its status page words it: an object, or `TERM.INDEX`.
fn in_force(standing: &Value) -> Option<Version> {
    let version = &standing["subscriber"]["in_force"];
    match version.as_str() {
        Some(text) => text.parse().ok(),
        None => serde_json::from_value(version.clone()).ok(),
    }
}
