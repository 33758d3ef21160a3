//! The audit log: a line of JSON for each change, and for each rejected call of an identified caller as far
//! as the queue has room. A change is on the disk before its caller is answered.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use stepspur_identity::grant::Caller;
use tokio::io::{AsyncReadExt, AsyncSeekExt};
use tokio::sync::{mpsc, oneshot};

/// Entries that may wait to be written. Beyond that, rejected calls are dropped and changes wait.
const QUEUE: usize = 1024;
/// How much of the log's end is read for the newest entries, in bytes.
const MAX_READ_BYTES: u64 = 1 << 20;

/// An entry of the audit log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(super) struct AuditEntry {
    /// Milliseconds since 1970.
    at_unix_ms: u64,
    /// The caller's tenant.
    tenant: String,
    /// The caller's name.
    #[serde(rename = "who")]
    caller: String,
    /// The address that it called from.
    #[serde(rename = "from")]
    peer: String,
    /// The call with its arguments.
    #[serde(rename = "what")]
    call: String,
    /// The call's result.
    result: String,
}

impl AuditEntry {
    /// An entry of this time.
    pub(super) fn now(caller: &Caller, peer: SocketAddr, call: String, result: String) -> Self {
        let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self {
            at_unix_ms: since_1970.as_millis() as u64,
            tenant: caller.tenant.clone(),
            caller: caller.name.clone(),
            peer: peer.to_string(),
            call,
            result,
        }
    }
}

/// An entry to write.
#[derive(Debug)]
struct WriteRequest {
    entry: AuditEntry,
    /// Replied true once the entry is on the disk, and false if it cannot be written.
    written: Option<oneshot::Sender<bool>>,
}

/// A handle to the audit log.
#[derive(Clone, Debug)]
pub(super) struct AuditLog {
    requests: mpsc::Sender<WriteRequest>,
    path: PathBuf,
}

impl AuditLog {
    /// Opens the log for appending. The future writes entries until all handles are dropped.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub(super) fn open(path: &Path) -> io::Result<(Self, impl Future<Output = ()> + Send + use<>)> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        let (requests, queue) = mpsc::channel(QUEUE);
        Ok((Self { requests, path: path.to_owned() }, write_entries(file, queue)))
    }

    /// Records a change; true once its entry is on the disk.
    pub(super) async fn record_change(&self, entry: AuditEntry) -> bool {
        let (written, is_written) = oneshot::channel();
        let request = WriteRequest { entry, written: Some(written) };
        self.requests.send(request).await.is_ok() && is_written.await.unwrap_or(false)
    }

    /// Records a rejected call if there is room: a flood of them must not delay anybody.
    pub(super) fn record_rejection(&self, entry: AuditEntry) {
        if self.requests.try_send(WriteRequest { entry, written: None }).is_err() {
            tracing::warn!(event = "audit_dropped", cause = "too many refused calls");
        }
    }

    /// Reads a tenant's newest entries, the oldest of them first; no further back than a mebibyte of the log.
    ///
    /// # Errors
    /// The file cannot be read.
    pub(super) async fn newest(&self, tenant: &str, max_entries: usize) -> io::Result<Vec<AuditEntry>> {
        let mut file = tokio::fs::File::open(&self.path).await?;
        let size = file.metadata().await?.len();
        file.seek(io::SeekFrom::Start(size.saturating_sub(MAX_READ_BYTES))).await?;
        let mut bytes = Vec::new();
        file.take(MAX_READ_BYTES).read_to_end(&mut bytes).await?;
        let text = String::from_utf8_lossy(&bytes);
        // The first line may be cut: lines that are no entries are skipped.
        let parsed = text.lines().filter_map(|line| serde_json::from_str::<AuditEntry>(line).ok());
        let mut entries: Vec<_> = parsed.filter(|entry| entry.tenant == tenant).collect();
        let first = entries.len().saturating_sub(max_entries);
        Ok(entries.split_off(first))
    }
}

/// Appends entries in batches, each of which is synced before its writers are answered.
async fn write_entries(mut file: File, mut queue: mpsc::Receiver<WriteRequest>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, QUEUE).await > 0 {
        let lines = to_lines(&batch);
        let write = tokio::task::spawn_blocking(move || {
            let result = file.write_all(lines.as_bytes()).and_then(|()| file.sync_data());
            (file, result)
        });
        let Ok((returned, result)) = write.await else { return };
        file = returned;
        if let Err(error) = &result {
            tracing::error!(event = "audit_failed", cause = %error);
        }
        for written in batch.drain(..).filter_map(|request| request.written) {
            // The caller may have hung up.
            let _ = written.send(result.is_ok());
        }
    }
}

fn to_lines(batch: &[WriteRequest]) -> String {
    let mut lines = String::new();
    for request in batch {
        if let Ok(line) = serde_json::to_string(&request.entry) {
            lines.push_str(&line);
            lines.push('\n');
        }
    }
    lines
}
