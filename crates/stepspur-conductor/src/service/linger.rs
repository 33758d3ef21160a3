//! Closing connections in order.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes that are thrown away at most; a peer that goes on beyond is reset.
const MOST: usize = 1 << 20;

/// Writes `last`, ends this side, and throws away what the peer still sends until it ends too, or `within` is over.
///
/// A socket that is closed over unread bytes is reset by the kernel: what was written and not read by the peer yet is
/// then lost, the reason of a rejection among it.
pub async fn lingering_close(
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    last: &[u8],
    within: Duration,
) {
    let close = async {
        write.write_all(last).await?;
        write.shutdown().await?;
        drain(&mut read).await
    };
    let _: Result<io::Result<()>, _> = timeout(within, close).await;
}

/// Reads until the peer ends.
pub(crate) async fn drain(read: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    // On the heap: within the future it would be kept for each connection as long as that stands.
    let (mut buffer, mut left) = (vec![0; 4096], MOST);
    while left > 0 {
        match read.read(&mut buffer).await? {
            0 => return Ok(()),
            some => left = left.saturating_sub(some),
        }
    }
    Ok(())
}
