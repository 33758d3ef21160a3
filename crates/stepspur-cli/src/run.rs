//! `stepspur run` and `stepspur status`: the daemon adds start-up and signals to the library, nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::{Conductor, Config, http, source};
use stepspur_emulator::Announcement;
use tokio::signal::unix::{SignalKind, signal};

use crate::End;

pub(crate) async fn run(config: Config) -> anyhow::Result<End> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let source = source::from_config(&config.source);
    let mut conductor = Conductor::start(config, source).await?;
    let (listening, status, epoch) = (conductor.address(), conductor.status_address(), conductor.epoch());
    println!("{}", serde_json::to_string(&Announcement { listening, status, epoch })?);
    let end = tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        end = conductor.ended() => end.context("the conductor ended by itself"),
    };
    // However it ends, proxies are told.
    conductor.stop().await;
    end.map(|()| End::Well)
}

/// Makes the state file of a council's first member.
pub(crate) fn bootstrap(config: &Config) -> anyhow::Result<End> {
    let Some(council) = &config.council else {
        eprintln!("stepspur: the settings name no [council]");
        return Ok(End::WrongUse);
    };
    council.bootstrap()?;
    println!("{}", council.state.display());
    Ok(End::Well)
}

pub(crate) async fn status(address: SocketAddr, json: bool) -> anyhow::Result<End> {
    show(address, "/v1/status", json).await
}

pub(crate) async fn council(address: SocketAddr, json: bool) -> anyhow::Result<End> {
    show(address, "/v1/council", json).await
}

async fn show(address: SocketAddr, path: &str, json: bool) -> anyhow::Result<End> {
    let answer = http::get(address, path, Duration::from_secs(5), 1 << 20).await;
    let (code, body) = answer.with_context(|| format!("no conductor answers at {address}"))?;
    anyhow::ensure!(code.as_u16() != 404, "the conductor at {address} has no such part");
    anyhow::ensure!(code.is_success(), "status {code} from {address}");
    if json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(End::Well);
    }
    let counts: std::collections::BTreeMap<String, serde_json::Value> = serde_json::from_slice(&body)?;
    for (name, value) in counts {
        println!("{name:18} {value}");
    }
    Ok(End::Well)
}
