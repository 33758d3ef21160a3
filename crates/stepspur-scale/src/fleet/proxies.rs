//! Proxies of the real conductors. Each connects by the project's protocol and records the orders it
//! receives, with the time at which each was read from its socket.

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
    DEFAULT_MAX_FRAME_BYTES, Frames, FromConductor, FromProxy, VERSION, from_conductor, from_proxy,
    server_address, v1,
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

/// Delay before a proxy dials again after its stream ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// A stream is closed if the conductor sends nothing for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of a proxy's pings until its conductor announces the keep-alive time.
const DEFAULT_PING_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval of pings, in microseconds.
const MIN_PING_INTERVAL_US: u64 = 100_000;

/// Orders that one proxy has received so far.
type OrderLog = Arc<Mutex<Vec<Order>>>;

fn lock(log: &OrderLog) -> MutexGuard<'_, Vec<Order>> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The proxies of all real conductors, one task for each.
#[derive(Debug)]
pub(crate) struct Proxies {
    conductors: BTreeMap<SubscriberId, ConductorProxies>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// The proxies of one real conductor.
#[derive(Debug)]
struct ConductorProxies {
    logs: Vec<OrderLog>,
    /// Address at which the conductor listens; `None` while it is down.
    address: watch::Sender<Option<SocketAddr>>,
}

impl Proxies {
    /// Creates an empty set of proxies.
    pub(crate) fn new() -> Self {
        Self { conductors: BTreeMap::new(), stop: CancellationToken::new(), tasks: TaskTracker::new() }
    }

    /// Connects proxies to a real conductor. The proxies of a restarted conductor dial its new address.
    pub(crate) fn connect(&mut self, conductor: SubscriberId, address: SocketAddr) {
        if let Some(known) = self.conductors.get(&conductor) {
            known.address.send_replace(Some(address));
            return;
        }
        let mut logs = Vec::new();
        let known = watch::Sender::new(Some(address));
        for index in 0..PROXIES {
            let log = OrderLog::default();
            logs.push(Arc::clone(&log));
            let name = format!("proxy-{}-{index}", conductor.0);
            let maintain_stream = maintain_stream(known.subscribe(), name, ZONES[index % ZONES.len()], log);
            let stop = self.stop.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = maintain_stream => {}
                }
            });
        }
        self.conductors.insert(conductor, ConductorProxies { logs, address: known });
    }

    /// Stops dialling a conductor that is about to stop, as another process may be given its address.
    pub(crate) fn forget_address(&self, conductor: SubscriberId) {
        if let Some(known) = self.conductors.get(&conductor) {
            known.address.send_replace(None);
        }
    }

    /// Returns the time after `after` at which the last proxy of a conductor received the order that applies
    /// a change; `None` if a proxy that must receive it did not. A level must reach every proxy; a server is
    /// in the tables of some only.
    pub(crate) fn ordered(&self, conductor: SubscriberId, change: &Change, after: Micros) -> Option<Micros> {
        let logs = &self.conductors.get(&conductor)?.logs;
        let first = |log: &OrderLog| {
            let log = lock(log);
            let start = log.partition_point(|order| order.at < after);
            log[start..].iter().find(|order| order.ordered.applies(change)).map(|order| order.at)
        };
        let times: Vec<Option<Micros>> = logs.iter().map(first).collect();
        let all = matches!(change.target, Target::Class(_));
        if all && times.iter().any(Option::is_none) {
            return None;
        }
        times.into_iter().flatten().max()
    }

    /// Returns all orders received so far, by proxy.
    pub(crate) fn orders(&self) -> Vec<ProxyOrders> {
        let orders_of = |(&conductor, proxies): (&SubscriberId, &ConductorProxies)| {
            let orders = |log: &OrderLog| ProxyOrders { conductor, orders: lock(log).clone() };
            proxies.logs.iter().map(orders).collect::<Vec<_>>()
        };
        self.conductors.iter().flat_map(orders_of).collect()
    }

    /// Cancels all proxies and waits until their tasks have ended.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Keeps a stream open to a conductor's current address, for as long as it is polled.
async fn maintain_stream(
    mut address: watch::Receiver<Option<SocketAddr>>,
    name: String,
    zone: &'static str,
    log: OrderLog,
) {
    loop {
        let Ok(known) = address.wait_for(Option::is_some).await.map(|known| *known) else { return };
        let Some(at) = known else { continue };
        if let Err(error) = run_stream(at, &name, zone, &log).await {
            tracing::debug!(event = "proxy_stream_ended", name, %error);
        }
        record_stream_end(&log);
        sleep(RECONNECT_DELAY).await;
    }
}

/// Records that the stream has ended, unless no order was received since the last end.
fn record_stream_end(log: &OrderLog) {
    let at = now();
    let mut log = lock(log);
    if log.last().is_some_and(|order| order.ordered != Ordered::StreamEnded) {
        log.push(Order { at, ordered: Ordered::StreamEnded });
    }
}

async fn run_stream(address: SocketAddr, name: &str, zone: &str, log: &OrderLog) -> anyhow::Result<()> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut frames = Framed::new(socket, Frames::<FromConductor, FromProxy>::new(DEFAULT_MAX_FRAME_BYTES));
    let hello = v1::Hello {
        version: VERSION,
        name: name.into(),
        zone: zone.into(),
        fresh: true,
        ..Default::default()
    };
    frames.send(FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))).await?;
    let mut table = Table::default();
    // Default interval, used until the conductor's welcome.
    let mut pings = interval(DEFAULT_PING_INTERVAL);
    pings.reset();
    loop {
        let read = tokio::select! {
            _ = pings.tick() => {
                frames.send(FromProxy::new(0, 0, from_proxy::Kind::Ping(v1::Ping { token: 0 }))).await?;
                continue;
            }
            read = timeout(IDLE_TIMEOUT, frames.next()) => read?,
        };
        let Some(frame) = read else { bail!("the conductor closed the stream") };
        let FromConductor { epoch, sequence, kind } = frame?;
        let answer = match kind {
            Some(from_conductor::Kind::Welcome(welcome)) => {
                // A side that sends nothing for three times the keep-alive time is considered dead.
                pings = interval(Duration::from_micros(welcome.keepalive_us.max(MIN_PING_INTERVAL_US)));
                pings.reset();
                table.classes = welcome.classes;
                continue;
            }
            Some(from_conductor::Kind::Order(order)) => {
                let mark = order.mark;
                record_orders(log, table.apply(order));
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

/// Records orders with the current time.
fn record_orders(log: &OrderLog, ordered: Vec<Ordered>) {
    let at = now();
    lock(log).extend(ordered.into_iter().map(|ordered| Order { at, ordered }));
}

/// Classes, weights and withdrawn servers of a proxy.
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

    /// Applies an order and returns its effects.
    fn apply(&mut self, order: v1::Order) -> Vec<Ordered> {
        let before = self.usable();
        let (mut lines, mut levels, mut withdrawals) = (order.lines, order.levels, order.withdrawals);
        if let Some(full_table) = order.table {
            self.weights.clear();
            self.withdrawn.clear();
            lines.splice(0..0, full_table.lines);
            levels.splice(0..0, full_table.levels);
            withdrawals.splice(0..0, full_table.withdrawals);
        }
        for line in lines {
            let Ok(server) = server_address(&line.server) else { continue };
            self.weights.insert(server, line.weight);
        }
        for withdrawal in withdrawals {
            let Ok(server) = server_address(&withdrawal.server) else { continue };
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
