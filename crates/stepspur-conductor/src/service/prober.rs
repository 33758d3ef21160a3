//! Health checks: HTTP requests to servers, with a limit of concurrent requests and a timeout.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::http::StatusCode;
use bytes::Bytes;
use stepspur::interface::ProbeOutcome;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::engine_handle::EngineHandle;
use crate::config::{Config, micros};
use crate::engine::{Input, ProbeTarget};
use crate::http::{HttpError, get};

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 10;
/// How much of a response body is logged, in bytes.
const MAX_LOGGED_BODY_BYTES: usize = 200;

/// Parses a load report into the values of `columns`, in their order. Returns an empty list unless the report
/// has a value for every column.
pub type LoadReportParser = fn(columns: &[String], body: &[u8]) -> Vec<f32>;

/// Sends health checks and reports their results to the engine.
pub(super) struct Prober {
    config: Arc<Config>,
    parse_load_report: LoadReportParser,
    engine: EngineHandle,
}

impl Prober {
    /// Creates the prober of an engine's servers.
    pub(super) fn new(config: Config, parse_load_report: LoadReportParser, engine: EngineHandle) -> Self {
        Self { config: Arc::new(config), parse_load_report, engine }
    }

    /// Sends the queued health checks until `stop` is cancelled, then aborts those in progress.
    pub(super) async fn run(self, mut targets: mpsc::Receiver<ProbeTarget>, stop: CancellationToken) {
        let concurrency = Arc::new(Semaphore::new(self.config.probes.concurrency));
        let mut in_progress = JoinSet::new();
        loop {
            let target = tokio::select! {
                () = stop.cancelled() => break,
                target = targets.recv() => match target {
                    Some(target) => target,
                    None => break,
                },
                Some(_) = in_progress.join_next() => continue,
            };
            let permit = tokio::select! {
                () = stop.cancelled() => break,
                permit = Arc::clone(&concurrency).acquire_owned() => permit,
            };
            let config = Arc::clone(&self.config);
            let parse_load_report = self.parse_load_report;
            let engine = self.engine.clone();
            in_progress.spawn(async move {
                let result = probe(&config, parse_load_report, target).await;
                engine.send(result).await;
                drop(permit);
            });
        }
        in_progress.shutdown().await;
    }
}

/// Sends a health check and classifies its result. The load report is parsed only from a successful response.
async fn probe(config: &Config, parse_load_report: LoadReportParser, target: ProbeTarget) -> Input {
    let sent_at = Instant::now();
    let path = &config.probes.path;
    let response = get(target.address, path, config.probes.timeout, MAX_RESPONSE_BYTES).await;
    let mut load = Vec::new();
    let outcome = match response {
        Ok((status, body)) => {
            log_response(&target, status, &body);
            if status.is_success() {
                load = parse_load_report(&config.reports.load_columns, &body);
            }
            outcome_of_status(status)
        }
        Err(error) => outcome_of_error(&error),
    };
    Input::ProbeResult { target, outcome, latency: micros(sent_at.elapsed()), load }
}

/// Logs the response as received, for comparison with the engine's decisions.
fn log_response(target: &ProbeTarget, status: StatusCode, body: &Bytes) {
    let logged = &body[..body.len().min(MAX_LOGGED_BODY_BYTES)];
    let body = String::from_utf8_lossy(logged);
    tracing::debug!(event = "probe_answered", server = %target.address, status = status.as_u16(), %body);
}

/// Classifies a response. 503 means that the server rejects requests but is reachable.
fn outcome_of_status(status: StatusCode) -> ProbeOutcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => ProbeOutcome::Rejected,
        status if status.is_success() => ProbeOutcome::Ok,
        _ => ProbeOutcome::Error,
    }
}

/// Classifies a failed request. A broken connection and an invalid response count as a reset.
fn outcome_of_error(error: &HttpError) -> ProbeOutcome {
    match error {
        HttpError::Connect(_) => ProbeOutcome::Unreachable,
        HttpError::Timeout(_) => ProbeOutcome::Timeout,
        HttpError::Broken(_) | HttpError::Body(_) | HttpError::Path(_) => ProbeOutcome::Reset,
    }
}

/// Parses a load report that is a JSON object with a number for each column.
pub(super) fn parse_json_load_report(columns: &[String], body: &[u8]) -> Vec<f32> {
    let report: BTreeMap<String, serde_json::Value> = serde_json::from_slice(body).unwrap_or_default();
    let mut values = Vec::with_capacity(columns.len());
    for column in columns {
        let Some(value) = report.get(column).and_then(serde_json::Value::as_f64) else { return Vec::new() };
        values.push(value as f32);
    }
    values
}
