//! An endpoint list in a TOML file that is polled for changes.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use stepspur::interface::ListUpdate;
use tokio::time::sleep;

use super::record::to_endpoints;
use super::{DiscoveryFuture, DiscoveryRequest, EndpointFeed, EndpointRecord, ServiceDiscovery};

/// The largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// A file whose text has changed is read again after this time, or after the poll interval if that is
/// shorter.
const CONFIRM_DELAY: Duration = Duration::from_millis(200);

/// An endpoint list in a TOML file, with one `[[node]]` for each endpoint. After a change, the complete list
/// is sent. An invalid text is reported as a failure, and the previous list stays in use.
///
/// A text counts as complete once two consecutive reads have found it unchanged, because a file that is still
/// being written may end between two entries, which is valid TOML. To detect a writer that failed before the
/// end, the file may state its number of entries, such as `servers = 12`.
#[derive(Debug)]
pub struct FileSource {
    path: PathBuf,
    poll_interval: Duration,
}

/// The content of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointFile {
    /// The number of entries that the file states; none if it states none.
    servers: Option<usize>,
    #[serde(default)]
    node: Vec<EndpointRecord>,
}

/// A file that cannot be used, and the reason.
#[derive(Debug, thiserror::Error)]
#[error("{}: {fault}", .path.display())]
struct FileError {
    path: PathBuf,
    fault: FileFault,
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
enum FileFault {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes, more than the limit of {MAX_FILE_BYTES}")]
    TooLarge { bytes: u64 },
    /// The text is not valid TOML, or does not have the form of [`EndpointFile`].
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The number of entries differs from the number that the file states.
    #[error("`servers` states {stated} entries, but the file has {listed}")]
    Count { stated: usize, listed: usize },
}

/// The state of a source between two polls.
#[derive(Debug, Default)]
struct PollState {
    /// Whether changes are sent without a request.
    watching: bool,
    /// Whether a request is waiting for its update.
    request_pending: bool,
    /// Whether the text changed at the last read and must be confirmed by another read.
    unconfirmed: bool,
    /// The text at the last read.
    last_read: Option<String>,
    /// The text that was sent last.
    last_sent: Option<String>,
}

impl FileSource {
    /// Creates a source that reads the file at this interval while a watch or a request is active.
    pub fn new(path: PathBuf, poll_interval: Duration) -> Self {
        Self { path, poll_interval }
    }

    /// Serves requests, and polls the file while a watch or a request is active.
    async fn serve(self, mut feed: EndpointFeed) {
        let mut state = PollState::default();
        loop {
            let interval = match state.unconfirmed {
                true => self.poll_interval.min(CONFIRM_DELAY),
                false => self.poll_interval,
            };
            let request = tokio::select! {
                () = feed.stop.cancelled() => return,
                request = feed.requests.recv() => match request {
                    Some(request) => Some(request),
                    None => return,
                },
                () = sleep(interval), if state.watching || state.request_pending => None,
            };
            // Each request gets an update, even if the file has not changed.
            state.request_pending |= request.is_some();
            state.watching |= request == Some(DiscoveryRequest::Watch);
            if let Err(fault) = self.poll(&feed, &mut state).await {
                state.watching = false;
                state.request_pending = false;
                state.unconfirmed = false;
                feed.updates.send_failure(FileError { path: self.path.clone(), fault }).await;
            }
        }
    }

    /// Reads the file, and sends its list if the text is complete and the list was requested or has changed.
    async fn poll(&self, feed: &EndpointFeed, state: &mut PollState) -> Result<(), FileFault> {
        let text = self.read().await?;
        if state.last_read.as_ref() != Some(&text) {
            state.last_read = Some(text);
            state.unconfirmed = true;
            return Ok(());
        }
        if state.request_pending || state.last_sent.as_ref() != Some(&text) {
            let records = parse(&text)?;
            feed.updates.send(ListUpdate::Full, to_endpoints(records)).await;
            state.last_sent = Some(text);
        }
        state.unconfirmed = false;
        state.request_pending = false;
        Ok(())
    }

    async fn read(&self) -> Result<String, FileFault> {
        let bytes = tokio::fs::metadata(&self.path).await?.len();
        if bytes > MAX_FILE_BYTES {
            return Err(FileFault::TooLarge { bytes });
        }
        Ok(tokio::fs::read_to_string(&self.path).await?)
    }
}

/// Parses the entries, and checks their number against the stated one.
fn parse(text: &str) -> Result<Vec<EndpointRecord>, FileFault> {
    let file: EndpointFile = toml::from_str(text)?;
    let listed = file.node.len();
    match file.servers {
        Some(stated) if stated != listed => Err(FileFault::Count { stated, listed }),
        _ => Ok(file.node),
    }
}

impl ServiceDiscovery for FileSource {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(self.serve(feed))
    }
}
