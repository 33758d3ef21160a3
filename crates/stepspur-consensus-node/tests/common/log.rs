//! Records the log events of this project's crates in the test process, for tests that wait for one.
#![allow(dead_code, reason = "not every test uses both kinds of waits")]

use std::fmt::{Debug, Write as _};
use std::sync::LazyLock;

use tokio::sync::watch;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// All lines recorded in this process. Tests that run concurrently share them.
static LINES: LazyLock<watch::Sender<Vec<String>>> = LazyLock::new(|| {
    tracing::subscriber::set_global_default(Recorder).expect("no other global subscriber");
    watch::Sender::default()
});

/// A reader of the recorded lines. Its waits have no timeout; callers add one.
pub(crate) struct Log {
    lines: watch::Receiver<Vec<String>>,
    /// The index of the first line that it has not read; it skips lines recorded before it started.
    next_line: usize,
}

impl Log {
    /// Creates a reader of the lines that are recorded from now on.
    pub(crate) fn follow() -> Self {
        let lines = LINES.subscribe();
        let next_line = lines.borrow().len();
        Self { lines, next_line }
    }

    /// Waits for a further line, and skips all lines recorded by then.
    pub(crate) async fn next(&mut self) {
        let next_line = self.next_line;
        let lines = self.lines.wait_for(|lines| lines.len() > next_line).await.expect("the sender is static");
        self.next_line = lines.len();
    }

    /// Waits for the next line that contains all of these words, and returns it.
    pub(crate) async fn next_with(&mut self, words: &[&str]) -> String {
        let next_line = self.next_line;
        let matches = |line: &String| words.iter().all(|word| line.contains(word));
        let found = |lines: &Vec<String>| lines[next_line..].iter().any(matches);
        let lines = self.lines.wait_for(found).await.expect("the sender is static");
        let position = lines[next_line..].iter().position(matches).expect("a matching line") + next_line;
        self.next_line = position + 1;
        lines[position].clone()
    }
}

/// A subscriber that records each event of this project's crates as a line of `name=value` pairs.
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

/// The fields of one event, as text.
#[derive(Default)]
struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = write!(self.0, "{field}={value:?} ");
    }
}
