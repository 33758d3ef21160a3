//! A folder of keys, a proxy that connects by TLS, and operators' calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::{SinkExt, StreamExt};
use stepspur_conductor::config::{Identity, Source, Tenant};
use stepspur_conductor::source::FileSource;
use stepspur_conductor::{Conductor, Config};
use stepspur_identity::keys::{AnchorEntry, KeyId, KeyState, Manifest, ServerEntry, Signer, write_manifest};
use stepspur_identity::pki::{Authority, CertificateSubject};
use stepspur_identity::rights::Rights;
use stepspur_identity::tls::{self, ClientCertificates};
use stepspur_identity::token::{Claims, issue};
use stepspur_proto::{Frames, FromConductor, FromProxy, from_conductor, from_proxy, v1};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_util::codec::Framed;

use crate::common::{config, hello};

/// How long any step of a test may take.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Keys, endpoint lists and an audit log in a temporary folder that is removed when dropped.
pub(crate) struct Keys {
    pub(crate) folder: PathBuf,
    pub(crate) manifest: Manifest,
    pub(crate) authority: Authority,
    pub(crate) signer: Signer,
}

/// Seconds since 1970.
pub(crate) fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_secs()
}

/// The lifetime of certificates, and the longest lifetime of tokens.
pub(crate) fn lifetime() -> Duration {
    Duration::from_secs(3600)
}

impl Keys {
    /// Creates a folder with one authority, one signing key, and endpoint lists of the tenants `north` with
    /// six servers and `south` with four.
    pub(crate) fn new(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("stepspur-service-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (authority, _) = Authority::new("first").unwrap();
        let signer = Signer::new(KeyId::try_from("k1".to_owned()).unwrap());
        let manifest = Manifest { issuer: "issuer".into(), audience: "test".into(), ..Manifest::default() };
        let mut keys = Self { folder, manifest, authority, signer };
        keys.manifest.rotate(Some(&keys.signer));
        keys.trust("ca-1");
        for (name, servers) in [("north", 6), ("south", 4)] {
            let node = |k| format!("[[node]]\naddress = \"127.0.0.1:{}\"\nzone = \"a\"\n", 9000 + k);
            let text: String = (0..servers).map(node).collect();
            std::fs::write(keys.folder.join(format!("{name}.toml")), text).unwrap();
        }
        keys.write();
        keys
    }

    /// Adds the present authority to the trusted ones, and issues the server's certificate by it.
    pub(crate) fn trust(&mut self, name: &str) {
        std::fs::write(self.folder.join(format!("{name}.pem")), self.authority.pem()).unwrap();
        let server = self
            .authority
            .issue(&CertificateSubject::Server(vec![[127, 0, 0, 1].into()]), now() - 60, lifetime())
            .unwrap();
        server.save(&self.folder, &format!("server-{name}")).unwrap();
        self.manifest
            .anchor
            .push(AnchorEntry { file: format!("{name}.pem").into(), state: KeyState::Active });
        let (certificates, key) = (format!("server-{name}.pem").into(), format!("server-{name}.key").into());
        self.manifest.server = Some(ServerEntry { certificates, key });
    }

    /// Writes the manifest.
    pub(crate) fn write(&self) {
        write_manifest(&self.folder, &self.manifest).unwrap();
    }

    /// Settings with the tenants `north`, the conductor's own, and `south`, and with the operators' API.
    pub(crate) fn config(&self) -> Config {
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
            longest_token_life: lifetime(),
            reload_every: Duration::from_millis(50),
            handshake_timeout: Duration::from_secs(2),
            handshakes_max: 512,
            handshakes_kept: 256,
            handshakes_of_source: 128,
            operators: Some(([127, 0, 0, 1], 0).into()),
            audit: self.folder.join("audit.jsonl"),
        };
        let south = Tenant { fleet: base.fleet.clone(), source: source("south") };
        let mut settings =
            Config { identity: Some(identity), tenants: BTreeMap::from([("south".into(), south)]), ..base };
        settings.listen.plain_on_loopback = false;
        settings.source = source("north");
        settings
    }

    pub(crate) async fn start(&self, settings: Config) -> Conductor {
        let path = self.folder.join("north.toml");
        Conductor::start(settings, Box::new(FileSource::new(path, Duration::from_millis(20)))).await.unwrap()
    }

    /// The TLS configuration of a client. It presents a certificate for this URI, or none.
    pub(crate) fn client(&self, uri: Option<&str>) -> Arc<ClientConfig> {
        let own = uri.map(|uri| {
            let issued = self
                .authority
                .issue(&CertificateSubject::Caller(uri.into()), now() - 60, lifetime())
                .unwrap();
            issued.for_tls().unwrap()
        });
        tls::client_config(&[self.authority.anchor().unwrap()], own).unwrap()
    }

    pub(crate) fn claims(&self, tenant: &str, name: &str, rights: Rights, seconds: u64) -> Claims {
        Claims {
            iss: "issuer".into(),
            aud: "test".into(),
            sub: name.into(),
            tenant: tenant.into(),
            zone: None,
            rights,
            nbf: now() - 1,
            exp: now() + seconds,
        }
    }

    /// A token that is valid for this number of seconds.
    pub(crate) fn token(&self, tenant: &str, name: &str, rights: Rights, seconds: u64) -> Vec<u8> {
        issue(&self.signer, &self.claims(tenant, name, rights, seconds)).into_bytes()
    }

    pub(crate) fn audit_log(&self) -> String {
        std::fs::read_to_string(self.folder.join("audit.jsonl")).unwrap_or_default()
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Opens a TLS connection from this loopback address.
pub(crate) async fn dial(
    address: SocketAddr,
    from: [u8; 4],
    client: Arc<ClientConfig>,
) -> std::io::Result<TlsStream<TcpStream>> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    let socket = socket.connect(address).await?;
    TlsConnector::from(client).connect(ServerName::from(address.ip()), socket).await
}

/// A proxy that acknowledges updates.
pub(crate) struct Proxy {
    frames: Framed<TlsStream<TcpStream>, Frames<FromConductor, FromProxy>>,
    /// The number of lines in the last table.
    lines: usize,
    /// Whether the expiry of the proxy's grant was announced.
    pub(crate) expiring: bool,
}

/// The outcome of a join.
#[derive(Debug, PartialEq)]
pub(crate) enum Join {
    /// The proxy received a table with this number of lines.
    Admitted(usize),
    /// The proxy received a go-away message with this reason and detail.
    Rejected(v1::Reason, String),
    /// The TLS handshake failed, or the stream ended without a go-away message.
    Closed,
}

impl Proxy {
    /// Connects from 127.0.0.1 and joins.
    pub(crate) async fn join(
        address: SocketAddr,
        client: Arc<ClientConfig>,
        name: &str,
        zone: &str,
        token: Vec<u8>,
    ) -> (Join, Option<Self>) {
        Self::join_from(address, [127, 0, 0, 1], client, name, zone, token).await
    }

    /// Connects from a loopback address, joins, and reads until the table or a go-away message.
    pub(crate) async fn join_from(
        address: SocketAddr,
        from: [u8; 4],
        client: Arc<ClientConfig>,
        name: &str,
        zone: &str,
        token: Vec<u8>,
    ) -> (Join, Option<Self>) {
        let Ok(Ok(stream)) = timeout(STEP_TIMEOUT, dial(address, from, client)).await else {
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
                    return (Join::Admitted(proxy.lines), Some(proxy));
                }
                Some(from_conductor::Kind::Goodbye(go_away)) => {
                    return (Join::Rejected(go_away.reason(), go_away.detail), None);
                }
                Some(_) => {}
                None => return (Join::Closed, None),
            }
        }
    }

    pub(crate) async fn send(&mut self, kind: from_proxy::Kind) {
        let _ = self.frames.send(FromProxy::new(0, 0, kind)).await;
    }

    /// Reads the next frame, and acknowledges it if it is an update. Returns none at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<from_conductor::Kind> {
        let frame = timeout(STEP_TIMEOUT, self.frames.next()).await.expect("a frame in time")?.ok()?;
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

    /// Sends a ping and reads until its response, which shows that the stream is still open.
    pub(crate) async fn ping(&mut self, token: u64) {
        self.send(from_proxy::Kind::Ping(v1::Ping { token })).await;
        let pong = from_conductor::Kind::Pong(v1::Pong { token });
        while self.next().await.expect("the stream is open") != pong {}
    }

    /// Reads until the go-away message and returns its reason, or none if the stream ends without one.
    pub(crate) async fn go_away(&mut self) -> Option<v1::Reason> {
        while let Some(kind) = self.next().await {
            if let from_conductor::Kind::Goodbye(go_away) = kind {
                return Some(go_away.reason());
            }
        }
        None
    }
}

/// The rejection that does not reveal its reason.
pub(crate) fn not_allowed() -> Join {
    Join::Rejected(v1::Reason::NotAllowed, "not allowed".into())
}

/// Makes an operator's call over HTTPS. `line` is the method and the path. Returns the status and the body of
/// the response.
pub(crate) async fn call(
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
    let mut response = Vec::new();
    let _ = timeout(STEP_TIMEOUT, stream.read_to_end(&mut response)).await.unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    let status = response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, response.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned())
}
