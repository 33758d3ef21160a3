//! Joins of all proxies: over plain TCP, by mutual TLS with tokens, again with sessions resumed, and under a flood.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stepspur_emulator::identity::DayKeys;
use stepspur_proto::{frame, from_proxy};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::ServerName;

use super::conductor::{BenchConductor, proxy_name, usage};
use super::settings::BenchArgs;
use super::stream::{Observation, follow_on, wait_bound};
use super::{LARGEST_PLAIN_FRAME, OBSERVATIONS_WAITING_MOST, PATIENCE, rights};
use crate::End;

/// Handshakes that are under way at once.
const HANDSHAKES_AT_ONCE: usize = 64;
/// The largest first frame of a proxy with a token, in bytes.
const LARGEST_HELLO: usize = 8192;
/// From the end of all streams to their rejoin: the conductor clears up after them, which nothing tells.
const STREAMS_END: Duration = Duration::from_secs(1);
/// Strangers that never finish their handshakes, and the addresses that they come from.
const STRANGERS: u32 = 500;
const STRANGERS_ADDRESSES: u32 = 50;

/// A proxy with a certificate and a token of its own.
struct KnownProxy {
    name: String,
    zone: String,
    tls: TlsConnector,
}

/// What a proxy joins by.
#[derive(Clone)]
struct Client {
    hello: Bytes,
    /// None: over plain TCP.
    tls: Option<TlsConnector>,
}

/// Measures all ways of joining and prints a line of each.
pub(super) async fn bench(args: &BenchArgs) -> anyhow::Result<End> {
    println!(
        "{} servers, {} proxies: until the last has its table, s; the conductor's CPU, s; memory a stream, KiB",
        args.servers, args.proxies
    );
    let mut conductor = BenchConductor::new(args).await?;
    from_cold(&conductor, "plain TCP", &plain_clients(&conductor, args.proxies)?).await?;
    let keys = DayKeys::new()?;
    conductor.config.listen.plain_on_loopback = false;
    conductor.config.identity = Some(keys.config());
    let proxies = known_proxies(&conductor, &keys, args.proxies)?;
    let clients = clients_with_tokens(&conductor, &keys, &proxies)?;
    from_cold(&conductor, "mutual TLS and token, from cold", &clients).await?;
    rejoins(&conductor, &keys, &proxies).await?;
    conductor.stop();
    rights::print_cost(&keys)?;
    Ok(End::Well)
}

fn plain_clients(conductor: &BenchConductor, proxies: usize) -> anyhow::Result<Vec<Client>> {
    let client = |number| {
        let hello = frame(&conductor.hello(number), LARGEST_PLAIN_FRAME)?;
        Ok(Client { hello, tls: None })
    };
    (0..proxies).map(client).collect()
}

fn known_proxies(
    conductor: &BenchConductor,
    keys: &DayKeys,
    proxies: usize,
) -> anyhow::Result<Vec<KnownProxy>> {
    let known = |number| {
        let (name, zone) = (proxy_name(number), conductor.zone(number).to_owned());
        let tls = TlsConnector::from(keys.client(&zone, &name)?);
        Ok(KnownProxy { name, zone, tls })
    };
    (0..proxies).map(known).collect()
}

/// Tokens are short: they are made anew for each round.
fn clients_with_tokens(
    conductor: &BenchConductor,
    keys: &DayKeys,
    proxies: &[KnownProxy],
) -> anyhow::Result<Vec<Client>> {
    let client = |(number, KnownProxy { name, zone, tls }): (usize, &KnownProxy)| {
        let mut hello = conductor.hello(number);
        if let Some(from_proxy::Kind::Hello(hello)) = &mut hello.kind {
            hello.credentials = keys.token(zone, name).into();
        }
        Ok(Client { hello: frame(&hello, LARGEST_HELLO)?, tls: Some(tls.clone()) })
    };
    proxies.iter().enumerate().map(client).collect()
}

/// Joins all clients to a conductor that has just started.
async fn from_cold(conductor: &BenchConductor, what: &str, clients: &[Client]) -> anyhow::Result<()> {
    let running = conductor.start_with_list().await?;
    let before = usage(&running)?;
    let (took_s, streams) = join_all(running.address, clients).await?;
    let after = usage(&running)?;
    let memory_kib = (after.rss_kib - before.rss_kib) / clients.len().max(1) as f64;
    println!("{what:42} {took_s:7.2} {:7.2} {memory_kib:7.2}", after.cpu_s - before.cpu_s);
    drop(streams);
    running.kill().await;
    Ok(())
}

/// Joins all proxies to a conductor that knows them, without strangers and with them.
async fn rejoins(conductor: &BenchConductor, keys: &DayKeys, proxies: &[KnownProxy]) -> anyhow::Result<()> {
    let running = conductor.start().await?;
    let (_, streams) = join_all(running.address, &clients_with_tokens(conductor, keys, proxies)?).await?;
    drop(streams);
    for (what, flood) in [("the same, rejoin", false), ("the same, rejoin while strangers flood", true)] {
        sleep(STREAMS_END).await;
        let strangers = if flood { half_open(running.address).await? } else { Vec::new() };
        let before = usage(&running)?.cpu_s;
        let clients = clients_with_tokens(conductor, keys, proxies)?;
        let (took_s, streams) = join_all(running.address, &clients).await?;
        println!("{what:42} {took_s:7.2} {:7.2}", usage(&running)?.cpu_s - before);
        drop((streams, strangers));
    }
    running.kill().await;
    Ok(())
}

/// Joins all clients: the seconds until the last has its table, and the streams.
async fn join_all(address: SocketAddr, clients: &[Client]) -> anyhow::Result<(f64, JoinSet<()>)> {
    let (observer, mut observations) = mpsc::channel(OBSERVATIONS_WAITING_MOST);
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_AT_ONCE));
    let from = Instant::now();
    let mut streams = JoinSet::new();
    for client in clients.iter().cloned() {
        streams.spawn(join(address, client, Arc::clone(&handshakes), observer.clone()));
    }
    wait_bound(&mut observations, clients.len()).await?;
    Ok((from.elapsed().as_secs_f64(), streams))
}

/// Dials until a connection stands, and follows it.
async fn join(
    address: SocketAddr,
    Client { hello, tls }: Client,
    handshakes: Arc<Semaphore>,
    observer: mpsc::Sender<Observation>,
) {
    loop {
        let place = Arc::clone(&handshakes).acquire_owned().await;
        let Ok(socket) = TcpStream::connect(address).await else { continue };
        // Without it answers wait for each other; the stream works all the same.
        let _ = socket.set_nodelay(true);
        let Some(tls) = &tls else {
            drop(place);
            return follow_on(socket, hello, observer).await;
        };
        // Turned away at the door while strangers hold it: dial again.
        let name = ServerName::from(address.ip());
        if let Ok(Ok(stream)) = timeout(PATIENCE, tls.connect(name, socket)).await {
            drop(place);
            return follow_on(stream, hello, observer).await;
        }
    }
}

/// Connections of strangers that never finish their handshakes.
async fn half_open(address: SocketAddr) -> anyhow::Result<Vec<TcpStream>> {
    let mut strangers = Vec::new();
    for number in 0..STRANGERS {
        let socket = TcpSocket::new_v4()?;
        let own = [127, 0, 1, (number % STRANGERS_ADDRESSES) as u8 + 1];
        socket.bind((own, 0).into())?;
        strangers.push(socket.connect(address).await?);
    }
    Ok(strangers)
}
