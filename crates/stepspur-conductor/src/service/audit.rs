//! The audit log: a line of JSON for each change and each refused call, appended and synced before it is answered.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// A line.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(super) struct Entry {
    /// Milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The tenant.
    pub tenant: String,
    /// The caller.
    pub who: String,
    /// Where it called from.
    pub from: String,
    /// What it called.
    pub what: String,
    /// What came of it.
    pub result: String,
}

/// Lines that may wait; a refused call's is dropped beyond that, a change's waits.
const WAITING: usize = 1024;
/// The most that is read back, in bytes.
const READ_BACK: u64 = 1 << 20;

/// Where lines go.
#[derive(Clone, Debug)]
pub(crate) struct Audit {
    to: mpsc::Sender<(Entry, Option<oneshot::Sender<bool>>)>,
    path: PathBuf,
}

impl Audit {
    /// Opens the log for appending; the future writes it until all senders are gone.
    pub(crate) fn open(path: &Path) -> std::io::Result<(Self, impl Future<Output = ()> + Send + use<>)> {
        let mut file = std::fs::OpenOptions::new().append(true).create(true).open(path)?;
        let (to, mut lines) = mpsc::channel(WAITING);
        let write = async move {
            let mut go: Vec<(Entry, Option<oneshot::Sender<bool>>)> = Vec::new();
            while lines.recv_many(&mut go, WAITING).await > 0 {
                let text: String =
                    go.iter().filter_map(|(e, _)| Some(serde_json::to_string(e).ok()? + "\n")).collect();
                let done = tokio::task::spawn_blocking(move || {
                    let written = file.write_all(text.as_bytes()).and_then(|()| file.sync_data());
                    (file, written)
                });
                let Ok((back, written)) = done.await else { return };
                file = back;
                if let Err(error) = &written {
                    tracing::error!(event = "audit_failed", cause = %error);
                }
                for told in go.drain(..).filter_map(|(_, told)| told) {
                    let _ = told.send(written.is_ok());
                }
            }
        };
        Ok((Self { to, path: path.to_owned() }, write))
    }

    /// Writes a change; true once it stands on the disk.
    pub(crate) async fn change(&self, entry: Entry) -> bool {
        let (told, written) = oneshot::channel();
        self.to.send((entry, Some(told))).await.is_ok() && written.await.unwrap_or(false)
    }

    /// Writes a refused call, if there is room: a flood of them must not hold anybody up.
    pub(crate) fn refused(&self, entry: Entry) {
        if self.to.try_send((entry, None)).is_err() {
            tracing::warn!(event = "audit_dropped", cause = "too many refused calls");
        }
    }

    /// The newest lines of a tenant.
    pub(crate) async fn last(&self, tenant: &str, many: usize) -> std::io::Result<Vec<Entry>> {
        use tokio::io::{AsyncReadExt, AsyncSeekExt};
        let mut file = tokio::fs::File::open(&self.path).await?;
        let size = file.metadata().await?.len();
        file.seek(std::io::SeekFrom::Start(size.saturating_sub(READ_BACK))).await?;
        let mut text = Vec::new();
        file.take(READ_BACK).read_to_end(&mut text).await?;
        let text = String::from_utf8_lossy(&text);
        let mut entries: Vec<Entry> = text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
        entries.retain(|e| e.tenant == tenant);
        let from = entries.len().saturating_sub(many);
        Ok(entries.split_off(from))
    }
}

/// A line, now.
pub(crate) fn entry(tenant: &str, who: &str, from: impl ToString, what: String, result: String) -> Entry {
    let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Entry {
        at_unix_ms: at.as_millis() as u64,
        tenant: tenant.to_owned(),
        who: who.to_owned(),
        from: from.to_string(),
        what,
        result,
    }
}
