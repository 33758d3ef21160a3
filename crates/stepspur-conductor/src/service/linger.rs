//! Closes connections without losing what was written last.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// How much is read and dropped at most, in bytes; a peer that sends more is reset.
const MAX_DRAINED_BYTES: usize = 1 << 20;
/// The size of a read, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Writes `last`, closes this side, and reads and drops what the peer still sends until it closes its side,
/// or `linger_timeout` is over.
///
/// The kernel resets a socket that is closed over unread bytes. Then what the peer has not read yet is lost,
/// such as the reason of a rejection.
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
    // The connection ends either way: how makes no difference.
    let _: Result<io::Result<()>, _> = timeout(linger_timeout, close).await;
}

/// Reads and drops bytes until the peer closes its side.
///
/// # Errors
/// The connection breaks.
pub(super) async fn drain(read: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    // On the heap: inside the future it would take memory for as long as each connection lives.
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut left = MAX_DRAINED_BYTES;
    while left > 0 {
        match read.read(&mut buffer).await? {
            0 => return Ok(()),
            count => left = left.saturating_sub(count),
        }
    }
    Ok(())
}
