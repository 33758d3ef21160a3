//! `stepspur run --platform`: a conductor on the users' platform, told by its environment, until SIGTERM.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::Conductor;
use stepspur_emulator::Announcement;
use stepspur_platform::{PlatformConfig, front};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::End;

/// A configuration that cannot be read after SIGHUP may be half written: it is read again so soon, so often, and then
/// at a slower pace until it can be read or SIGHUP comes again.
const READ_AGAIN: Duration = Duration::from_millis(100);
const READINGS: u32 = 40;
const READ_LATER: Duration = Duration::from_secs(1);

pub(crate) async fn run() -> anyhow::Result<End> {
    // Before anything else: an unheeded SIGHUP would end the process.
    let mut hang_up = signal(SignalKind::hangup())?;
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let config = match PlatformConfig::load(environment) {
        Ok(config) => config,
        Err(fault) => {
            eprintln!("stepspur: {fault}");
            return Ok(End::WrongUse);
        }
    };
    let (discovery, newest) = watch::channel(config.discovery);
    let name = config.name.clone();
    let mut conductor = Conductor::start_protocol_server(front(config.clone(), newest)).await?;
    let (listening, status, epoch) = (conductor.address(), conductor.status_address(), conductor.epoch());
    println!("{}", serde_json::to_string(&Announcement { listening, status, epoch })?);
    tracing::info!(event = "serving", name);
    let end = tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        end = conductor.ended() => end.context("the conductor ended by itself"),
        () = reload(&mut hang_up, &config, &discovery) => Ok(()),
    };
    conductor.stop().await;
    end.map(|()| End::Well)
}

fn environment(key: &str) -> Option<String> {
    std::env::var(key).ok()
}

/// Reads the configuration again at each SIGHUP. While it cannot be read the old one stays in force.
async fn reload(hang_up: &mut Signal, config: &PlatformConfig, discovery: &watch::Sender<SocketAddr>) {
    loop {
        if hang_up.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
        let mut readings = 0;
        let now = loop {
            let cause = match config.reload(environment) {
                Ok(now) => break now,
                Err(cause) => cause,
            };
            readings += 1;
            if readings == 1 {
                tracing::warn!(event = "reload_failed", %cause);
            } else if readings == READINGS {
                tracing::warn!(event = "reload_incomplete", %cause);
            }
            let pause = if readings < READINGS { READ_AGAIN } else { READ_LATER };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Some(()) = hang_up.recv() => {}
            }
        };
        for place in now.refused {
            tracing::warn!(event = "reload_rejected", place, cause = "it takes a restart to change this");
        }
        let address = now.discovery;
        discovery.send_if_modified(|known| std::mem::replace(known, address) != address);
        tracing::info!(event = "reloaded", %address);
    }
}
