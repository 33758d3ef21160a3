//! A process of hollow servers. It prints the servers' addresses, and for each line on its standard input the
//! number of probes answered so far and their payload in bytes.

use tokio::io::{AsyncBufReadExt, BufReader};

use crate::hollow::servers::HollowServers;

/// Runs `count` servers until the standard input is closed.
///
/// # Errors
/// An address that cannot be bound.
pub(crate) async fn run(count: usize) -> anyhow::Result<()> {
    let servers = HollowServers::start(count).await?;
    println!("{}", serde_json::to_string(servers.addresses())?);
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while lines.next_line().await?.is_some() {
        let probed = servers.probed();
        println!("{}", serde_json::to_string(&(probed.probes(), probed.bytes()))?);
    }
    servers.stop().await;
    Ok(())
}
