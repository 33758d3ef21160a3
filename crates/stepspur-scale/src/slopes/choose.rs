//! What a proxy spends on a request by its table: the model's proxy, in this process and on one core.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stepspur_model::proxy::{Pick, Proxy, Spec, Tried};
use stepspur_proto::v1;

use super::result::{Metric, Values};
use crate::hollow::servers::address_of;

/// Requests between two looks at the clock of the whole, and between two reports.
const BATCH: u64 = 500;
const SERVER_PORT: u16 = 80;

/// Measures a table of so many lines, each of three ways for `span`.
///
/// # Errors
/// If the proxy finds no server.
pub(super) fn measure(lines: usize, seed: u64, span: Duration) -> anyhow::Result<Values> {
    let mut proxy = proxy(lines, seed);
    let mut times = Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3)?;
    let from = Instant::now();
    let mut requests = 0u64;
    while from.elapsed() < span {
        for _ in 0..BATCH {
            requests += 1;
            let at = Instant::now();
            request(&mut proxy, requests, false)?;
            times.saturating_record(at.elapsed().as_nanos() as u64);
        }
        std::hint::black_box(proxy.report(requests));
    }
    let once = mean_us(&mut proxy, false, span)?;
    let twice = mean_us(&mut proxy, true, span)?;
    let p99 = times.value_at_quantile(0.99) as f64 / 1e3;
    Ok(Values::from([(Metric::ChooseUs, once), (Metric::ChooseP99Us, p99), (Metric::ChooseAgainUs, twice)]))
}

fn proxy(lines: usize, seed: u64) -> Proxy {
    let spec = Spec {
        pick: Pick::Wheel,
        avoid_after: 3,
        avoid_for: 1_000_000,
        classes: 3,
        usual_resend: v1::Resend::Once,
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

/// A request: let in, sent to a server and answered; with `again` after a first try that never ran.
fn request(proxy: &mut Proxy, now: u64, again: bool) -> anyhow::Result<()> {
    let none = || anyhow::anyhow!("the proxy finds no server");
    anyhow::ensure!(proxy.admit(now, 0), "the proxy lets nothing in");
    let first = proxy.pick(now, &[]).ok_or_else(none)?;
    if !again {
        proxy.note(now, first, Tried::Good, 20_000, Vec::new());
        return Ok(());
    }
    proxy.note(now, first, Tried::NeverRan, 100, Vec::new());
    anyhow::ensure!(proxy.may_try_again(0, 1, Tried::NeverRan), "the proxy may not try again");
    let second = proxy.pick(now, &[first]).ok_or_else(none)?;
    proxy.note(now, second, Tried::Good, 20_000, Vec::new());
    Ok(())
}

fn mean_us(proxy: &mut Proxy, again: bool, span: Duration) -> anyhow::Result<f64> {
    let (from, mut requests) = (Instant::now(), 0u64);
    while from.elapsed() < span {
        for _ in 0..BATCH {
            requests += 1;
            // A millisecond of the proxy's time each, so that what it keeps clear of comes back.
            request(proxy, requests * 1_000, again)?;
        }
        std::hint::black_box(proxy.report(requests));
    }
    Ok(from.elapsed().as_secs_f64() * 1e6 / requests as f64)
}
