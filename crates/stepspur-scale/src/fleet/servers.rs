//! A process of hollow servers: says where they listen, and for each line on its standard input what probes have cost.

use tokio::io::{AsyncBufReadExt, BufReader};

use crate::hollow::servers::HollowServers;

/// Runs servers until the standard input ends.
///
/// # Errors
/// The system's, if it gives no addresses.
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
