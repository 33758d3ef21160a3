//! `stepspur run`, `status` and `council`: the daemon adds only start-up and signal handling to the library.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::{Conductor, Config, http, source};
use stepspur_emulator::Announcement;
use tokio::signal::unix::{SignalKind, signal};

use crate::ExitStatus;

/// Runs a conductor until SIGINT or SIGTERM, and prints its addresses once it listens.
pub(crate) async fn run(config: Config) -> anyhow::Result<ExitStatus> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let source = source::from_config(&config.source);
    let mut conductor = Conductor::start(config, source).await?;
    let (listening, status, epoch) = (conductor.address(), conductor.status_address(), conductor.epoch());
    println!("{}", serde_json::to_string(&Announcement { listening, status, epoch })?);
    let result = tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        ended = conductor.ended() => ended.context("the conductor stopped unexpectedly"),
    };
    // Proxies are notified of the end in every case.
    conductor.stop().await;
    result.map(|()| ExitStatus::Success)
}

/// Creates the Raft state file of this conductor, and prints its path.
pub(crate) fn bootstrap(config: &Config) -> anyhow::Result<ExitStatus> {
    let Some(council) = &config.council else {
        eprintln!("stepspur: the settings have no [council] section");
        return Ok(ExitStatus::UsageError);
    };
    council.bootstrap()?;
    println!("{}", council.state.display());
    Ok(ExitStatus::Success)
}

/// Prints the counters of the conductor with this status address.
pub(crate) async fn status(address: SocketAddr, json: bool) -> anyhow::Result<ExitStatus> {
    print_page(address, "/v1/status", json).await
}

/// Prints the Raft status of the conductor with this status address.
pub(crate) async fn council_status(address: SocketAddr, json: bool) -> anyhow::Result<ExitStatus> {
    print_page(address, "/v1/council", json).await
}

async fn print_page(address: SocketAddr, path: &str, json: bool) -> anyhow::Result<ExitStatus> {
    let response = http::get(address, path, Duration::from_secs(5), 1 << 20).await;
    let (code, body) = response.with_context(|| format!("no conductor answers at {address}"))?;
    anyhow::ensure!(
        code.as_u16() != 404,
        "the conductor at {address} has no page {path}: its settings lack that part"
    );
    anyhow::ensure!(code.is_success(), "{address}{path} answered with status {code}");
    if json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(ExitStatus::Success);
    }
    let counts: std::collections::BTreeMap<String, serde_json::Value> = serde_json::from_slice(&body)?;
    for (name, value) in counts {
        println!("{name:18} {value}");
    }
    Ok(ExitStatus::Success)
}
