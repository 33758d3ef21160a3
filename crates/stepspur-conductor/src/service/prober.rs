//! Probes: an HTTP request to a server, bounded in number and time.

use std::collections::BTreeMap;
use std::sync::Arc;

use stepspur::interface::ProbeOutcome;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::core::EngineCommand;
use crate::config::{Config, micros};
use crate::engine::{Input, ProbeTarget};
use crate::http::{HttpError, get};

/// The largest load report that is read, in bytes.
const LARGEST: usize = 16 << 10;

/// Reads the values of a load report in the order of the columns; none where it holds not all of them.
pub(super) type LoadReportParser = fn(&[String], &[u8]) -> Vec<f32>;

pub(crate) async fn run(
    config: Config,
    read_load: LoadReportParser,
    mut probes: mpsc::Receiver<ProbeTarget>,
    inbox: mpsc::Sender<EngineCommand>,
    stop: CancellationToken,
) {
    let config = Arc::new(config);
    let room = Arc::new(Semaphore::new(config.probes.concurrency));
    let mut under_way = JoinSet::new();
    loop {
        let target = tokio::select! {
            () = stop.cancelled() => break,
            target = probes.recv() => match target {
                Some(target) => target,
                None => break,
            },
            Some(_) = under_way.join_next() => continue,
        };
        let place = tokio::select! {
            () = stop.cancelled() => break,
            place = Arc::clone(&room).acquire_owned() => place,
        };
        let (config, inbox) = (Arc::clone(&config), inbox.clone());
        under_way.spawn(async move {
            let _place = place;
            let _ = inbox.send(probe(&config, read_load, target).await.into()).await;
        });
    }
    under_way.shutdown().await;
}

async fn probe(config: &Config, read_load: LoadReportParser, target: ProbeTarget) -> Input {
    let sent = Instant::now();
    let answer = get(target.address, &config.probes.path, config.probes.timeout, LARGEST).await;
    if let Ok((status, body)) = &answer {
        // What crossed the socket, to be held against what is believed of it.
        let (status, body) = (status.as_u16(), String::from_utf8_lossy(&body[..body.len().min(200)]));
        tracing::debug!(event = "probe_answered", server = %target.address, status, %body);
    }
    let (outcome, load) = match answer {
        Ok((status, body)) => match status.as_u16() {
            200..300 => (ProbeOutcome::Ok, read_load(&config.reports.load_columns, &body)),
            503 => (ProbeOutcome::Rejected, Vec::new()),
            _ => (ProbeOutcome::Error, Vec::new()),
        },
        Err(HttpError::Connect(_)) => (ProbeOutcome::Unreachable, Vec::new()),
        Err(HttpError::Timeout(_)) => (ProbeOutcome::Timeout, Vec::new()),
        Err(_) => (ProbeOutcome::Reset, Vec::new()),
    };
    Input::ProbeResult { target, outcome, latency: micros(sent.elapsed()), load }
}

/// A load report as a JSON object.
pub(crate) fn json_load(columns: &[String], body: &[u8]) -> Vec<f32> {
    let values: BTreeMap<String, serde_json::Value> = serde_json::from_slice(body).unwrap_or_default();
    let value = |name: &String| values.get(name).and_then(|v| v.as_f64()).map(|v| v as f32);
    columns.iter().map(value).collect::<Option<Vec<_>>>().unwrap_or_default()
}
