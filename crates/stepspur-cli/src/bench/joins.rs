//! Measures joins of all proxies: over plain TCP, over mutual TLS with tokens, with resumed TLS sessions, and
//! during a flood of half-open connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stepspur_emulator::identity::TestIdentity;
use stepspur_proto::{encode_frame, from_proxy};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::ServerName;

use super::conductor::{BenchConductor, proxy_name, usage};
use super::settings::BenchArgs;
use super::stream::{Observation, follow_stream, wait_tables};
use super::{MAX_PLAIN_FRAME_BYTES, OBSERVATION_CAPACITY, WAIT_TIMEOUT, rights};
use crate::ExitStatus;

/// The largest number of concurrent TLS handshakes of the proxies.
const CONCURRENT_HANDSHAKES: usize = 64;
/// The largest `Hello` frame of a proxy with a token, in bytes.
const MAX_HELLO_BYTES: usize = 8192;
/// Pause between the end of all streams and their rejoin: nothing signals when the conductor has cleaned up
/// after them.
const CLEANUP_PAUSE: Duration = Duration::from_secs(1);
/// Connections of the flood, which never finish their handshakes.
const HALF_OPEN_CONNECTIONS: u32 = 500;
/// Source addresses of the flood.
const HALF_OPEN_ADDRESSES: u32 = 50;

/// A proxy with a certificate of its own, for which tokens can be issued.
struct ProxyIdentity {
    name: String,
    zone: String,
    tls: TlsConnector,
}

/// What a proxy needs to join.
#[derive(Clone)]
struct Client {
    hello: Bytes,
    /// None for plain TCP.
    tls: Option<TlsConnector>,
}

/// Measures all kinds of joins and prints one line for each.
pub(super) async fn bench(args: &BenchArgs) -> anyhow::Result<ExitStatus> {
    println!(
        "{} servers, {} proxies: until the last has its table, s; the conductor's CPU, s; memory a stream, KiB",
        args.servers, args.proxies
    );
    let mut conductor = BenchConductor::new(args).await?;
    first_joins(&conductor, "plain TCP", &plain_clients(&conductor, args.proxies)?).await?;
    let keys = TestIdentity::new()?;
    conductor.config.listen.plain_on_loopback = false;
    conductor.config.identity = Some(keys.config());
    let proxies = proxy_identities(&conductor, &keys, args.proxies)?;
    let clients = clients_with_tokens(&conductor, &keys, &proxies)?;
    first_joins(&conductor, "mutual TLS and token, from cold", &clients).await?;
    rejoins(&conductor, &keys, &proxies).await?;
    conductor.stop();
    rights::print_cost(&keys)?;
    Ok(ExitStatus::Success)
}

/// Clients that join over plain TCP.
fn plain_clients(conductor: &BenchConductor, proxies: usize) -> anyhow::Result<Vec<Client>> {
    let client = |number| {
        let hello = encode_frame(&conductor.hello(number), MAX_PLAIN_FRAME_BYTES)?;
        Ok(Client { hello, tls: None })
    };
    (0..proxies).map(client).collect()
}

/// Creates a certificate for each proxy.
fn proxy_identities(
    conductor: &BenchConductor,
    keys: &TestIdentity,
    proxies: usize,
) -> anyhow::Result<Vec<ProxyIdentity>> {
    let identity = |number| {
        let (name, zone) = (proxy_name(number), conductor.zone(number).to_owned());
        let tls = TlsConnector::from(keys.client(&zone, &name)?);
        Ok(ProxyIdentity { name, zone, tls })
    };
    (0..proxies).map(identity).collect()
}

/// Tokens expire soon: each measurement issues new ones.
fn clients_with_tokens(
    conductor: &BenchConductor,
    keys: &TestIdentity,
    proxies: &[ProxyIdentity],
) -> anyhow::Result<Vec<Client>> {
    let client = |(number, ProxyIdentity { name, zone, tls }): (usize, &ProxyIdentity)| {
        let mut hello = conductor.hello(number);
        if let Some(from_proxy::Kind::Hello(hello)) = &mut hello.kind {
            hello.credentials = keys.token(zone, name).into();
        }
        Ok(Client { hello: encode_frame(&hello, MAX_HELLO_BYTES)?, tls: Some(tls.clone()) })
    };
    proxies.iter().enumerate().map(client).collect()
}

/// Measures the joins of all clients to a conductor that has just started, without TLS sessions to resume.
async fn first_joins(conductor: &BenchConductor, what: &str, clients: &[Client]) -> anyhow::Result<()> {
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

/// Measures joins with TLS sessions to resume, without and with a flood of half-open connections.
async fn rejoins(
    conductor: &BenchConductor,
    keys: &TestIdentity,
    proxies: &[ProxyIdentity],
) -> anyhow::Result<()> {
    let running = conductor.start().await?;
    let (_, streams) = join_all(running.address, &clients_with_tokens(conductor, keys, proxies)?).await?;
    drop(streams);
    for (what, flood) in [("the same, rejoin", false), ("the same, rejoin while strangers flood", true)] {
        sleep(CLEANUP_PAUSE).await;
        let flood_sockets = if flood { half_open_connections(running.address).await? } else { Vec::new() };
        let before = usage(&running)?.cpu_s;
        let clients = clients_with_tokens(conductor, keys, proxies)?;
        let (took_s, streams) = join_all(running.address, &clients).await?;
        println!("{what:42} {took_s:7.2} {:7.2}", usage(&running)?.cpu_s - before);
        drop((streams, flood_sockets));
    }
    running.kill().await;
    Ok(())
}

/// Joins all clients; returns the seconds until the last one has its table, and the streams.
async fn join_all(address: SocketAddr, clients: &[Client]) -> anyhow::Result<(f64, JoinSet<()>)> {
    let (observer, mut observations) = mpsc::channel(OBSERVATION_CAPACITY);
    let handshakes = Arc::new(Semaphore::new(CONCURRENT_HANDSHAKES));
    let from = Instant::now();
    let mut streams = JoinSet::new();
    for client in clients.iter().cloned() {
        streams.spawn(join(address, client, Arc::clone(&handshakes), observer.clone()));
    }
    wait_tables(&mut observations, clients.len()).await?;
    Ok((from.elapsed().as_secs_f64(), streams))
}

/// Dials until a connection is established, and follows its stream.
async fn join(
    address: SocketAddr,
    Client { hello, tls }: Client,
    handshakes: Arc<Semaphore>,
    observer: mpsc::Sender<Observation>,
) {
    loop {
        let permit = Arc::clone(&handshakes).acquire_owned().await;
        let Ok(socket) = TcpStream::connect(address).await else { continue };
        // An error is ignored: without `TCP_NODELAY` answers are delayed, but the stream works.
        let _ = socket.set_nodelay(true);
        let Some(tls) = &tls else {
            drop(permit);
            return follow_stream(socket, hello, observer).await;
        };
        // The conductor refuses a connection while the flood uses up its handshakes: dial again.
        let name = ServerName::from(address.ip());
        if let Ok(Ok(stream)) = timeout(WAIT_TIMEOUT, tls.connect(name, socket)).await {
            drop(permit);
            return follow_stream(stream, hello, observer).await;
        }
    }
}

/// Opens connections that never finish their handshakes.
async fn half_open_connections(address: SocketAddr) -> anyhow::Result<Vec<TcpStream>> {
    let mut sockets = Vec::new();
    for number in 0..HALF_OPEN_CONNECTIONS {
        let socket = TcpSocket::new_v4()?;
        let source = [127, 0, 1, (number % HALF_OPEN_ADDRESSES) as u8 + 1];
        socket.bind((source, 0).into())?;
        sockets.push(socket.connect(address).await?);
    }
    Ok(sockets)
}
