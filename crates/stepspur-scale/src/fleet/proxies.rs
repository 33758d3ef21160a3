//! Proxies of the real conductors: each joins by the project's protocol and notes at which time its socket was ordered
//! what.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::bail;
use futures_util::{SinkExt, StreamExt};
use stepspur_distribution::document::{Change, Setting, Target};
use stepspur_proto::{
    Frames, FromConductor, FromProxy, LARGEST_FRAME, VERSION, address_of, from_conductor, from_proxy, v1,
};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::history::{Micros, SubscriberId, now};
use super::settings::{PROXIES, ZONES};

/// A proxy whose stream ended dials again after this.
const REDIAL: Duration = Duration::from_millis(200);
/// A conductor says something within this, or the stream is dead.
const SILENCE_MOST: Duration = Duration::from_secs(30);
/// A proxy says something this often, until its conductor has said how often it must.
const PING_EVERY: Duration = Duration::from_secs(5);
/// No conductor is pinged more often, in microseconds.
const KEEP_ALIVE_LEAST_US: u64 = 100_000;
/// Shares come as 32-bit floats.
const SHARE_ROUNDING_PPM: f64 = 1.0;

/// What a proxy was ordered, as far as documents can order it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ordered {
    /// A share of a class is let in, in millionths.
    Level {
        /// The class.
        class: String,
        /// The share.
        ppm: f64,
    },
    /// No requests may go to a server any more.
    Held(SocketAddr),
    /// Requests may go to it again.
    Released(SocketAddr),
}

impl Ordered {
    /// True: the order does what the change says.
    fn does(&self, change: &Change) -> bool {
        match (self, &change.target, change.setting) {
            (Self::Level { class, ppm }, Target::Class(wanted), Some(Setting::LevelPpm(level))) => {
                class == wanted && (ppm - f64::from(level)).abs() <= SHARE_ROUNDING_PPM
            }
            (Self::Held(server), Target::Server(wanted), Some(_)) => server == wanted,
            (Self::Released(server), Target::Server(wanted), None) => server == wanted,
            _ => false,
        }
    }
}

/// What one proxy was ordered when.
type Log = Arc<Mutex<Vec<(Micros, Ordered)>>>;

/// The proxies of all real conductors.
#[derive(Debug)]
pub struct Proxies {
    logs: BTreeMap<SubscriberId, Vec<Log>>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Proxies {
    /// None yet.
    pub fn new() -> Self {
        Self { logs: BTreeMap::new(), stop: CancellationToken::new(), tasks: TaskTracker::new() }
    }

    /// Has proxies join a real conductor.
    pub fn join(&mut self, conductor: SubscriberId, address: SocketAddr) {
        let logs = self.logs.entry(conductor).or_default();
        for place in 0..PROXIES {
            let log = Log::default();
            logs.push(Arc::clone(&log));
            let name = format!("proxy-{}-{place}", conductor.0);
            let keep = keep(address, name, ZONES[place % ZONES.len()], log);
            let stop = self.stop.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = keep => {}
                }
            });
        }
    }

    /// When the last proxy of a conductor was ordered what a change says, after this time; none: not all of those that
    /// must be. A level must reach each proxy; a server stands in the tables of some.
    pub fn ordered(&self, conductor: SubscriberId, change: &Change, after: Micros) -> Option<Micros> {
        let logs = self.logs.get(&conductor)?;
        let first = |log: &Log| {
            let log = log.lock().unwrap_or_else(PoisonError::into_inner);
            let start = log.partition_point(|(at, _)| *at < after);
            log[start..].iter().find(|(_, ordered)| ordered.does(change)).map(|(at, _)| *at)
        };
        let times: Vec<Option<Micros>> = logs.iter().map(first).collect();
        let all = matches!(change.target, Target::Class(_));
        if all && times.iter().any(Option::is_none) {
            return None;
        }
        times.into_iter().flatten().max()
    }

    /// Ends them all.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Keeps a stream to a conductor, for as long as it is polled.
async fn keep(address: SocketAddr, name: String, zone: &'static str, log: Log) {
    loop {
        if let Err(error) = stream(address, &name, zone, &log).await {
            tracing::debug!(event = "proxy_stream_ended", name, %error);
        }
        sleep(REDIAL).await;
    }
}

async fn stream(address: SocketAddr, name: &str, zone: &str, log: &Log) -> anyhow::Result<()> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut frames = Framed::new(socket, Frames::<FromConductor, FromProxy>::new(LARGEST_FRAME));
    let hello = v1::Hello {
        version: VERSION,
        name: name.into(),
        zone: zone.into(),
        fresh: true,
        ..Default::default()
    };
    frames.send(FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))).await?;
    let mut table = Table::default();
    // Until the conductor has said how often.
    let mut pings = interval(PING_EVERY);
    pings.reset();
    loop {
        let read = tokio::select! {
            _ = pings.tick() => {
                frames.send(FromProxy::new(0, 0, from_proxy::Kind::Ping(v1::Ping { token: 0 }))).await?;
                continue;
            }
            read = timeout(SILENCE_MOST, frames.next()) => read?,
        };
        let Some(frame) = read else { bail!("closed") };
        let FromConductor { epoch, sequence, kind } = frame?;
        let answer = match kind {
            Some(from_conductor::Kind::Welcome(welcome)) => {
                // A side that is silent for thrice as long is taken for dead.
                pings = interval(Duration::from_micros(welcome.keepalive_us.max(KEEP_ALIVE_LEAST_US)));
                pings.reset();
                table.classes = welcome.classes;
                continue;
            }
            Some(from_conductor::Kind::Order(order)) => {
                let mark = order.mark;
                note(log, table.take(order));
                let Some(mark) = mark else { continue };
                from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 })
            }
            Some(from_conductor::Kind::Ping(ping)) => from_proxy::Kind::Pong(v1::Pong { token: ping.token }),
            Some(from_conductor::Kind::Goodbye(goodbye)) => {
                bail!("{:?} {}", goodbye.reason(), goodbye.detail)
            }
            _ => continue,
        };
        frames.send(FromProxy::new(epoch, sequence, answer)).await?;
    }
}

/// Notes what was ordered just now.
fn note(log: &Log, ordered: Vec<Ordered>) {
    let at = now();
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    log.extend(ordered.into_iter().map(|ordered| (at, ordered)));
}

/// What a proxy holds.
#[derive(Debug, Default)]
struct Table {
    classes: Vec<String>,
    weights: BTreeMap<SocketAddr, f32>,
    withdrawn: BTreeSet<SocketAddr>,
}

impl Table {
    fn usable(&self) -> BTreeSet<SocketAddr> {
        let usable =
            self.weights.iter().filter(|(server, weight)| **weight > 0.0 && !self.withdrawn.contains(server));
        usable.map(|(server, _)| *server).collect()
    }

    /// Takes an order in, and tells what it changed.
    fn take(&mut self, order: v1::Order) -> Vec<Ordered> {
        let before = self.usable();
        let (mut lines, mut levels, mut withdrawals) = (order.lines, order.levels, order.withdrawals);
        if let Some(whole) = order.table {
            self.weights.clear();
            self.withdrawn.clear();
            lines.splice(0..0, whole.lines);
            levels.splice(0..0, whole.levels);
            withdrawals.splice(0..0, whole.withdrawals);
        }
        for line in lines {
            let Ok(server) = address_of(&line.server) else { continue };
            self.weights.insert(server, line.weight);
        }
        for withdrawal in withdrawals {
            let Ok(server) = address_of(&withdrawal.server) else { continue };
            match withdrawal.out {
                true => self.withdrawn.insert(server),
                false => self.withdrawn.remove(&server),
            };
        }
        let after = self.usable();
        let mut ordered: Vec<Ordered> =
            before.difference(&after).map(|server| Ordered::Held(*server)).collect();
        ordered.extend(after.difference(&before).map(|server| Ordered::Released(*server)));
        for level in levels {
            let Some(class) = self.classes.get(level.class as usize) else { continue };
            if let Some(v1::level::Admit::Share(share)) = level.admit {
                let ppm = f64::from(share) * 1e6;
                ordered.push(Ordered::Level { class: class.clone(), ppm });
            }
        }
        ordered
    }
}
