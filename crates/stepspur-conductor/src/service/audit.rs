//! The audit log: one line of JSON for each change and for each rejected call of an identified caller.
//!
//! A change is synced to disk before its caller gets the response. Rejected calls are dropped while the queue
//! of entries is full.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use stepspur_identity::grant::Caller;
use tokio::io::{AsyncReadExt, AsyncSeekExt};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of entries to write. While it is full, rejected calls are dropped and changes wait.
const QUEUE_CAPACITY: usize = 1024;
/// How much of the end of the log is read to find the newest entries, in bytes.
const MAX_READ_BYTES: u64 = 1 << 20;

/// An entry of the audit log, as stored in a line of the file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(super) struct AuditEntry {
    /// The time of the call, in milliseconds since 1970.
    at_unix_ms: u64,
    /// The caller's tenant.
    tenant: String,
    /// The caller's name.
    #[serde(rename = "who")]
    caller: String,
    /// The remote address of the caller's connection.
    #[serde(rename = "from")]
    peer: String,
    /// The name of the call with its arguments.
    #[serde(rename = "what")]
    call: String,
    /// The result of the call as text, such as `done` or `refused: REASON`.
    result: String,
}

impl AuditEntry {
    /// Creates an entry with the system clock's present time.
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

/// An entry that waits to be written.
#[derive(Debug)]
struct WriteRequest {
    entry: AuditEntry,
    /// Receives true once the entry is synced to disk, or false if the write fails. None for rejected calls,
    /// whose callers do not wait.
    written: Option<oneshot::Sender<bool>>,
}

/// A handle to the audit log; the task that owns the file is run by the supervisor.
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
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        Ok((Self { requests, path: path.to_owned() }, write_entries(file, queue)))
    }

    /// Records a change and waits until its entry is synced to disk. Returns false if it could not be
    /// written.
    pub(super) async fn record_change(&self, entry: AuditEntry) -> bool {
        let (written, is_written) = oneshot::channel();
        let request = WriteRequest { entry, written: Some(written) };
        self.requests.send(request).await.is_ok() && is_written.await.unwrap_or(false)
    }

    /// Records a rejected call, or drops the entry if the queue is full, so that a flood of rejected calls
    /// does not delay callers.
    pub(super) fn record_rejection(&self, entry: AuditEntry) {
        if self.requests.try_send(WriteRequest { entry, written: None }).is_err() {
            tracing::warn!(event = "audit_dropped", cause = "the queue of audit entries is full");
        }
    }

    /// Reads at most `max_entries` of a tenant's newest entries, in the order of their times. Only the last
    /// mebibyte of the log is searched, so that a call reads a bounded amount.
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
        // The first line may be truncated: lines that cannot be parsed are skipped.
        let parsed = text.lines().filter_map(|line| serde_json::from_str::<AuditEntry>(line).ok());
        let mut entries: Vec<_> = parsed.filter(|entry| entry.tenant == tenant).collect();
        let first = entries.len().saturating_sub(max_entries);
        Ok(entries.split_off(first))
    }
}

/// Appends entries in batches. Each batch is synced to disk before its callers are notified.
async fn write_entries(mut file: File, mut queue: mpsc::Receiver<WriteRequest>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, QUEUE_CAPACITY).await > 0 {
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
            // The caller may have disconnected.
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
