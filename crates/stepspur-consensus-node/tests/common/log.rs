//! The log of the project's crates in this test process, for tests that wait for a line.
#![allow(dead_code, reason = "not every test uses both kinds of waits")]

use std::fmt::{Debug, Write as _};
use std::sync::LazyLock;

use tokio::sync::watch;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// All lines of this process so far: concurrent tests write to the same log.
static LINES: LazyLock<watch::Sender<Vec<String>>> = LazyLock::new(|| {
    tracing::subscriber::set_global_default(Recorder).expect("the only subscriber");
    watch::Sender::default()
});

/// A reader of the log. Its waits are unbounded, so they belong under a timeout.
pub(crate) struct Log {
    lines: watch::Receiver<Vec<String>>,
    /// Lines that it has read, or that were written before it started.
    read: usize,
}

impl Log {
    /// Reads the lines from now on.
    pub(crate) fn follow() -> Self {
        let lines = LINES.subscribe();
        let read = lines.borrow().len();
        Self { lines, read }
    }

    /// Waits for any line, and skips all lines up to it.
    pub(crate) async fn next(&mut self) {
        let read = self.read;
        let lines = self.lines.wait_for(|lines| lines.len() > read).await.expect("it is recorded");
        self.read = lines.len();
    }

    /// Waits for the next line that contains all of these words.
    pub(crate) async fn next_with(&mut self, words: &[&str]) -> String {
        let read = self.read;
        let holds = |line: &String| words.iter().all(|word| line.contains(word));
        let found = |lines: &Vec<String>| lines[read..].iter().any(holds);
        let lines = self.lines.wait_for(found).await.expect("it is recorded");
        let position = lines[read..].iter().position(holds).expect("it was found") + read;
        self.read = position + 1;
        lines[position].clone()
    }
}

/// Writes each event of the project's crates as a line of `name=value` pairs.
struct Recorder;

impl Subscriber for Recorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("stepspur") && *metadata.level() <= Level::DEBUG
    }

    fn event(&self, event: &Event<'_>) {
        let mut line = Line::default();
        event.record(&mut line);
        LINES.send_modify(|lines| lines.push(line.0));
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

#[derive(Default)]
struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = write!(self.0, "{field}={value:?} ");
    }
}
