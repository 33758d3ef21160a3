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
/// A text that has changed is read again after this time, or after the poll interval if that is shorter.
const CONFIRM_DELAY: Duration = Duration::from_millis(200);

/// Endpoints in a TOML file, one `[[node]]` each. A change that is complete and valid is sent as a complete
/// list; an invalid one is reported as a failure, and the list before stays in use.
///
/// A text counts as complete once two reads in a row have found the same: one that is still being written may
/// end between two entries, which is valid TOML. Against a writer that died, the file may state the number of
/// its entries: `servers = 12`.
#[derive(Debug)]
pub struct FileSource {
    path: PathBuf,
    poll_interval: Duration,
}

/// The file's form.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointFile {
    /// The number of entries, if the file states it.
    servers: Option<usize>,
    #[serde(default)]
    node: Vec<EndpointRecord>,
}

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {fault}", .path.display())]
struct FileError {
    path: PathBuf,
    fault: FileFault,
}

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
enum FileFault {
    /// It cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is too large.
    #[error("{bytes} bytes are more than {MAX_FILE_BYTES}")]
    TooLarge { bytes: u64 },
    /// It is not TOML of the file's form.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// It lacks entries, or has too many.
    #[error("`servers` counts {stated}, and {listed} are listed")]
    Count { stated: usize, listed: usize },
}

/// The state of a source between two reads.
#[derive(Debug, Default)]
struct PollState {
    /// Whether changes are to be sent without a request.
    watching: bool,
    /// Whether a request has not been answered yet.
    request_pending: bool,
    /// Whether the last text has changed and is to be confirmed by a further read.
    unconfirmed: bool,
    /// The text at the last read.
    last_read: Option<String>,
    /// The text that was sent last.
    last_sent: Option<String>,
}

impl FileSource {
    /// A source that reads the file at this interval.
    pub fn new(path: PathBuf, poll_interval: Duration) -> Self {
        Self { path, poll_interval }
    }

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
            // Each request is answered, even if nothing has changed.
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

    /// Reads the file, and sends its list if that is complete and either requested or changed.
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
