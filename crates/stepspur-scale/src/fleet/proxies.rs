//! Proxies of the real conductors: each joins by the project's protocol and notes at which time its socket was ordered
//! what.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::bail;
use futures_util::{SinkExt, StreamExt};
use stepspur_distribution::document::{Change, Target};
use stepspur_proto::{
    Frames, FromConductor, FromProxy, LARGEST_FRAME, VERSION, address_of, from_conductor, from_proxy, v1,
};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::history::{Micros, SubscriberId, now};
use super::orders::{Order, Ordered, ProxyOrders};
use super::settings::{PROXIES, ZONES};

/// A proxy whose stream ended dials again after this.
const REDIAL: Duration = Duration::from_millis(200);
/// A conductor says something within this, or the stream is dead.
const SILENCE_MOST: Duration = Duration::from_secs(30);
/// A proxy says something this often, until its conductor has said how often it must.
const PING_EVERY: Duration = Duration::from_secs(5);
/// No conductor is pinged more often, in microseconds.
const KEEP_ALIVE_LEAST_US: u64 = 100_000;

/// What one proxy was ordered so far.
type Log = Arc<Mutex<Vec<Order>>>;

fn lock(log: &Log) -> MutexGuard<'_, Vec<Order>> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The proxies of all real conductors.
#[derive(Debug)]
pub(crate) struct Proxies {
    conductors: BTreeMap<SubscriberId, OfConductor>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// The proxies of one real conductor.
#[derive(Debug)]
struct OfConductor {
    logs: Vec<Log>,
    /// Where it listens, while it runs.
    address: watch::Sender<Option<SocketAddr>>,
}

impl Proxies {
    /// None yet.
    pub(crate) fn new() -> Self {
        Self { conductors: BTreeMap::new(), stop: CancellationToken::new(), tasks: TaskTracker::new() }
    }

    /// Has proxies join a real conductor. Those of one that was started again go to its new address.
    pub(crate) fn join(&mut self, conductor: SubscriberId, address: SocketAddr) {
        if let Some(known) = self.conductors.get(&conductor) {
            known.address.send_replace(Some(address));
            return;
        }
        let mut logs = Vec::new();
        let known = watch::Sender::new(Some(address));
        for place in 0..PROXIES {
            let log = Log::default();
            logs.push(Arc::clone(&log));
            let name = format!("proxy-{}-{place}", conductor.0);
            let keep = keep(known.subscribe(), name, ZONES[place % ZONES.len()], log);
            let stop = self.stop.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = keep => {}
                }
            });
        }
        self.conductors.insert(conductor, OfConductor { logs, address: known });
    }

    /// A conductor is about to end: its address is not dialled any more, as it may be another's soon.
    pub(crate) fn forget_address(&self, conductor: SubscriberId) {
        if let Some(known) = self.conductors.get(&conductor) {
            known.address.send_replace(None);
        }
    }

    /// When the last proxy of a conductor was ordered what a change says, after this time; none: not all of those that
    /// must be. A level must reach each proxy; a server stands in the tables of some.
    pub(crate) fn ordered(&self, conductor: SubscriberId, change: &Change, after: Micros) -> Option<Micros> {
        let logs = &self.conductors.get(&conductor)?.logs;
        let first = |log: &Log| {
            let log = lock(log);
            let start = log.partition_point(|order| order.at < after);
            log[start..].iter().find(|order| order.ordered.does(change)).map(|order| order.at)
        };
        let times: Vec<Option<Micros>> = logs.iter().map(first).collect();
        let all = matches!(change.target, Target::Class(_));
        if all && times.iter().any(Option::is_none) {
            return None;
        }
        times.into_iter().flatten().max()
    }

    /// All orders so far.
    pub(crate) fn orders(&self) -> Vec<ProxyOrders> {
        let of = |(&conductor, proxies): (&SubscriberId, &OfConductor)| {
            let orders = |log: &Log| ProxyOrders { conductor, orders: lock(log).clone() };
            proxies.logs.iter().map(orders).collect::<Vec<_>>()
        };
        self.conductors.iter().flat_map(of).collect()
    }

    /// Ends them all.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Keeps a stream to a conductor wherever it listens, for as long as it is polled.
async fn keep(mut address: watch::Receiver<Option<SocketAddr>>, name: String, zone: &'static str, log: Log) {
    loop {
        let Ok(known) = address.wait_for(Option::is_some).await.map(|known| *known) else { return };
        let Some(at) = known else { continue };
        if let Err(error) = stream(at, &name, zone, &log).await {
            tracing::debug!(event = "proxy_stream_ended", name, %error);
        }
        note_end(&log);
        sleep(REDIAL).await;
    }
}

/// Notes that the stream has ended; of attempts that end before an order nothing is noted.
fn note_end(log: &Log) {
    let at = now();
    let mut log = lock(log);
    if log.last().is_some_and(|order| order.ordered != Ordered::Nothing) {
        log.push(Order { at, ordered: Ordered::Nothing });
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
    lock(log).extend(ordered.into_iter().map(|ordered| Order { at, ordered }));
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
