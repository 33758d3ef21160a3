//! Starting and killing a conductor: as a process of its own, or inside this one on a runtime of its own.

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
    /// Where proxies dial in.
    pub listening: SocketAddr,
    /// Where the status page answers.
    pub status: Option<SocketAddr>,
    /// Its epoch.
    pub epoch: u64,
}

/// How conductors are started.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// By this program's `run` command, killed outright by its process.
    Program(PathBuf),
    /// Inside this process; killed by dropping its runtime.
    Inside,
}

/// Why a conductor did not start.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// The settings make no file.
    #[error("the settings cannot be written: {0}")]
    Settings(#[from] toml::ser::Error),
    /// The program or its files failed.
    #[error("cannot start the conductor: {0}")]
    Io(#[from] io::Error),
    /// It ended, or said nothing in time.
    #[error("the conductor did not say where it listens")]
    Silent,
    /// The library refused.
    #[error(transparent)]
    Start(#[from] stepspur_conductor::StartError),
}

/// A conductor that runs.
#[derive(Debug)]
pub struct Running {
    /// Where proxies dial in.
    pub address: SocketAddr,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Program { child: Child, settings: Settings },
    Inside { end: oneshot::Sender<End>, thread: std::thread::JoinHandle<()> },
}

/// How one inside this process ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Killed,
    Told,
}

/// A file of settings that goes with the process.
#[derive(Debug)]
struct Settings(PathBuf);

impl Drop for Settings {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const START: Duration = Duration::from_secs(20);
/// One that was told to end has so long.
const END: Duration = Duration::from_secs(10);

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

async fn start_program(program: &Path, config: &Config) -> Result<Running, LaunchError> {
    let name = format!("stepspur-rehearsal-{}-{}.toml", std::process::id(), config_number());
    let settings = Settings(std::env::temp_dir().join(name));
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
    let read = timeout(START, BufReader::new(out).read_line(&mut line)).await;
    read.map_err(|_| LaunchError::Silent)??;
    let said: Announcement = serde_json::from_str(&line).map_err(|_| LaunchError::Silent)?;
    Ok(Running { address: said.listening, kind: Kind::Program { child, settings } })
}

/// Files of one process need different names; the time tells them apart.
fn config_number() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos()
}

async fn start_inside(config: Config) -> Result<Running, LaunchError> {
    let (end, ended) = oneshot::channel();
    let (tell, told) = oneshot::channel::<Result<SocketAddr, LaunchError>>();
    let thread = std::thread::Builder::new().name("conductor".into()).spawn(move || {
        let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = match built {
            Ok(runtime) => runtime,
            Err(error) => return drop(tell.send(Err(error.into()))),
        };
        runtime.block_on(async move {
            let source = source::from_config(&config.source);
            match Conductor::start(config, source).await {
                Ok(conductor) => {
                    let _ = tell.send(Ok(conductor.address()));
                    match ended.await {
                        Ok(End::Told) => conductor.stop().await,
                        // Neither stopped nor dropped in order: its tasks go with the runtime.
                        Ok(End::Killed) | Err(_) => std::mem::forget(conductor),
                    }
                }
                Err(error) => drop(tell.send(Err(error.into()))),
            }
        });
        runtime.shutdown_background();
    })?;
    let address = told.await.map_err(|_| LaunchError::Silent)??;
    Ok(Running { address, kind: Kind::Inside { end, thread } })
}

impl Running {
    /// Its process, if it has one of its own.
    pub fn pid(&self) -> Option<u32> {
        match &self.kind {
            Kind::Program { child, .. } => child.id(),
            Kind::Inside { .. } => None,
        }
    }

    /// Kills it outright: no goodbye, no clean end.
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

    /// Tells it to end (SIGTERM) and waits until it has; one that does not is killed.
    pub async fn terminate(self) {
        match self.kind {
            Kind::Program { mut child, settings } => {
                let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
                let told = pid.is_some_and(|pid| kill_process(pid, Signal::TERM).is_ok());
                if !told || timeout(END, child.wait()).await.is_err() {
                    let _ = child.kill().await;
                }
                drop(settings);
            }
            Kind::Inside { end, thread } => {
                let _ = end.send(End::Told);
                let _ = tokio::task::spawn_blocking(move || thread.join()).await;
            }
        }
    }
}
