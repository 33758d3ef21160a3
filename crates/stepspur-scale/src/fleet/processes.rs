//! Starts the processes of a run and ends them by their process ids, however the run ends.

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

/// Maximum number of processes of a run, including this one.
pub(crate) const MAX_PROCESSES: usize = 200;
/// Time within which a process must announce that it runs.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a process has to end after SIGTERM before it is killed.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the queue of notices from a process of hollow conductors.
const NOTICE_QUEUE_CAPACITY: usize = 64;
/// Time within which a process must report all its conductors.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Process id.
    pub pid: u32,
}

impl Process {
    fn spawn(mut command: Command, log: &Path) -> anyhow::Result<Self> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = command.stdout(Stdio::piped()).stderr(log).kill_on_drop(true).spawn()?;
        let pid = child.id().context("the child process has already ended")?;
        Ok(Self { child, pid })
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub(crate) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Sends SIGTERM and waits; a process that does not end within [`TERMINATE_TIMEOUT`] is killed.
    pub(crate) async fn terminate(mut self) {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        let signalled = pid.is_some_and(|pid| kill_process(pid, Signal::TERM).is_ok());
        if !signalled || timeout(TERMINATE_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Starts `stepspur run` and waits until it announces its addresses.
///
/// # Errors
/// A program that does not exist, ends early or announces nothing in time.
pub(crate) async fn run_program(
    program: &Path,
    settings: &Path,
    log: &Path,
) -> anyhow::Result<(Process, Announcement)> {
    let mut command = Command::new(program);
    command.args(["run", "--log", "warn", "--config"]).arg(settings).stdin(Stdio::null());
    let mut process = Process::spawn(command, log)?;
    let out = process.child.stdout.take().context("the child process has no standard output")?;
    let mut line = String::new();
    let read = timeout(START_TIMEOUT, BufReader::new(out).read_line(&mut line)).await;
    read.with_context(|| format!("{} announced nothing within {START_TIMEOUT:?}", settings.display()))??;
    let announcement = serde_json::from_str(&line)
        .with_context(|| format!("{} did not start, see {}", settings.display(), log.display()))?;
    Ok((process, announcement))
}

/// A process that runs hollow servers.
#[derive(Debug)]
pub(crate) struct ServerProcess {
    /// The child process.
    pub process: Process,
    /// Addresses of its servers.
    pub addresses: Vec<std::net::SocketAddr>,
    input: ChildStdin,
    output: tokio::io::Lines<BufReader<ChildStdout>>,
}

impl ServerProcess {
    /// Starts `count` servers in one process.
    ///
    /// # Errors
    /// A process that ends early or announces nothing in time.
    pub(crate) async fn start(count: usize, log: &Path) -> anyhow::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["hollow-servers", "--count", &count.to_string()]).stdin(Stdio::piped());
        let mut process = Process::spawn(command, log)?;
        let input = process.child.stdin.take().context("the child process has no standard input")?;
        let output = process.child.stdout.take().context("the child process has no standard output")?;
        let mut output = BufReader::new(output).lines();
        let line = timeout(START_TIMEOUT, output.next_line())
            .await
            .context("hollow servers did not announce their addresses in time")??;
        let addresses = serde_json::from_str(&line.context("the process of hollow servers has ended")?)?;
        Ok(Self { process, addresses, input, output })
    }

    /// Returns the number of probes answered so far, and their payload in bytes.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn probe_totals(&mut self) -> anyhow::Result<(u64, u64)> {
        self.input.write_all(b"\n").await?;
        let line = timeout(REPORT_TIMEOUT, self.output.next_line())
            .await
            .context("hollow servers did not answer in time")??;
        Ok(serde_json::from_str(&line.context("the process of hollow servers has ended")?)?)
    }
}

/// Messages of a process of hollow conductors that are not recorded.
#[derive(Debug)]
enum Notice {
    Ready,
    Failed(String),
    Reported(u64),
}

/// A process that runs hollow conductors.
#[derive(Debug)]
pub(crate) struct HollowProcess {
    /// The child process.
    pub process: Process,
    /// Conductors that it runs.
    pub conductors: Vec<message::HollowConductor>,
    input: ChildStdin,
    notices: mpsc::Receiver<Notice>,
    reader: JoinHandle<anyhow::Result<()>>,
    next_token: u64,
}

impl HollowProcess {
    /// Starts a process for these conductors; [`HollowProcess::begin`] starts the conductors in it.
    ///
    /// # Errors
    /// A process that ends early or announces nothing in time.
    pub(crate) async fn start(
        conductors: Vec<message::HollowConductor>,
        recorder: Arc<Recorder>,
        log: &Path,
    ) -> anyhow::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").stdin(Stdio::piped());
        let mut process = Process::spawn(command, log)?;
        let input = process.child.stdin.take().context("the child process has no standard input")?;
        let output = process.child.stdout.take().context("the child process has no standard output")?;
        let (notice_sender, notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        let reader = tokio::spawn(forward_events(output, recorder, notice_sender));
        let mut hollow = Self { process, conductors, input, notices, reader, next_token: 0 };
        let ready = timeout(START_TIMEOUT, hollow.notices.recv()).await;
        ensure!(matches!(ready, Ok(Some(Notice::Ready))), "hollow conductors did not start: {ready:?}");
        Ok(hollow)
    }

    /// Starts the conductors in the process.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn begin(&mut self, control: Vec<message::ControlPlace>) -> anyhow::Result<()> {
        let conductors = self.conductors.clone();
        self.send_command(&message::Command::Start { control, conductors }).await
    }

    /// Sends a command to the process.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn send_command(&mut self, command: &message::Command) -> anyhow::Result<()> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        self.input.write_all(&line).await.context("a process of hollow conductors has ended")
    }

    /// Requests a report; [`HollowProcess::wait_for_report`] waits for it.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn request_report(&mut self) -> anyhow::Result<()> {
        self.next_token += 1;
        self.send_command(&message::Command::Report { token: self.next_token }).await
    }

    /// Waits for the report that was requested last.
    ///
    /// # Errors
    /// No report within [`REPORT_TIMEOUT`], or a conductor that did not start.
    pub(crate) async fn wait_for_report(&mut self) -> anyhow::Result<()> {
        loop {
            let notice = timeout(REPORT_TIMEOUT, self.notices.recv())
                .await
                .context("hollow conductors sent no report in time")?;
            match notice.context("a process of hollow conductors has ended")? {
                Notice::Reported(token) if token == self.next_token => return Ok(()),
                Notice::Failed(reason) => bail!("a hollow conductor did not start: {reason}"),
                Notice::Ready | Notice::Reported(_) => {}
            }
        }
    }

    /// Closes the process's input, terminates it and waits until its output is read.
    pub(crate) async fn end(self) {
        drop(self.input);
        self.process.terminate().await;
        let _ = timeout(TERMINATE_TIMEOUT, self.reader).await;
    }
}

/// Records the events of a process and forwards its notices until it ends.
async fn forward_events(
    output: ChildStdout,
    recorder: Arc<Recorder>,
    notice_sender: mpsc::Sender<Notice>,
) -> anyhow::Result<()> {
    let mut lines = BufReader::new(output).lines();
    while let Some(line) = lines.next_line().await? {
        let event: message::Event = serde_json::from_str(&line)?;
        let notice = match event {
            message::Event::Ready => Notice::Ready,
            message::Event::Failed { id, reason } => Notice::Failed(format!("{id:?}: {reason}")),
            message::Event::Reported { token } => Notice::Reported(token),
            event => {
                recorder.record(event);
                continue;
            }
        };
        if notice_sender.send(notice).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// Returns the path of the program `stepspur`: the given one, or the one beside this executable.
///
/// # Errors
/// No file at that path.
pub(crate) fn program(named: Option<PathBuf>) -> anyhow::Result<PathBuf> {
    let path = match named {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("stepspur"),
    };
    ensure!(
        path.is_file(),
        "program {} does not exist: build it with `cargo build --release -p stepspur-cli`",
        path.display()
    );
    Ok(path)
}
