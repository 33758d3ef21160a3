//! `stepspur bench --model`: measures the server model alone: events per second on a core, memory per server.

use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use stepspur_emulator::usage::Usage;
use stepspur_model::server::{Job, Request, Server, Spec};
use stepspur_model::work::{Form, Work};

use crate::ExitStatus;

/// The results; field names are keys of the JSON output.
#[derive(Debug, Serialize)]
struct Measured {
    /// Pairs: utilization of a server of four cores; arrivals and completions simulated per second.
    events_per_s: Vec<(f64, f64)>,
    /// Resident memory of a server in KiB: idle, and with 20 requests and 20 connections.
    server_kib: [f64; 2],
}

/// Requests that arrive in one measurement of events per second.
const REQUESTS: u64 = 1_000_000;
/// Servers over which the memory of one is averaged.
const SERVERS: u64 = 20_000;

fn spec() -> Spec {
    Spec { cores: 4, slots: 8, room: 1000, handshake_work: 500.0, idle: 1_000_000, ..Spec::default() }
}

/// Simulates one server at this utilization; returns arrivals and completions per second of wall-clock time.
fn events_per_s(load: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let work = Work { form: Form::LogNormal, mean: 10_000.0, cv: 1.0 };
    let Ok(interarrival) = Exp::new(load * 4.0 / work.mean) else { return f64::NAN };
    let mut server = Server::new(spec(), 1, 0, true);
    let conn = server.connect(0);
    let (mut clock, mut events) = (0.0f64, 0u64);
    let start = Instant::now();
    for k in 0..REQUESTS {
        clock += interarrival.sample(&mut rng);
        let now = clock as u64;
        while let Some(at) = server.next_at().filter(|at| *at <= now) {
            while server.closed(at).is_some() {}
            while server.poll(at).is_some() {
                events += 1;
            }
        }
        server.offer(now, Job(k), Request { work: work.sample(&mut rng), key: None, conn });
        events += 1;
    }
    events as f64 / start.elapsed().as_secs_f64()
}

/// Resident memory in KiB of a server with this many requests in progress, each on its own connection.
fn server_kib(requests: u64) -> anyhow::Result<f64> {
    let before = Usage::of(std::process::id())?.rss_kib;
    let mut servers: Vec<Server> = (0..SERVERS).map(|seed| Server::new(spec(), seed, 0, true)).collect();
    for server in &mut servers {
        for k in 0..requests {
            let conn = server.connect(0);
            server.offer(0, Job(k), Request { work: 1e9, key: None, conn });
        }
    }
    let after = Usage::of(std::process::id())?.rss_kib;
    drop(servers);
    Ok((after - before) / SERVERS as f64)
}

/// Runs all measurements and prints the results.
pub(crate) fn bench(json: bool) -> anyhow::Result<ExitStatus> {
    // Memory first, and the smaller case before the larger: otherwise a measurement would reuse memory that
    // an earlier one has freed, and resident memory would not grow.
    let server_kib = [server_kib(0)?, server_kib(20)?];
    let loads = [0.3, 0.7, 0.95];
    let measured = Measured { events_per_s: loads.map(|l| (l, events_per_s(l))).to_vec(), server_kib };
    if json {
        println!("{}", serde_json::to_string_pretty(&measured)?);
        return Ok(ExitStatus::Success);
    }
    for (load, events) in &measured.events_per_s {
        println!(
            "load {load:.2}: {:.2} million arrivals and completions per second on one core",
            events / 1e6
        );
    }
    let [idle, busy] = measured.server_kib;
    println!("a server: {idle:.2} KiB idle, {busy:.2} KiB with 20 requests and 20 connections");
    Ok(ExitStatus::Success)
}
