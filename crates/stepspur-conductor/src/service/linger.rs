//! Closes connections so that the peer receives the last bytes that were written.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// The largest amount that is read and discarded, in bytes. The connection of a peer that sends more is
/// reset.
const MAX_DRAINED_BYTES: usize = 1 << 20;
/// The size of a read, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Writes `last`, shuts down the write side, and reads and discards what the peer sends until the peer closes
/// its side or `linger_timeout` expires.
///
/// The kernel resets a connection that is closed with unread bytes in its receive buffer. The peer then loses
/// data that it has not read yet, such as the reason of a rejection.
pub async fn lingering_close(
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    last: &[u8],
    linger_timeout: Duration,
) {
    let close = async {
        write.write_all(last).await?;
        write.shutdown().await?;
        drain(&mut read).await
    };
    // The connection ends whether or not this succeeds.
    let _: Result<io::Result<()>, _> = timeout(linger_timeout, close).await;
}

/// Reads and discards bytes until the peer closes its side, up to [`MAX_DRAINED_BYTES`].
///
/// # Errors
/// The connection fails.
pub(super) async fn drain(read: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    // The buffer is on the heap: as part of the future it would occupy memory for the life of each
    // connection.
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut remaining = MAX_DRAINED_BYTES;
    while remaining > 0 {
        match read.read(&mut buffer).await? {
            0 => return Ok(()),
            count => remaining = remaining.saturating_sub(count),
        }
    }
    Ok(())
}
