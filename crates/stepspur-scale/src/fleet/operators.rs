//! Client of the operators' endpoint, as an operator uses it: HTTPS, a bearer token, and calls to whichever
//! control member answers.

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
use stepspur_identity::pki::{Authority, CertificateSubject};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::tls;
use stepspur_identity::token::{Claims, issue};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;

/// Tenant of the control members' own engines.
pub(crate) const TENANT: &str = "operators";
/// Issuer and audience of all tokens of a run.
const AUDIENCE: &str = "scale";
/// Validity of the server certificates; tokens are valid for half of it.
const CREDENTIAL_LIFETIME: Duration = Duration::from_secs(86_400);
/// Timeout of one call, including the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// The keys and certificates of a run, in a folder of their own.
pub(crate) struct Keys {
    folder: PathBuf,
    authority: Authority,
    signer: Signer,
}

impl Keys {
    /// Creates keys and certificates for control members at these addresses.
    ///
    /// # Errors
    /// A folder that cannot be written.
    pub(crate) fn new(folder: &Path, control: &[SocketAddr]) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (authority, _) = Authority::new(AUDIENCE)?;
        std::fs::write(folder.join("ca.pem"), authority.pem())?;
        let addresses = control.iter().map(SocketAddr::ip).collect();
        authority
            .issue(&CertificateSubject::Server(addresses), unix_seconds() - 60, CREDENTIAL_LIFETIME)?
            .save(folder, "server")?;
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

    /// Folder that contains them.
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
            exp: unix_seconds() + CREDENTIAL_LIFETIME.as_secs() / 2,
        };
        issue(&self.signer, &claims)
    }

    /// Creates an operator client for these endpoints.
    ///
    /// # Errors
    /// Keys from which no TLS client can be built.
    pub(crate) fn operator(&self, endpoints: Vec<SocketAddr>) -> anyhow::Result<Operator> {
        let client = tls::client_config(&[self.authority.anchor()?], None)?;
        Ok(Operator { client, token: self.token(), endpoints, current: 0, connections: BTreeMap::new() })
    }
}

/// Rollout status of a version, as the operators' endpoint reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RolloutStatus {
    /// True if the version is in force everywhere.
    pub everywhere: bool,
    /// Number of registered subscribers that the version concerns.
    pub expected: usize,
}

/// Generates the operation ids of one operator. An id makes a proposal idempotent: it takes effect once,
/// however often it is proposed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operations {
    /// Distinguishes operators; part of each id.
    instance: u64,
    /// Number of ids given out.
    number: u64,
}

/// Member number in the operation ids; no member of the consensus group has it.
const OPERATOR_MEMBER_ID: u64 = u64::MAX;

impl Operations {
    /// Starts the ids of a new operator; `instance` must differ between operators.
    pub(crate) fn new(instance: u64) -> Self {
        Self { instance, number: 0 }
    }

    /// Returns the id of the next operation; `after` is the newest version known when it is first proposed.
    pub(crate) fn next_id(&mut self, after: Version) -> String {
        self.number += 1;
        format!("m-{OPERATOR_MEMBER_ID:x}-{:x}-{}@{}", self.instance, self.number, after.index)
    }
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Proposed {
    /// Committed at this version.
    Agreed(Version),
    /// The outcome is unknown for this reason; the proposal must be repeated with the same operation id.
    Unknown(String),
    /// Rejected for this reason; repeating it cannot succeed.
    Refused(String),
}

/// A client that makes one call at a time over one keep-alive connection to each endpoint. A connection that
/// fails is opened again by the next call.
pub(crate) struct Operator {
    client: Arc<ClientConfig>,
    token: String,
    endpoints: Vec<SocketAddr>,
    /// Index of the endpoint that is currently called.
    current: usize,
    /// Open connections by index of their endpoint.
    connections: BTreeMap<usize, SendRequest<Full<Bytes>>>,
}

impl Operator {
    /// Selects the next endpoint for further calls.
    pub(crate) fn move_on(&mut self) {
        self.current = (self.current + 1) % self.endpoints.len().max(1);
    }

    /// The endpoint that is currently called.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.endpoints[self.current]
    }

    /// Proposes changes at the current endpoint.
    pub(crate) async fn propose(&mut self, operation: &str, changes: &[Change]) -> Proposed {
        let body = json!({ "operation": operation, "changes": changes });
        match self.call(Method::POST, "/v1/config", body.to_string()).await {
            Ok((status, answer)) => parse_proposal_response(status, &answer),
            Err(error) => Proposed::Unknown(format!("{error:#}")),
        }
    }

    /// Requests the rollout status of a version.
    ///
    /// # Errors
    /// No response, an error status, or a body that is no rollout status.
    pub(crate) async fn rollout_status(&mut self, version: Version) -> anyhow::Result<RolloutStatus> {
        let path = format!("/v1/config/versions/{version}");
        let (status, body) = self.call(Method::GET, &path, String::new()).await?;
        if !status.is_success() {
            bail!("unexpected response: {status} {body}");
        }
        parse_rollout_status(&body).with_context(|| format!("response without a rollout status: {body}"))
    }

    /// Requests the status of the consensus group, as the current endpoint sees it.
    ///
    /// # Errors
    /// No response, or an error status.
    pub(crate) async fn council_status(&mut self) -> anyhow::Result<Value> {
        let (status, body) = self.call(Method::GET, "/v1/council", String::new()).await?;
        if !status.is_success() {
            bail!("unexpected response: {status} {body}");
        }
        Ok(body)
    }

    /// Makes a call, and drops the connection if it fails.
    ///
    /// # Errors
    /// No connection, or no complete response in time.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Value)> {
        let answered = timeout(CALL_TIMEOUT, self.exchange(method, path, body)).await;
        let answered =
            answered.context("the operators' endpoint did not answer in time").and_then(|answered| answered);
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
        let connection =
            self.connections.get_mut(&self.current).context("no connection to the operators' endpoint")?;
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("incomplete response body: {error}"))?.to_bytes();
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
        // The connection task ends when its sender is dropped.
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// Interprets the response to a proposal.
fn parse_proposal_response(status: StatusCode, body: &Value) -> Proposed {
    let reason = || format!("{status} {body}");
    if status.is_success() {
        let version = body["version"].as_str().and_then(|version| version.parse().ok());
        return version.map_or_else(|| Proposed::Unknown(reason()), Proposed::Agreed);
    }
    // Only client errors are final: a server error, such as a full audit log, can be returned although the
    // change is committed.
    if status.is_client_error() { Proposed::Refused(reason()) } else { Proposed::Unknown(reason()) }
}

/// Parses a rollout status; `None` if the body does not contain one.
fn parse_rollout_status(body: &Value) -> Option<RolloutStatus> {
    let expected = usize::try_from(body["expected"].as_u64()?).ok()?;
    Some(RolloutStatus { everywhere: body["everywhere"].as_bool()?, expected })
}

#[cfg(test)]
mod tests;
