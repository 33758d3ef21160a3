//! Measures the time a proxy needs to admit a request and choose a server, with the model's proxy in this
//! process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stepspur_model::proxy::{AttemptResult, Pick, Proxy, Spec};
use stepspur_proto::v1;

use super::result::{Metric, Values};
use crate::hollow::servers::address_of;

/// Requests between two checks of the total time, and between two reports of the proxy.
const REQUESTS_PER_BATCH: u64 = 500;
const SERVER_PORT: u16 = 80;

/// Measures a table of `lines` servers: single requests timed one by one, then without and with a retry, each
/// for `span`.
///
/// # Errors
/// If the proxy rejects a request or finds no server.
pub(super) fn measure(lines: usize, seed: u64, span: Duration) -> anyhow::Result<Values> {
    let mut proxy = proxy(lines, seed);
    let mut durations_ns = Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3)?;
    let start = Instant::now();
    let mut requests = 0u64;
    while start.elapsed() < span {
        for _ in 0..REQUESTS_PER_BATCH {
            requests += 1;
            let request_start = Instant::now();
            request(&mut proxy, requests, false)?;
            durations_ns.saturating_record(request_start.elapsed().as_nanos() as u64);
        }
        std::hint::black_box(proxy.report(requests));
    }
    let single_us = mean_us(&mut proxy, false, span)?;
    let retried_us = mean_us(&mut proxy, true, span)?;
    let p99_us = durations_ns.value_at_quantile(0.99) as f64 / 1e3;
    Ok(Values::from([
        (Metric::ChooseUs, single_us),
        (Metric::ChooseP99Us, p99_us),
        (Metric::ChooseAgainUs, retried_us),
    ]))
}

fn proxy(lines: usize, seed: u64) -> Proxy {
    let spec = Spec {
        pick: Pick::Wheel,
        avoid_after: 3,
        avoid_for: 1_000_000,
        classes: 3,
        default_retry_policy: v1::Resend::Once,
    };
    let mut proxy = Proxy::new(spec, seed, [], 0);
    proxy.welcome(1);
    let line = |number: usize| v1::Line {
        server: Some(SocketAddr::from((address_of(number), SERVER_PORT)).into()),
        weight: 1.0 + (number % 7) as f32,
    };
    let table = v1::Table { id: 1, lines: (0..lines).map(line).collect(), ..Default::default() };
    proxy.apply(1, 1, &v1::Order { table: Some(table), ..Default::default() });
    proxy
}

/// Runs one request: admitted, sent to a server and answered. With `with_retry`, the first attempt fails
/// before it runs and is retried at another server.
fn request(proxy: &mut Proxy, now: u64, with_retry: bool) -> anyhow::Result<()> {
    let no_server = || anyhow::anyhow!("the proxy finds no server");
    anyhow::ensure!(proxy.admit(now, 0), "the proxy rejects the request");
    let first = proxy.pick(now, &[]).ok_or_else(no_server)?;
    if !with_retry {
        proxy.record_result(now, first, AttemptResult::Success, 20_000, Vec::new());
        return Ok(());
    }
    proxy.record_result(now, first, AttemptResult::NeverRan, 100, Vec::new());
    anyhow::ensure!(proxy.may_try_again(0, 1, AttemptResult::NeverRan), "the proxy allows no retry");
    let second = proxy.pick(now, &[first]).ok_or_else(no_server)?;
    proxy.record_result(now, second, AttemptResult::Success, 20_000, Vec::new());
    Ok(())
}

fn mean_us(proxy: &mut Proxy, with_retry: bool, span: Duration) -> anyhow::Result<f64> {
    let (start, mut requests) = (Instant::now(), 0u64);
    while start.elapsed() < span {
        for _ in 0..REQUESTS_PER_BATCH {
            requests += 1;
            // Advances the proxy's clock by a millisecond for each request, so that servers it avoids after
            // failures become eligible again.
            request(proxy, requests * 1_000, with_retry)?;
        }
        std::hint::black_box(proxy.report(requests));
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / requests as f64)
}
