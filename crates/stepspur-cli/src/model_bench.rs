//! `stepspur bench --model`: the bare server model on one core, and the memory of a server.

use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use stepspur_emulator::usage::Usage;
use stepspur_model::server::{Ask, Job, Server, Spec};
use stepspur_model::work::{Form, Work};

use crate::End;

/// What was measured.
#[derive(Debug, Serialize)]
struct Measured {
    /// Arrivals and ends that one core plays in a second, by load of a server of four cores.
    events_per_s: Vec<(f64, f64)>,
    /// Resident memory of a server: with nothing to do, and with 20 requests and 20 connections. KiB.
    server_kib: [f64; 2],
}

const JOBS: u64 = 1_000_000;
const SERVERS: u64 = 20_000;

fn spec() -> Spec {
    Spec { cores: 4, slots: 8, room: 1000, handshake_work: 500.0, idle: 1_000_000, ..Spec::default() }
}

fn events_per_s(load: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let work = Work { form: Form::LogNormal, mean: 10_000.0, cv: 1.0 };
    let Ok(gaps) = Exp::new(load * 4.0 / work.mean) else { return f64::NAN };
    let mut server = Server::new(spec(), 1, 0, true);
    let conn = server.connect(0);
    let (mut clock, mut events) = (0.0f64, 0u64);
    let begun = Instant::now();
    for k in 0..JOBS {
        clock += gaps.sample(&mut rng);
        let now = clock as u64;
        while let Some(at) = server.next_at().filter(|at| *at <= now) {
            while server.closed(at).is_some() {}
            while server.poll(at).is_some() {
                events += 1;
            }
        }
        server.offer(now, Job(k), Ask { work: work.sample(&mut rng), key: None, conn });
        events += 1;
    }
    events as f64 / begun.elapsed().as_secs_f64()
}

fn server_kib(held: u64) -> anyhow::Result<f64> {
    let before = Usage::of(std::process::id())?.rss_kib;
    let mut servers: Vec<Server> = (0..SERVERS).map(|seed| Server::new(spec(), seed, 0, true)).collect();
    for server in &mut servers {
        for k in 0..held {
            let conn = server.connect(0);
            server.offer(0, Job(k), Ask { work: 1e9, key: None, conn });
        }
    }
    let after = Usage::of(std::process::id())?.rss_kib;
    drop(servers);
    Ok((after - before) / SERVERS as f64)
}

pub(crate) fn bench(json: bool) -> anyhow::Result<End> {
    // Memory first: what the others free would be used again unseen. The smaller before the larger.
    let server_kib = [server_kib(0)?, server_kib(20)?];
    let loads = [0.3, 0.7, 0.95];
    let measured = Measured { events_per_s: loads.map(|l| (l, events_per_s(l))).to_vec(), server_kib };
    if json {
        println!("{}", serde_json::to_string_pretty(&measured)?);
        return Ok(End::Well);
    }
    for (load, events) in &measured.events_per_s {
        println!("load {load:.2}: {:.2} million arrivals and ends a second on one core", events / 1e6);
    }
    let [idle, busy] = measured.server_kib;
    println!("a server: {idle:.2} KiB with nothing to do, {busy:.2} KiB with 20 requests and 20 connections");
    Ok(End::Well)
}
