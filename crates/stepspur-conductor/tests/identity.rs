//! Identity at the sockets: certificates, tokens, rights, tenants, keys that change under traffic, floods.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use common::{config, hello};
use futures_util::{SinkExt, StreamExt};
use stepspur_conductor::config::{Identity, Source, Tenant};
use stepspur_conductor::source::FileSource;
use stepspur_conductor::{Conductor, Config};
use stepspur_identity::keys::{
    AnchorEntry, KeyId, KeyState, Manifest, OperatorEntry, ServerEntry, Signer, write_manifest,
};
use stepspur_identity::pki::{Authority, Leaf};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::tls::{self, ClientCertificates};
use stepspur_identity::token::{Claims, issue};
use stepspur_proto::{Frames, FromConductor, FromProxy, from_conductor, from_proxy, v1};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_util::codec::Framed;

const LONG: Duration = Duration::from_secs(20);

/// Keys, a list of servers and an audit log in a folder that goes with the test.
struct Keys {
    folder: PathBuf,
    manifest: Manifest,
    authority: Authority,
    signer: Signer,
}

fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_secs()
}

fn life() -> Duration {
    Duration::from_secs(3600)
}

impl Keys {
    fn new(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("stepspur-service-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (authority, _) = Authority::new("first").unwrap();
        let signer = Signer::new(KeyId::try_from("k1".to_owned()).unwrap());
        let manifest = Manifest { issuer: "desk".into(), audience: "test".into(), ..Manifest::default() };
        let mut keys = Self { folder, manifest, authority, signer };
        keys.manifest.rotate(Some(&keys.signer));
        keys.trust("ca-1");
        for (name, zones) in [("north", 6), ("south", 4)] {
            let node = |k| format!("[[node]]\naddress = \"127.0.0.1:{}\"\nzone = \"a\"\n", 9000 + k);
            let text: String = (0..zones).map(node).collect();
            std::fs::write(keys.folder.join(format!("{name}.toml")), text).unwrap();
        }
        keys.write();
        keys
    }

    /// The authority's certificate is believed, and the server shows one of it.
    fn trust(&mut self, name: &str) {
        std::fs::write(self.folder.join(format!("{name}.pem")), self.authority.pem()).unwrap();
        let server =
            self.authority.issue(&Leaf::Server(vec![[127, 0, 0, 1].into()]), now() - 60, life()).unwrap();
        server.save(&self.folder, &format!("server-{name}")).unwrap();
        self.manifest
            .anchor
            .push(AnchorEntry { file: format!("{name}.pem").into(), state: KeyState::Active });
        let (certificates, key) = (format!("server-{name}.pem").into(), format!("server-{name}.key").into());
        self.manifest.server = Some(ServerEntry { certificates, key });
    }

    fn write(&self) {
        write_manifest(&self.folder, &self.manifest).unwrap();
    }

    fn config(&self) -> Config {
        let source = |name: &str| Source::File {
            path: self.folder.join(format!("{name}.toml")),
            every: Duration::from_millis(20),
            doubt: Default::default(),
        };
        let base = config();
        let identity = Identity {
            folder: self.folder.clone(),
            tenant: "north".into(),
            certificates: ClientCertificates::Optional,
            tokens_required: false,
            leeway: Duration::ZERO,
            longest_token_life: life(),
            reload_every: Duration::from_millis(50),
            handshake_timeout: Duration::from_secs(2),
            handshakes_max: 512,
            handshakes_kept: 256,
            handshakes_of_source: 128,
            operators: Some(([127, 0, 0, 1], 0).into()),
            audit: self.folder.join("audit.jsonl"),
        };
        let south = Tenant { fleet: base.fleet.clone(), source: source("south") };
        let mut set =
            Config { identity: Some(identity), tenants: BTreeMap::from([("south".into(), south)]), ..base };
        set.listen.plain_on_loopback = false;
        set.source = source("north");
        set
    }

    async fn start(&self, set: Config) -> Conductor {
        let path = self.folder.join("north.toml");
        Conductor::start(set, Box::new(FileSource::new(path, Duration::from_millis(20)))).await.unwrap()
    }

    fn client(&self, uri: Option<&str>) -> Arc<ClientConfig> {
        let own = uri.map(|uri| {
            let issued = self.authority.issue(&Leaf::Caller(uri.into()), now() - 60, life()).unwrap();
            issued.for_tls().unwrap()
        });
        tls::client_config(&[self.authority.anchor().unwrap()], own).unwrap()
    }

    fn claims(&self, tenant: &str, name: &str, rights: Rights, seconds: u64) -> Claims {
        Claims {
            iss: "desk".into(),
            aud: "test".into(),
            sub: name.into(),
            tenant: tenant.into(),
            zone: None,
            rights,
            nbf: now() - 1,
            exp: now() + seconds,
        }
    }

    fn token(&self, tenant: &str, name: &str, rights: Rights, seconds: u64) -> Vec<u8> {
        issue(&self.signer, &self.claims(tenant, name, rights, seconds)).into_bytes()
    }

    fn audit(&self) -> String {
        std::fs::read_to_string(self.folder.join("audit.jsonl")).unwrap_or_default()
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn dial(
    address: SocketAddr,
    from: [u8; 4],
    client: Arc<ClientConfig>,
) -> std::io::Result<TlsStream<TcpStream>> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    let socket = socket.connect(address).await?;
    TlsConnector::from(client).connect(ServerName::from(address.ip()), socket).await
}

struct Proxy {
    frames: Framed<TlsStream<TcpStream>, Frames<FromConductor, FromProxy>>,
    lines: usize,
    /// The end of its rights was announced.
    expiring: bool,
}

/// How a join ended.
#[derive(Debug, PartialEq)]
enum Join {
    /// Bound, to a table of so many lines.
    Bound(usize),
    Refused(v1::Reason, String),
    /// The handshake failed, or the stream ended with no word.
    Closed,
}

impl Proxy {
    async fn join(
        address: SocketAddr,
        client: Arc<ClientConfig>,
        name: &str,
        zone: &str,
        token: Vec<u8>,
    ) -> (Join, Option<Self>) {
        Self::join_from(address, [127, 0, 0, 1], client, name, zone, token).await
    }

    async fn join_from(
        address: SocketAddr,
        from: [u8; 4],
        client: Arc<ClientConfig>,
        name: &str,
        zone: &str,
        token: Vec<u8>,
    ) -> (Join, Option<Self>) {
        let Ok(Ok(stream)) = timeout(LONG, dial(address, from, client)).await else {
            return (Join::Closed, None);
        };
        let mut proxy = Self { frames: Framed::new(stream, Frames::new(1 << 20)), lines: 0, expiring: false };
        let mut first = hello(name, zone);
        if let Some(from_proxy::Kind::Hello(hello)) = &mut first.kind {
            hello.credentials = token.into();
        }
        if proxy.frames.send(first).await.is_err() {
            return (Join::Closed, None);
        }
        loop {
            match proxy.next().await {
                Some(from_conductor::Kind::Order(order)) if order.table.is_some() => {
                    return (Join::Bound(proxy.lines), Some(proxy));
                }
                Some(from_conductor::Kind::Goodbye(g)) => return (Join::Refused(g.reason(), g.detail), None),
                Some(_) => {}
                None => return (Join::Closed, None),
            }
        }
    }

    async fn send(&mut self, kind: from_proxy::Kind) {
        let _ = self.frames.send(FromProxy::new(0, 0, kind)).await;
    }

    /// The next frame; marks are answered.
    async fn next(&mut self) -> Option<from_conductor::Kind> {
        let frame = timeout(LONG, self.frames.next()).await.expect("a frame in time")?.ok()?;
        self.expiring |= matches!(frame.kind, Some(from_conductor::Kind::Expiring(_)));
        if let Some(from_conductor::Kind::Order(order)) = &frame.kind {
            self.lines = order.table.as_ref().map_or(self.lines, |t| t.lines.len());
            if let Some(mark) = order.mark {
                let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 });
                let _ = self.frames.send(FromProxy::new(frame.epoch, frame.sequence, applied)).await;
            }
        }
        frame.kind
    }

    async fn goodbye(&mut self) -> Option<v1::Reason> {
        while let Some(kind) = self.next().await {
            if let from_conductor::Kind::Goodbye(goodbye) = kind {
                return Some(goodbye.reason());
            }
        }
        None
    }
}

fn not_allowed() -> Join {
    Join::Refused(v1::Reason::NotAllowed, "not allowed".into())
}

/// Every way to be nobody, or somebody else, looks the same; what is good is bound to its own tenant's
/// servers.
#[tokio::test]
async fn callers_are_told_apart_and_refusals_look_alike() {
    let keys = Keys::new("callers");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let good = |tenant: &str, name: &str| keys.token(tenant, name, Rights::PROXY, 600);
    let uri = Some("stepspur://north/proxy/a/p");
    let (none, empty) = (None::<&str>, Vec::new);
    let few: Rights = [Right::Join, Right::Report].into_iter().collect();
    let cases = [
        ("a certificate alone", uri, "p", "a", empty(), Join::Bound(6)),
        ("a token alone", none, "p", "a", good("north", "p"), Join::Bound(6)),
        ("both", uri, "p", "a", good("north", "p"), Join::Bound(6)),
        ("the same name of another tenant", none, "p", "a", good("south", "p"), Join::Bound(4)),
        ("nothing", none, "p", "a", empty(), not_allowed()),
        ("another's name", uri, "q", "a", empty(), not_allowed()),
        ("a certificate for another zone", uri, "p", "b", empty(), not_allowed()),
        ("a tenant that is not here", none, "p", "a", good("west", "p"), not_allowed()),
        ("another tenant's token", uri, "p", "a", good("south", "p"), not_allowed()),
        ("no right to tables", none, "p", "a", keys.token("north", "p", few, 600), not_allowed()),
        (
            "no right to join",
            none,
            "p",
            "a",
            keys.token("north", "p", [Right::ReadTables].into_iter().collect(), 600),
            not_allowed(),
        ),
        ("an operator", Some("stepspur://north/operator/ann"), "ann", "a", empty(), not_allowed()),
        ("no token", none, "p", "a", b"e30.e30.e30".to_vec(), not_allowed()),
        ("a name that is none of ours", Some("https://elsewhere/"), "p", "a", empty(), Join::Closed),
    ];
    for (what, uri, name, zone, token, expected) in cases {
        let begun = Instant::now();
        let (end, _held) = Proxy::join(address, keys.client(uri), name, zone, token).await;
        let refused = end == not_allowed();
        assert_eq!(end, expected, "{what}");
        assert!(!refused || begun.elapsed() >= Duration::from_millis(100), "{what}: told in the same time");
    }
    // A certificate of an authority that nobody trusts, and plain bytes, end at the handshake.
    let (other, _) = Authority::new("other").unwrap();
    let own = other.issue(&Leaf::Caller("stepspur://north/proxy/a/p".into()), now() - 60, life()).unwrap();
    let stranger =
        tls::client_config(&[keys.authority.anchor().unwrap()], Some(own.for_tls().unwrap())).unwrap();
    assert_eq!(Proxy::join(address, stranger, "p", "a", Vec::new()).await.0, Join::Closed);
    let expired = keys
        .authority
        .issue(&Leaf::Caller("stepspur://north/proxy/a/p".into()), now() - 7200, life())
        .unwrap();
    let late =
        tls::client_config(&[keys.authority.anchor().unwrap()], Some(expired.for_tls().unwrap())).unwrap();
    assert_eq!(Proxy::join(address, late, "p", "a", Vec::new()).await.0, Join::Closed);
    conductor.stop().await;
}

/// Rights bind on each frame; the end is announced, renewed in the stream by the same caller alone, and kept.
#[tokio::test]
async fn rights_end_in_the_stream_unless_they_are_renewed() {
    let keys = Keys::new("ends");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let token = |name: &str, seconds| keys.token("north", name, Rights::PROXY, seconds);
    let anyone = || keys.client(None);
    let (_, proxy) = Proxy::join(address, anyone(), "renews", "a", token("renews", 3)).await;
    let mut renews = proxy.unwrap();
    let (_, proxy) = Proxy::join(address, anyone(), "ends", "a", token("ends", 3)).await;
    let mut ends = proxy.unwrap();
    let (_, proxy) = Proxy::join(address, anyone(), "cheats", "a", token("cheats", 3)).await;
    let mut cheats = proxy.unwrap();
    while !renews.expiring {
        assert!(renews.next().await.is_some());
    }
    renews.send(from_proxy::Kind::Renew(v1::Renew { credentials: token("renews", 600).into() })).await;
    cheats.send(from_proxy::Kind::Renew(v1::Renew { credentials: token("another", 600).into() })).await;
    assert_eq!(cheats.goodbye().await, Some(v1::Reason::NotAllowed));
    let begun = Instant::now();
    assert_eq!(ends.goodbye().await, Some(v1::Reason::Expired));
    assert!(begun.elapsed() < Duration::from_secs(4));
    sleep(Duration::from_millis(700)).await;
    renews.send(from_proxy::Kind::Ping(v1::Ping { token: 7 })).await;
    loop {
        let kind = renews.next().await.expect("the stream stands");
        if kind == from_conductor::Kind::Pong(v1::Pong { token: 7 }) {
            break;
        }
    }
    // A token for reading and joining alone may not report.
    let quiet: Rights = [Right::ReadTables, Right::Join].into_iter().collect();
    let (end, proxy) =
        Proxy::join(address, anyone(), "quiet", "a", keys.token("north", "quiet", quiet, 600)).await;
    assert_eq!(end, Join::Bound(6));
    let mut quiet = proxy.unwrap();
    quiet.send(from_proxy::Kind::Report(v1::Report { period_us: 1, ..Default::default() })).await;
    assert_eq!(quiet.goodbye().await, Some(v1::Reason::NotAllowed));
    conductor.stop().await;
    let audit = keys.audit();
    for line in ["\"who\":\"quiet\"", "\"what\":\"report\"", "\"who\":\"cheats\"", "\"what\":\"renew\""] {
        assert!(audit.contains(line), "{line}: {audit}");
    }
}

/// Rights that end while the table still waits in the channel: it is never sent.
#[tokio::test]
async fn an_end_in_the_middle_of_a_table_ends_the_table() {
    let keys = Keys::new("middle");
    let mut set = keys.config();
    set.channel.lines_per_s = 1.0;
    let conductor = keys.start(set).await;
    let token = keys.token("north", "p", Rights::PROXY, 2);
    let (end, _) = Proxy::join(conductor.address(), keys.client(None), "p", "a", token).await;
    assert!(matches!(end, Join::Refused(v1::Reason::Expired, _)), "{end:?}");
    conductor.stop().await;
}

/// A chain is as good as its worst link: an intermediate that has expired, or is no authority.
#[tokio::test]
async fn a_chain_with_a_bad_intermediate_is_refused() {
    use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, SanType};
    let keys = Keys::new("chain");
    let (root_key, between_key, leaf_key) =
        (KeyPair::generate().unwrap(), KeyPair::generate().unwrap(), KeyPair::generate().unwrap());
    let authority = |name: &str| {
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params
    };
    let root = authority("root");
    let root_pem = root.self_signed(&root_key).unwrap().pem();
    std::fs::write(keys.folder.join("root.pem"), root_pem).unwrap();
    let mut manifest = keys.manifest.clone();
    manifest.anchor.push(AnchorEntry { file: "root.pem".into(), state: KeyState::Active });
    write_manifest(&keys.folder, &manifest).unwrap();
    let conductor = keys.start(keys.config()).await;
    let root = Issuer::new(root, root_key);
    let mut leaf = CertificateParams::default();
    leaf.subject_alt_names = vec![SanType::URI("stepspur://north/proxy/a/p".try_into().unwrap())];
    for (what, until, is_ca, expected) in [
        ("good", 2100, IsCa::Ca(BasicConstraints::Unconstrained), Join::Bound(6)),
        ("expired", 2001, IsCa::Ca(BasicConstraints::Unconstrained), Join::Closed),
        ("no authority", 2100, IsCa::NoCa, Join::Closed),
    ] {
        let mut params = authority("between");
        (params.is_ca, params.not_after) = (is_ca, rcgen::date_time_ymd(until, 1, 1));
        let between = params.signed_by(&between_key, &root).unwrap();
        let issuer = Issuer::from_params(&params, &between_key);
        let own = leaf.signed_by(&leaf_key, &issuer).unwrap();
        let chain = vec![own.der().clone(), between.der().clone()];
        let key = tokio_rustls::rustls::pki_types::PrivateKeyDer::try_from(leaf_key.serialize_der()).unwrap();
        let client = tls::client_config(&[keys.authority.anchor().unwrap()], Some((chain, key))).unwrap();
        assert_eq!(
            Proxy::join(conductor.address(), client, "p", "a", Vec::new()).await.0,
            expected,
            "{what}"
        );
    }
    conductor.stop().await;
}

/// Server certificate, authority and signing key change under steady traffic: no stream ends, old and new
/// callers join throughout; a half-written set changes nothing; a revocation ends what rests on the key, and
/// that alone.
#[tokio::test(flavor = "multi_thread")]
async fn keys_change_under_traffic_and_nobody_is_lost() {
    let mut keys = Keys::new("rotation");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let mut streams = Vec::new();
    for k in 0..200 {
        let name = format!("p{k}");
        let token = keys.token("north", &name, Rights::PROXY, 600);
        let (end, proxy) = Proxy::join(address, keys.client(None), &name, "a", token).await;
        assert_eq!(end, Join::Bound(6));
        streams.push(proxy.unwrap());
    }
    let traffic: Vec<_> = streams
        .into_iter()
        .map(|mut proxy| {
            tokio::spawn(async move {
                let mut answered = 0u64;
                loop {
                    proxy.send(from_proxy::Kind::Ping(v1::Ping { token: answered })).await;
                    loop {
                        match proxy.next().await {
                            Some(from_conductor::Kind::Pong(_)) => break,
                            Some(from_conductor::Kind::Goodbye(g)) => return (answered, Some(g.reason())),
                            Some(_) => {}
                            None => return (answered, None),
                        }
                    }
                    answered += 1;
                    sleep(Duration::from_millis(20)).await;
                }
            })
        })
        .collect();
    let old_client = keys.client(Some("stepspur://north/proxy/a/old"));
    // A new authority and server certificate; the old authority retires.
    let (authority, _) = Authority::new("second").unwrap();
    let first = std::mem::replace(&mut keys.authority, authority);
    keys.manifest.anchor[0].state = KeyState::Retiring;
    keys.trust("ca-2");
    // Half-written, and gone: nothing changes.
    let manifest = keys.folder.join("identity.toml");
    let sound = std::fs::read_to_string(&manifest).unwrap();
    std::fs::write(&manifest, &sound[..sound.len() / 2]).unwrap();
    sleep(Duration::from_millis(200)).await;
    std::fs::remove_file(&manifest).unwrap();
    sleep(Duration::from_millis(200)).await;
    let (end, _p) = Proxy::join(address, old_client.clone(), "old", "a", Vec::new()).await;
    assert_eq!(end, Join::Bound(6), "the old set stands");
    // A new signing key: next, then active.
    let new = Signer::new(KeyId::try_from("k2".to_owned()).unwrap());
    keys.manifest.rotate(Some(&new));
    keys.write();
    let new_client = keys.client(Some("stepspur://north/proxy/a/new"));
    let joined = async {
        while Proxy::join(address, new_client.clone(), "new", "a", Vec::new()).await.0 != Join::Bound(6) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LONG, joined).await.expect("the new authority is believed");
    let old_token = keys.token("north", "t-old", Rights::PROXY, 600);
    keys.signer = new;
    keys.manifest.rotate(None);
    keys.write();
    sleep(Duration::from_millis(300)).await;
    let new_token = keys.token("north", "t-new", Rights::PROXY, 600);
    for (name, token) in [("t-old", old_token.clone()), ("t-new", new_token)] {
        assert_eq!(
            Proxy::join(address, keys.client(None), name, "a", token).await.0,
            Join::Bound(6),
            "{name}"
        );
    }
    // The old caller believes both authorities' servers once it has the new anchor; its certificate still
    // holds.
    let uri = "stepspur://north/proxy/a/old";
    let own = first.issue(&Leaf::Caller(uri.into()), now() - 60, life()).unwrap().for_tls().unwrap();
    let retiring = tls::client_config(&[keys.authority.anchor().unwrap()], Some(own)).unwrap();
    assert_eq!(Proxy::join(address, retiring.clone(), "old", "a", Vec::new()).await.0, Join::Bound(6));
    assert!(traffic.iter().all(|t| !t.is_finished()), "a stream was lost by the rotation");
    // Revoked: streams and redials that rest on the key or the authority end.
    let begun = Instant::now();
    keys.manifest.signing[0].state = KeyState::Revoked;
    keys.manifest.anchor[0].state = KeyState::Revoked;
    keys.write();
    for stream in traffic {
        let (answered, reason) = timeout(LONG, stream).await.unwrap().unwrap();
        assert!(answered > 10 && reason == Some(v1::Reason::NotAllowed), "{answered} {reason:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    for _ in 0..5 {
        assert_eq!(
            Proxy::join(address, keys.client(None), "t-old", "a", old_token.clone()).await.0,
            not_allowed()
        );
        assert_eq!(Proxy::join(address, retiring.clone(), "old", "a", Vec::new()).await.0, Join::Closed);
    }
    assert_eq!(Proxy::join(address, new_client, "new", "a", Vec::new()).await.0, Join::Bound(6));
    conductor.stop().await;
}

/// One certificate is revoked by its serial number: its stream ends and its redials are refused, nobody
/// else's.
#[tokio::test]
async fn a_revoked_certificate_ends_its_stream_and_its_redials() {
    let mut keys = Keys::new("serial");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let client = |name: &str| {
        let uri = format!("stepspur://north/proxy/a/{name}");
        let own = keys.authority.issue(&Leaf::Caller(uri), now() - 60, life()).unwrap().for_tls().unwrap();
        let serial = stepspur_identity::cert::parse_caller(&own.0[0]).unwrap().serial;
        (tls::client_config(&[keys.authority.anchor().unwrap()], Some(own)).unwrap(), serial)
    };
    let ((bad, serial), (good, _)) = (client("bad"), client("good"));
    let (_, stream) = Proxy::join(address, bad.clone(), "bad", "a", Vec::new()).await;
    let (_, other) = Proxy::join(address, good, "good", "a", Vec::new()).await;
    let (mut stream, mut other) = (stream.unwrap(), other.unwrap());
    keys.manifest.revoked_serials = vec![serial.iter().map(|b| format!("{b:02x}")).collect()];
    keys.write();
    assert_eq!(stream.goodbye().await, Some(v1::Reason::NotAllowed));
    for _ in 0..3 {
        // Taken up again or not, the session is the revoked certificate's.
        assert_eq!(Proxy::join(address, bad.clone(), "bad", "a", Vec::new()).await.0, not_allowed());
    }
    other.send(from_proxy::Kind::Ping(v1::Ping { token: 3 })).await;
    while other.next().await.expect("the stream stands") != from_conductor::Kind::Pong(v1::Pong { token: 3 })
    {
    }
    conductor.stop().await;
}

/// An operator's call over HTTPS: status and body.
async fn call(
    address: SocketAddr,
    client: Arc<ClientConfig>,
    token: &[u8],
    line: &str,
    body: &str,
) -> (u16, String) {
    let mut stream = dial(address, [127, 0, 0, 1], client).await.unwrap();
    let token = String::from_utf8_lossy(token);
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {token}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = timeout(LONG, stream.read_to_end(&mut answer)).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned())
}

/// Every right by every call; a change acts on its own tenant alone and stands in the audit log, refusals
/// too.
#[tokio::test]
async fn operators_do_what_their_rights_say_and_all_of_it_is_written_down() {
    let mut keys = Keys::new("operators");
    keys.manifest.operator.push(OperatorEntry {
        tenant: "north".into(),
        name: "ann".into(),
        rights: [Right::Change].into_iter().collect(),
    });
    keys.write();
    let conductor = keys.start(keys.config()).await;
    let operators = conductor.operators_address().unwrap();
    let anyone = || keys.client(None);
    let server = "{\"server\": \"127.0.0.1:9001\", \"on\": true}";
    let calls = [
        ("GET /v1/status", "", Right::ReadStatus),
        ("POST /v1/drain", server, Right::Change),
        ("POST /v1/withdraw", server, Right::Change),
        ("POST /v1/level", "{\"class\": \"read\", \"share\": 0.5}", Right::Change),
        ("POST /v1/reload", "", Right::Administer),
        ("GET /v1/audit?last=3", "", Right::Administer),
    ];
    let north =
        Proxy::join(conductor.address(), anyone(), "p", "a", keys.token("north", "p", Rights::PROXY, 600))
            .await;
    let south =
        Proxy::join(conductor.address(), anyone(), "p", "a", keys.token("south", "p", Rights::PROXY, 600))
            .await;
    assert_eq!((&north.0, &south.0), (&Join::Bound(6), &Join::Bound(4)));
    for right in Right::ALL {
        let token = keys.token("north", "olga", [right].into_iter().collect(), 600);
        for (line, body, needed) in calls {
            let (status, answer) = call(operators, anyone(), &token, line, body).await;
            assert_eq!(status, if right == needed { 200 } else { 403 }, "{right:?} {line}: {answer}");
            assert!(right == needed || answer == "{\"result\":\"not allowed\"}", "{answer}");
        }
    }
    assert_eq!(call(operators, anyone(), b"", calls[0].0, "").await.0, 403);
    // What was ordered reaches the proxies of the tenant: the server is out, and half of the reads are let
    // in.
    let (mut north, mut south) = (north.1.unwrap(), south.1.unwrap());
    let (mut out, mut capped) = (false, false);
    while !(out && capped) {
        if let from_conductor::Kind::Order(order) = north.next().await.expect("the stream stands") {
            out |= order
                .lines
                .iter()
                .any(|l| l.weight == 0.0 && l.server.as_ref().is_some_and(|s| s.port == 9001));
            capped |=
                order.levels.iter().any(|l| l.class == 0 && l.admit == Some(v1::level::Admit::Share(0.5)));
        }
    }
    south.send(from_proxy::Kind::Ping(v1::Ping { token: 1 })).await;
    loop {
        match south.next().await {
            Some(from_conductor::Kind::Pong(_)) => break,
            Some(from_conductor::Kind::Order(order)) => assert!(order.lines.iter().all(|l| l.weight > 0.0)),
            other => assert!(other.is_some()),
        }
    }
    // By certificate; and mistakes are told.
    let ann = keys.client(Some("stepspur://north/operator/ann"));
    let lifted = "{\"server\": \"127.0.0.1:9001\", \"on\": false}";
    assert_eq!(call(operators, ann.clone(), b"", "POST /v1/drain", lifted).await.0, 200);
    for (body, status) in
        [("{\"server\": \"127.0.0.1:1\", \"on\": true}", 422), ("{\"server\": 3}", 400), ("", 400)]
    {
        assert_eq!(call(operators, ann.clone(), b"", "POST /v1/drain", body).await.0, status, "{body}");
    }
    conductor.stop().await;
    let audit = keys.audit();
    let count = |what: &str| audit.lines().filter(|l| l.contains(what)).count();
    assert!(count("\"result\":\"done\"") == 5 && count("\"who\":\"ann\"") == 2, "{audit}");
    assert!(count("refused: the right is missing") == 30, "{audit}");
}

/// The conductor is told to stop between a change that took effect and its line in the audit log: the line is
/// still written, and the operator answered. The log is a pipe that is full until the test reads it.
#[tokio::test]
async fn a_change_that_took_effect_is_written_down_and_answered_though_the_conductor_stops() {
    let keys = Keys::new("stopping");
    let path = keys.folder.join("audit.jsonl");
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut pipe = std::fs::OpenOptions::new().read(true).write(true).open(&path).unwrap();
    let conductor = keys.start(keys.config()).await;
    let (address, operators) = (conductor.address(), conductor.operators_address().unwrap());
    let token = keys.token("north", "p", Rights::PROXY, 600);
    let (joined, proxy) = Proxy::join(address, keys.client(None), "p", "a", token).await;
    assert_eq!(joined, Join::Bound(6));
    let full = [b' '; 64 << 10];
    std::io::Write::write_all(&mut pipe, &full).unwrap();
    let token = keys.token("north", "olga", [Right::Change].into_iter().collect(), 600);
    let (client, body) = (keys.client(None), "{\"server\": \"127.0.0.1:9001\", \"on\": true}");
    let called = tokio::spawn(async move { call(operators, client, &token, "POST /v1/drain", body).await });
    let mut proxy = proxy.unwrap();
    let drained =
        |line: &v1::Line| line.weight == 0.0 && line.server.as_ref().is_some_and(|s| s.port == 9001);
    loop {
        match proxy.next().await.expect("the stream stands") {
            from_conductor::Kind::Order(order) if order.lines.iter().any(drained) => break,
            _ => {}
        }
    }
    let stopping = tokio::spawn(conductor.stop());
    while TcpStream::connect(operators).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let read = tokio::task::spawn_blocking(move || {
        let mut log = vec![0; full.len()];
        std::io::Read::read_exact(&mut pipe, &mut log).unwrap();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(pipe), &mut String::new()).unwrap()
    });
    let (status, answer) = timeout(LONG, called).await.unwrap().unwrap();
    // A pipe can't be synced: the change is done, and the answer says so.
    assert_eq!((status, answer.contains("done")), (507, true), "{answer}");
    assert!(timeout(LONG, read).await.unwrap().unwrap() > 0);
    timeout(LONG, stopping).await.expect("it ends").unwrap();
}

/// Five hundred half-open handshakes of strangers, and known proxies rejoin: without the kept places they
/// could not.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_never_starve_known_proxies() {
    let keys = Keys::new("flood");
    let mut set = keys.config();
    if let Some(identity) = &mut set.identity {
        (identity.handshakes_max, identity.handshakes_kept, identity.handshakes_of_source) = (64, 32, 16);
        identity.handshake_timeout = Duration::from_secs(30);
    }
    let conductor = keys.start(set).await;
    let address = conductor.address();
    let token = |k: usize| keys.token("north", &format!("p{k}"), Rights::PROXY, 600);
    let known = [127, 0, 0, 3];
    assert_eq!(
        Proxy::join_from(address, known, keys.client(None), "p0", "a", token(0)).await.0,
        Join::Bound(6)
    );
    let mut half_open = Vec::new();
    for k in 0..500u32 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 1, (k % 50) as u8 + 1], 0).into()).unwrap();
        half_open.push(socket.connect(address).await.unwrap());
    }
    sleep(Duration::from_millis(200)).await;
    let rejoin = async {
        for k in 0..20 {
            let (end, _) =
                Proxy::join_from(address, known, keys.client(None), &format!("p{k}"), "a", token(k)).await;
            assert_eq!(end, Join::Bound(6));
        }
    };
    timeout(LONG, rejoin).await.expect("known proxies rejoin");
    let unknown = Proxy::join_from(address, [127, 0, 2, 9], keys.client(None), "p0", "a", token(0)).await;
    assert_eq!(unknown.0, Join::Closed, "strangers' places are all taken");
    drop(half_open);
    conductor.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_council_is_changed_by_administrators_alone_and_written_down() {
    let keys = Keys::new("council");
    let mut set = keys.config();
    let place = stepspur_consensus_node::MemberAddress { id: 1, address: ([127, 0, 0, 1], 0).into() };
    let council = stepspur_consensus_node::ConsensusConfig {
        id: 1,
        state: keys.folder.join("council.redb"),
        conductors: vec![place],
        election: Duration::from_millis(150),
        heartbeat: Duration::from_millis(40),
        renew: Duration::from_millis(80),
        disk_stall: Duration::from_secs(5),
        drift_ppm: 1_000,
    };
    council.bootstrap().unwrap();
    set.council = Some(council);
    let conductor = keys.start(set).await;
    let operators = conductor.operators_address().unwrap();
    let by = |right| keys.token("north", "ann", Rights::from(vec![right]), 60);
    let ask = |right, line, body: &'static str| {
        let (client, token) = (keys.client(None), by(right));
        async move { call(operators, client, &token, line, body).await }
    };
    loop {
        let (status, body) = ask(Right::ReadStatus, "GET /v1/council", "").await;
        assert_eq!(status, 200, "{body}");
        if body.contains("\"leader\":1") {
            break;
        }
    }
    for line in ["POST /v1/council/transfer", "POST /v1/council/add", "POST /v1/council/remove"] {
        assert_eq!(ask(Right::Change, line, "{\"member\": 2}").await.0, 403, "{line}");
        assert_eq!(ask(Right::Administer, line, "{\"member\": \"two\"}").await.0, 400, "{line}");
    }
    let add = "POST /v1/council/add";
    assert_eq!(ask(Right::Administer, add, "{\"member\": 1}").await.0, 422, "it is there already");
    assert_eq!(ask(Right::Administer, "POST /v1/council/remove", "{\"member\": 1}").await.0, 422, "the last");
    let (status, body) = ask(Right::Administer, add, "{\"member\": 2}").await;
    assert_eq!((status, body.contains("begun")), (200, true), "{body}");
    assert_eq!(ask(Right::Administer, add, "{\"member\": 3}").await.0, 422, "one at a time");
    let audit = keys.audit();
    for line in ["council add 2", "council remove 1", "council transfer"] {
        assert!(audit.contains(line), "{line}: {audit}");
    }
    conductor.stop().await;
}
