//! Starts and stops conductors: as processes of their own, or inside this process, each on its own runtime.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use stepspur_conductor::{Conductor, Config, source};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The line that `stepspur run` prints once it listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Address that proxies connect to.
    pub listening: SocketAddr,
    /// Address of the status page; `None` if it is disabled.
    pub status: Option<SocketAddr>,
    /// Epoch of the conductor.
    pub epoch: u64,
}

/// How conductors are started.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// With the `run` command of this program, as a process of its own.
    Program(PathBuf),
    /// Inside this process; killing it drops its runtime.
    Inside,
}

/// Why a conductor did not start.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// The settings cannot be serialized.
    #[error("cannot serialize the conductor's settings: {0}")]
    Settings(#[from] toml::ser::Error),
    /// The settings file, the process or its output failed.
    #[error("cannot start the conductor: {0}")]
    Io(#[from] io::Error),
    /// It ended, or did not announce its address within `START_TIMEOUT`.
    #[error("the conductor did not announce its listening address in time")]
    Silent,
    /// The conductor library returned an error.
    #[error(transparent)]
    Start(#[from] stepspur_conductor::StartError),
}

/// A running conductor.
#[derive(Debug)]
pub struct Running {
    /// Address that proxies connect to.
    pub address: SocketAddr,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Program { child: Child, settings: SettingsFile },
    Inside { end: oneshot::Sender<End>, thread: std::thread::JoinHandle<()> },
}

/// How a conductor inside this process is stopped.
#[derive(Clone, Copy, Debug)]
enum End {
    Killed,
    Terminated,
}

/// Settings file of a process, deleted when dropped.
#[derive(Debug)]
struct SettingsFile(PathBuf);

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Maximum time from the start of a process to its announcement.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a process has to end after SIGTERM before it is killed.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(10);

impl Launcher {
    /// Starts a conductor and waits until it listens.
    ///
    /// # Errors
    /// See [`LaunchError`].
    pub async fn start(&self, config: &Config) -> Result<Running, LaunchError> {
        match self {
            Launcher::Program(program) => start_program(program, config).await,
            Launcher::Inside => start_inside(config.clone()).await,
        }
    }
}

/// Starts a process with a settings file in the temporary directory, and reads its announcement.
async fn start_program(program: &Path, config: &Config) -> Result<Running, LaunchError> {
    let name = format!("stepspur-rehearsal-{}-{}.toml", std::process::id(), unique_suffix());
    let settings = SettingsFile(std::env::temp_dir().join(name));
    tokio::fs::write(&settings.0, toml::to_string(config)?).await?;
    let mut child = Command::new(program)
        .args(["run", "--log", "warn", "--config"])
        .arg(&settings.0)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let out = child.stdout.take().ok_or(LaunchError::Silent)?;
    let mut line = String::new();
    let read = timeout(START_TIMEOUT, BufReader::new(out).read_line(&mut line)).await;
    read.map_err(|_| LaunchError::Silent)??;
    let announcement: Announcement = serde_json::from_str(&line).map_err(|_| LaunchError::Silent)?;
    Ok(Running { address: announcement.listening, kind: Kind::Program { child, settings } })
}

/// Nanoseconds since the Unix epoch: distinguishes the settings files of one process.
fn unique_suffix() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos()
}

/// Starts a conductor on a thread and a runtime of its own.
async fn start_inside(config: Config) -> Result<Running, LaunchError> {
    let (end, end_rx) = oneshot::channel();
    let (started_tx, started_rx) = oneshot::channel::<Result<SocketAddr, LaunchError>>();
    let thread = std::thread::Builder::new().name("conductor".into()).spawn(move || {
        let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = match built {
            Ok(runtime) => runtime,
            Err(error) => return drop(started_tx.send(Err(error.into()))),
        };
        runtime.block_on(async move {
            let source = source::from_config(&config.source);
            match Conductor::start(config, source).await {
                Ok(conductor) => {
                    let _ = started_tx.send(Ok(conductor.address()));
                    match end_rx.await {
                        Ok(End::Terminated) => conductor.stop().await,
                        // Neither stop nor drop runs, as in a crash: its tasks end with the runtime.
                        Ok(End::Killed) | Err(_) => std::mem::forget(conductor),
                    }
                }
                Err(error) => drop(started_tx.send(Err(error.into()))),
            }
        });
        runtime.shutdown_background();
    })?;
    let address = started_rx.await.map_err(|_| LaunchError::Silent)??;
    Ok(Running { address, kind: Kind::Inside { end, thread } })
}

impl Running {
    /// Its process id; `None` if it runs inside this process or has ended.
    pub fn pid(&self) -> Option<u32> {
        match &self.kind {
            Kind::Program { child, .. } => child.id(),
            Kind::Inside { .. } => None,
        }
    }

    /// Kills it (SIGKILL or by dropping its runtime), without `Goodbye` to its proxies.
    pub async fn kill(self) {
        match self.kind {
            Kind::Program { mut child, settings } => {
                let _ = child.kill().await;
                drop(settings);
            }
            Kind::Inside { end, thread } => {
                let _ = end.send(End::Killed);
                let _ = tokio::task::spawn_blocking(move || thread.join()).await;
            }
        }
    }

    /// Terminates it gracefully (SIGTERM) and waits for its end; a process that does not end within
    /// `TERMINATE_TIMEOUT` is killed.
    pub async fn terminate(self) {
        match self.kind {
            Kind::Program { mut child, settings } => {
                let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
                let signalled = pid.is_some_and(|pid| kill_process(pid, Signal::TERM).is_ok());
                if !signalled || timeout(TERMINATE_TIMEOUT, child.wait()).await.is_err() {
                    let _ = child.kill().await;
                }
                drop(settings);
            }
            Kind::Inside { end, thread } => {
                let _ = end.send(End::Terminated);
                let _ = tokio::task::spawn_blocking(move || thread.join()).await;
            }
        }
    }
}
