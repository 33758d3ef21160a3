//! The processes of a run: started here, ended by their ids, whatever becomes of the run.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use rustix::process::{Pid, Signal, kill_process};
use stepspur_emulator::Announcement;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::record::Recorder;
use crate::hollow_conductors::message;

/// Processes of a run at most, this one among them.
pub(crate) const PROCESSES_MOST: usize = 200;
/// A process says that it runs within this.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// A process that was told to end has so long.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Notices of a process of hollow conductors that may wait.
const NOTICES_WAITING_MOST: usize = 64;
/// A report of all conductors of a process comes within this.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A process. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Its id.
    pub pid: u32,
}

impl Process {
    fn spawn(mut command: Command, log: &Path) -> anyhow::Result<Self> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = command.stdout(Stdio::piped()).stderr(log).kill_on_drop(true).spawn()?;
        let pid = child.id().context("it has ended already")?;
        Ok(Self { child, pid })
    }

    /// Kills it outright and waits until it has ended.
    pub(crate) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Tells it to end and waits for it; one that does not end in time is killed.
    pub(crate) async fn terminate(mut self) {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        let told = pid.is_some_and(|pid| kill_process(pid, Signal::TERM).is_ok());
        if !told || timeout(END_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Starts `stepspur run` and waits until it says where it listens.
///
/// # Errors
/// A program that is not there, or one that ends or says nothing in time.
pub(crate) async fn run_program(
    program: &Path,
    settings: &Path,
    log: &Path,
) -> anyhow::Result<(Process, Announcement)> {
    let mut command = Command::new(program);
    command.args(["run", "--log", "warn", "--config"]).arg(settings).stdin(Stdio::null());
    let mut process = Process::spawn(command, log)?;
    let out = process.child.stdout.take().context("no standard output")?;
    let mut line = String::new();
    let read = timeout(START_TIMEOUT, BufReader::new(out).read_line(&mut line)).await;
    read.with_context(|| format!("{} does not start", settings.display()))??;
    let said = serde_json::from_str(&line)
        .with_context(|| format!("{} did not start, see {}", settings.display(), log.display()))?;
    Ok((process, said))
}

/// A process of hollow servers.
#[derive(Debug)]
pub(crate) struct ServerProcess {
    /// The process.
    pub process: Process,
    /// Where its servers listen.
    pub addresses: Vec<std::net::SocketAddr>,
    input: ChildStdin,
    output: tokio::io::Lines<BufReader<ChildStdout>>,
}

impl ServerProcess {
    /// Starts so many servers in one process.
    ///
    /// # Errors
    /// A process that ends or says nothing in time.
    pub(crate) async fn start(count: usize, log: &Path) -> anyhow::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["hollow-servers", "--count", &count.to_string()]).stdin(Stdio::piped());
        let mut process = Process::spawn(command, log)?;
        let input = process.child.stdin.take().context("no standard input")?;
        let output = process.child.stdout.take().context("no standard output")?;
        let mut output = BufReader::new(output).lines();
        let line =
            timeout(START_TIMEOUT, output.next_line()).await.context("hollow servers do not start")??;
        let addresses = serde_json::from_str(&line.context("hollow servers ended")?)?;
        Ok(Self { process, addresses, input, output })
    }

    /// Probes that were answered so far, and their payload in bytes.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn probed(&mut self) -> anyhow::Result<(u64, u64)> {
        self.input.write_all(b"\n").await?;
        let line = timeout(REPORT_TIMEOUT, self.output.next_line()).await.context("no answer in time")??;
        Ok(serde_json::from_str(&line.context("hollow servers ended")?)?)
    }
}

/// What a process of hollow conductors says beside what is recorded.
#[derive(Debug)]
enum Notice {
    Ready,
    Failed(String),
    Reported(u64),
}

/// A process of hollow conductors.
#[derive(Debug)]
pub(crate) struct HollowProcess {
    /// The process.
    pub process: Process,
    /// The conductors in it.
    pub conductors: Vec<message::HollowConductor>,
    input: ChildStdin,
    notices: mpsc::Receiver<Notice>,
    reader: JoinHandle<anyhow::Result<()>>,
    next_token: u64,
}

impl HollowProcess {
    /// Starts a process for these conductors; they begin with [`HollowProcess::begin`].
    ///
    /// # Errors
    /// A process that ends or says nothing in time.
    pub(crate) async fn start(
        conductors: Vec<message::HollowConductor>,
        recorder: Arc<Recorder>,
        log: &Path,
    ) -> anyhow::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").stdin(Stdio::piped());
        let mut process = Process::spawn(command, log)?;
        let input = process.child.stdin.take().context("no standard input")?;
        let output = process.child.stdout.take().context("no standard output")?;
        let (tell, notices) = mpsc::channel(NOTICES_WAITING_MOST);
        let reader = tokio::spawn(read(output, recorder, tell));
        let mut hollow = Self { process, conductors, input, notices, reader, next_token: 0 };
        let ready = timeout(START_TIMEOUT, hollow.notices.recv()).await;
        ensure!(matches!(ready, Ok(Some(Notice::Ready))), "hollow conductors do not start: {ready:?}");
        Ok(hollow)
    }

    /// Starts the conductors.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn begin(&mut self, control: Vec<message::ControlPlace>) -> anyhow::Result<()> {
        let conductors = self.conductors.clone();
        self.tell(&message::Command::Start { control, conductors }).await
    }

    /// Gives a command.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn tell(&mut self, command: &message::Command) -> anyhow::Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        self.input.write_all(&line).await.context("a process of hollow conductors has ended")
    }

    /// Asks for a report, which [`HollowProcess::reported`] waits for.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn ask_report(&mut self) -> anyhow::Result<()> {
        self.next_token += 1;
        self.tell(&message::Command::Report { token: self.next_token }).await
    }

    /// Waits for the report that was asked for last.
    ///
    /// # Errors
    /// No report in time, or a conductor that did not start.
    pub(crate) async fn reported(&mut self) -> anyhow::Result<()> {
        loop {
            let notice = timeout(REPORT_TIMEOUT, self.notices.recv()).await.context("no report in time")?;
            match notice.context("a process of hollow conductors has ended")? {
                Notice::Reported(token) if token == self.next_token => return Ok(()),
                Notice::Failed(reason) => bail!("a hollow conductor does not start: {reason}"),
                Notice::Ready | Notice::Reported(_) => {}
            }
        }
    }

    /// Ends it.
    pub(crate) async fn end(self) {
        drop(self.input);
        self.process.terminate().await;
        let _ = timeout(END_TIMEOUT, self.reader).await;
    }
}

/// Records the events of a process until it ends.
async fn read(
    output: ChildStdout,
    recorder: Arc<Recorder>,
    tell: mpsc::Sender<Notice>,
) -> anyhow::Result<()> {
    let mut lines = BufReader::new(output).lines();
    while let Some(line) = lines.next_line().await? {
        let event: message::Event = serde_json::from_str(&line)?;
        let notice = match event {
            message::Event::Ready => Notice::Ready,
            message::Event::Failed { id, reason } => Notice::Failed(format!("{id:?}: {reason}")),
            message::Event::Reported { token } => Notice::Reported(token),
            event => {
                recorder.take(event);
                continue;
            }
        };
        if tell.send(notice).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// The program `stepspur`: as named, or as cargo has built it beside this one.
///
/// # Errors
/// If it is not there.
pub(crate) fn program(named: Option<PathBuf>) -> anyhow::Result<PathBuf> {
    let path = match named {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("stepspur"),
    };
    ensure!(
        path.is_file(),
        "there is no program {}: build it, `cargo build --release -p stepspur-cli`",
        path.display()
    );
    Ok(path)
}
