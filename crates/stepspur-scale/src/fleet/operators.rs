//! The operators' endpoint as an operator uses it: HTTPS, a token, and calls at whichever control member answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use stepspur_distribution::document::Change;
use stepspur_distribution::version::Version;
use stepspur_identity::keys::{AnchorEntry, KeyId, KeyState, Manifest, ServerEntry, Signer, write_manifest};
use stepspur_identity::pki::{Authority, Leaf};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::tls;
use stepspur_identity::token::{Claims, issue};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;

/// The tenant of control members' own engines.
pub(crate) const TENANT: &str = "operators";
const AUDIENCE: &str = "scale";
const LIFE: Duration = Duration::from_secs(86_400);
/// A call that takes longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// Bytes of an answer at most.
const ANSWER_BYTES_MOST: usize = 4 << 20;

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// The keys of a run, in a folder of its own.
pub(crate) struct Keys {
    folder: PathBuf,
    authority: Authority,
    signer: Signer,
}

impl Keys {
    /// Makes keys for control members at these addresses.
    ///
    /// # Errors
    /// A folder that cannot be written.
    pub(crate) fn new(folder: &Path, control: &[SocketAddr]) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (authority, _) = Authority::new(AUDIENCE)?;
        std::fs::write(folder.join("ca.pem"), authority.pem())?;
        let addresses = control.iter().map(SocketAddr::ip).collect();
        authority.issue(&Leaf::Server(addresses), unix_seconds() - 60, LIFE)?.save(folder, "server")?;
        let id = KeyId::try_from("scale".to_owned()).map_err(anyhow::Error::msg)?;
        let signer = Signer::new(id);
        let mut manifest = Manifest {
            issuer: AUDIENCE.into(),
            audience: AUDIENCE.into(),
            anchor: vec![AnchorEntry { file: "ca.pem".into(), state: KeyState::Active }],
            server: Some(ServerEntry { certificates: "server.pem".into(), key: "server.key".into() }),
            ..Manifest::default()
        };
        manifest.rotate(Some(&signer));
        write_manifest(folder, &manifest)?;
        Ok(Self { folder: folder.to_owned(), authority, signer })
    }

    /// Where they are.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    fn token(&self) -> String {
        let rights: Rights = [Right::Change, Right::Administer, Right::ReadStatus].into_iter().collect();
        let claims = Claims {
            iss: AUDIENCE.into(),
            aud: AUDIENCE.into(),
            sub: "scale".into(),
            tenant: TENANT.into(),
            zone: None,
            rights,
            nbf: unix_seconds() - 1,
            exp: unix_seconds() + LIFE.as_secs() / 2,
        };
        issue(&self.signer, &claims)
    }

    /// An operator who calls these endpoints.
    ///
    /// # Errors
    /// Keys that make no client.
    pub(crate) fn operator(&self, endpoints: Vec<SocketAddr>) -> anyhow::Result<Operator> {
        let client = tls::client_config(&[self.authority.anchor()?], None)?;
        Ok(Operator { client, token: self.token(), endpoints, current: 0, connections: BTreeMap::new() })
    }
}

/// What the operators' endpoint says of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Standing {
    /// True: in force everywhere.
    pub everywhere: bool,
    /// Registered subscribers that the version concerns.
    pub expected: usize,
}

/// Ids of operations that one operator proposes, so that each takes effect once however often it is proposed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operations {
    life: u64,
    number: u64,
}

/// No member of the council has this number.
const OPERATOR: u64 = u64::MAX;

impl Operations {
    /// Those of a new operator.
    pub(crate) fn new(life: u64) -> Self {
        Self { life, number: 0 }
    }

    /// The id of the next one, first proposed after this version.
    pub(crate) fn next_id(&mut self, after: Version) -> String {
        self.number += 1;
        format!("m-{OPERATOR:x}-{:x}-{}@{}", self.life, self.number, after.index)
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Proposed {
    /// Agreed as this version.
    Agreed(Version),
    /// Its outcome is not known: to be proposed again by the same operation.
    Unknown(String),
    /// Refused for good.
    Refused(String),
}

/// An operator. One call at a time, over connections that are kept, one to each endpoint; one that fails is made anew.
pub(crate) struct Operator {
    client: Arc<ClientConfig>,
    token: String,
    endpoints: Vec<SocketAddr>,
    current: usize,
    connections: BTreeMap<usize, SendRequest<Full<Bytes>>>,
}

impl Operator {
    /// Goes to the next endpoint.
    pub(crate) fn move_on(&mut self) {
        self.current = (self.current + 1) % self.endpoints.len().max(1);
    }

    /// The endpoint that is called.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.endpoints[self.current]
    }

    /// Proposes changes at the current endpoint.
    pub(crate) async fn propose(&mut self, operation: &str, changes: &[Change]) -> Proposed {
        let body = json!({ "operation": operation, "changes": changes });
        match self.call(Method::POST, "/v1/config", body.to_string()).await {
            Ok((status, answer)) => read_proposed(status, &answer),
            Err(error) => Proposed::Unknown(format!("{error:#}")),
        }
    }

    /// Asks where a version is in force.
    ///
    /// # Errors
    /// No answer, or one that tells nothing of it.
    pub(crate) async fn standing(&mut self, version: Version) -> anyhow::Result<Standing> {
        let path = format!("/v1/config/versions/{version}");
        let (status, body) = self.call(Method::GET, &path, String::new()).await?;
        if !status.is_success() {
            bail!("{status} {body}");
        }
        read_standing(&body).with_context(|| format!("an answer that says nothing: {body}"))
    }

    /// How the council stands, as the current endpoint knows it.
    ///
    /// # Errors
    /// No answer.
    pub(crate) async fn council(&mut self) -> anyhow::Result<Value> {
        let (status, body) = self.call(Method::GET, "/v1/council", String::new()).await?;
        if !status.is_success() {
            bail!("{status} {body}");
        }
        Ok(body)
    }

    /// Makes a call. A connection that fails is not kept.
    ///
    /// # Errors
    /// No connection, no whole answer in time, an answer that is no JSON.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Value)> {
        let answered = timeout(CALL_TIMEOUT, self.exchange(method, path, body)).await;
        let answered = answered.context("no answer in time").and_then(|answered| answered);
        if answered.is_err() {
            self.connections.remove(&self.current);
        }
        answered
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Value)> {
        if self.connections.get(&self.current).is_none_or(SendRequest::is_closed) {
            let connection = self.connect().await?;
            self.connections.insert(self.current, connection);
        }
        let connection = self.connections.get_mut(&self.current).context("no connection")?;
        connection.ready().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, "scale")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let response = connection.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MOST).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("the answer broke off: {error}"))?.to_bytes();
        let text = || String::from_utf8_lossy(&body).into_owned();
        Ok((status, serde_json::from_slice(&body).unwrap_or_else(|_| json!({ "result": text() }))))
    }

    async fn connect(&self) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        let address = self.endpoint();
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let name = ServerName::from(address.ip());
        let stream = TlsConnector::from(Arc::clone(&self.client)).connect(name, socket).await?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // It ends with its sender.
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// Reads the answer to a proposal.
fn read_proposed(status: StatusCode, body: &Value) -> Proposed {
    let reason = || format!("{status} {body}");
    if status.is_success() {
        let version = body["version"].as_str().and_then(|version| version.parse().ok());
        return version.map_or_else(|| Proposed::Unknown(reason()), Proposed::Agreed);
    }
    // The audit log may be full though the change is agreed: only faults of the request are final.
    if status.is_client_error() { Proposed::Refused(reason()) } else { Proposed::Unknown(reason()) }
}

/// Reads the answer to where a version is in force.
fn read_standing(body: &Value) -> Option<Standing> {
    let expected = usize::try_from(body["expected"].as_u64()?).ok()?;
    Some(Standing { everywhere: body["everywhere"].as_bool()?, expected })
}

#[cfg(test)]
mod tests;
