//! `stepspur run --platform`: a conductor on the platform, configured by its environment, until SIGTERM.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::Conductor;
use stepspur_emulator::Announcement;
use stepspur_platform::{PlatformConfig, protocol_server};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::ExitStatus;

/// Pause between the first attempts to reload: a file that cannot be read after SIGHUP may be half written.
const FAST_RELOAD_PAUSE: Duration = Duration::from_millis(100);
/// Attempts to reload with the short pause.
const FAST_RELOAD_ATTEMPTS: u32 = 40;
/// Pause between all later attempts, until the file can be read. Another SIGHUP ends a pause early.
const SLOW_RELOAD_PAUSE: Duration = Duration::from_secs(1);

/// Runs a conductor that serves the platform's protocol, until SIGINT or SIGTERM.
pub(crate) async fn run() -> anyhow::Result<ExitStatus> {
    // Before anything else: a SIGHUP without a handler would end the process.
    let mut sighup = signal(SignalKind::hangup())?;
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let config = match PlatformConfig::load(environment) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("stepspur: {error}");
            return Ok(ExitStatus::UsageError);
        }
    };
    let (discovery, newest_discovery) = watch::channel(config.discovery);
    let name = config.name.clone();
    let mut conductor =
        Conductor::start_protocol_server(protocol_server(config.clone(), newest_discovery)).await?;
    let (listening, status, epoch) = (conductor.address(), conductor.status_address(), conductor.epoch());
    println!("{}", serde_json::to_string(&Announcement { listening, status, epoch })?);
    tracing::info!(event = "serving", name);
    let result = tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        ended = conductor.ended() => ended.context("the conductor stopped unexpectedly"),
        () = reload(&mut sighup, &config, &discovery) => Ok(()),
    };
    conductor.stop().await;
    result.map(|()| ExitStatus::Success)
}

fn environment(key: &str) -> Option<String> {
    std::env::var(key).ok()
}

/// Reloads the configuration at each SIGHUP. While it cannot be read, the previous one stays in force.
async fn reload(sighup: &mut Signal, config: &PlatformConfig, discovery: &watch::Sender<SocketAddr>) {
    loop {
        if sighup.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
        let mut attempts = 0;
        let reloaded = loop {
            let cause = match config.reload(environment) {
                Ok(reloaded) => break reloaded,
                Err(cause) => cause,
            };
            attempts += 1;
            if attempts == 1 {
                tracing::warn!(event = "reload_failed", %cause);
            } else if attempts == FAST_RELOAD_ATTEMPTS {
                tracing::warn!(event = "reload_incomplete", %cause);
            }
            let pause = if attempts < FAST_RELOAD_ATTEMPTS { FAST_RELOAD_PAUSE } else { SLOW_RELOAD_PAUSE };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Some(()) = sighup.recv() => {}
            }
        };
        for place in reloaded.restart_required {
            tracing::warn!(event = "reload_rejected", place, cause = "it takes a restart to change this");
        }
        let address = reloaded.discovery;
        discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
        tracing::info!(event = "reloaded", %address);
    }
}
