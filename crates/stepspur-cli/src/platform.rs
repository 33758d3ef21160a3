//! `stepspur run --platform`: a conductor on the users' platform, told by its environment, until SIGTERM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::Conductor;
use stepspur_platform::{PlatformConfig, front};
use stepspur_rehearsal::Announcement;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::End;

/// A configuration that cannot be read after SIGHUP may be half written: it is read again so often and so soon.
const READINGS: u32 = 40;
const READ_AGAIN: Duration = Duration::from_millis(100);

pub async fn run() -> anyhow::Result<End> {
    // Before anything else: an unheeded SIGHUP would end the process.
    let mut hang_up = signal(SignalKind::hangup())?;
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let config = match PlatformConfig::load(|key| std::env::var(key).ok()) {
        Ok(config) => config,
        Err(fault) => {
            eprintln!("stepspur: {fault}");
            return Ok(End::WrongUse);
        }
    };
    let path = PathBuf::from(std::env::var_os("LB_CONFIG").unwrap_or_default());
    let (discovery, newest) = watch::channel(config.discovery);
    let name = config.name.clone();
    let mut conductor = Conductor::start_front(front(config, newest)).await?;
    let (listening, status, epoch) = (conductor.address(), conductor.status_address(), conductor.epoch());
    println!("{}", serde_json::to_string(&Announcement { listening, status, epoch })?);
    tracing::info!(event = "serving", name);
    let end = tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        end = conductor.ended() => end.context("the conductor ended by itself"),
        () = reload(&mut hang_up, &path, &discovery) => Ok(()),
    };
    conductor.stop().await;
    end.map(|()| End::Well)
}

/// Reads the configuration again at each SIGHUP. One that cannot be read leaves the old one in force.
async fn reload(hang_up: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    loop {
        if hang_up.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
        for reading in 0..READINGS {
            match PlatformConfig::discovery_now(path) {
                Ok(address) => {
                    discovery.send_if_modified(|known| std::mem::replace(known, address) != address);
                    tracing::info!(event = "reloaded", %address);
                    break;
                }
                Err(cause) => {
                    if reading == 0 {
                        tracing::warn!(event = "reload_failed", %cause);
                    }
                    tokio::time::sleep(READ_AGAIN).await;
                }
            }
        }
    }
}
