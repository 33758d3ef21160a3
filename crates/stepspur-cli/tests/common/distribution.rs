//! Control members and subscribers as processes, proxies' streams, operators' calls. Every wait is bounded.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde_json::Value;
use stepspur_identity::keys::read_manifest;
use stepspur_identity::tls;
use stepspur_proto::{Frames, FromConductor, FromProxy, VERSION, from_conductor, from_proxy, v1};
use tempfile::TempDir;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_util::codec::Framed;
use tokio_util::task::AbortOnDropHandle;

#[path = "loopback.rs"]
mod loopback;
use loopback::{free_ports, own_address};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur");
/// Upper bound of every wait in a test; it is not a limit on speed.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Log filter of the processes. It includes elections, attached subscribers, each summary that a leader has
/// received and the progress of each subscriber, because waits check their condition again at each log line.
const LOG_FILTER: &str = "info,stepspur_distribution=debug";

/// A running process; killed when dropped.
pub(crate) struct Process {
    child: Child,
    pub listening: SocketAddr,
    pub status: SocketAddr,
    log: Log,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts the program and waits until it announces its addresses.
    fn start(config: &Path, log: &Log) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(["run", "--log", LOG_FILTER, "--config", config.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let logged = log.clone().read(child.stderr.take().unwrap());
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let (first_line, announced) = mpsc::channel();
        thread::spawn(move || {
            let mut line = String::new();
            let _ = out.read_line(&mut line);
            let _ = first_line.send(line);
        });
        let line = announced.recv_timeout(WAIT_TIMEOUT).expect("an announcement in time");
        if line.is_empty() {
            panic!("it did not start: {}", logged.join().unwrap());
        }
        let announcement: Value =
            serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line:?}"));
        let address = |key: &str| announcement[key].as_str().unwrap().parse().unwrap();
        let (listening, status) = (address("listening"), address("status"));
        Self { child, listening, status, log: log.clone() }
    }

    /// Ends the process with SIGTERM and returns its exit code.
    pub(crate) fn terminate(mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        self.child.wait().unwrap().code()
    }

    /// Requests a page of the status address: the code and the JSON.
    pub(crate) async fn page(&self, path: &str) -> (u16, Value) {
        let response = stepspur_conductor::http::get(self.status, path, WAIT_TIMEOUT, 1 << 20);
        let (code, body) = response.await.unwrap();
        (code.as_u16(), serde_json::from_slice(&body).unwrap_or_default())
    }

    /// Requests a page until it satisfies the condition.
    pub(crate) async fn until(&self, path: &str, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        self.log.until(what, async || self.page(path).await.1, wanted).await
    }
}

/// The number of lines that the processes of a fleet have logged.
#[derive(Clone, Default)]
struct Log(watch::Sender<u64>);

impl Log {
    /// Counts the log lines of a process until it ends, and returns all of them.
    fn read(self, log: impl Read + Send + 'static) -> thread::JoinHandle<String> {
        thread::spawn(move || {
            let mut all = String::new();
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                all += &(line + "\n");
                self.0.send_modify(|lines| *lines += 1);
            }
            all
        })
    }

    /// Calls `ask`, again after each new log line of any process, until its answer satisfies the condition.
    async fn until(
        &self,
        what: &str,
        ask: impl AsyncFn() -> Value,
        wanted: impl Fn(&Value) -> bool,
    ) -> Value {
        let (mut lines, mut last) = (self.0.subscribe(), Value::Null);
        let satisfied = async {
            loop {
                lines.mark_unchanged();
                last = ask().await;
                if wanted(&last) {
                    return;
                }
                lines.changed().await.expect("the fleet exists");
            }
        };
        let in_time = timeout(WAIT_TIMEOUT, satisfied).await.is_ok();
        assert!(in_time, "timed out waiting for: {what}; {last}");
        last
    }
}

/// A folder of settings, keys and state files, with the addresses of all control members.
pub(crate) struct Fleet {
    folder: TempDir,
    /// Raft addresses, one for each control member.
    raft: Vec<SocketAddr>,
    /// Addresses for subscribers, one for each control member.
    control: Vec<SocketAddr>,
    /// Addresses for operators' calls, one for each control member.
    pub operators: Vec<SocketAddr>,
    tls: Arc<ClientConfig>,
    log: Log,
}

/// Settings that all conductors share; the path of the list of servers follows at the end. The classes are
/// `read` and `write`.
const BASE: &str = r#"
[fleet]
zones = ["a"]
proxies = 4
[[fleet.classes]]
name = "read"
effect = "read_like"
aim = "1s"
deadline = "3s"
[[fleet.classes]]
name = "write"
effect = "non_idempotent"
aim = "1s"
deadline = "3s"
[probes]
enabled = false
[status]
address = "127.0.0.1:0"
[source]
kind = "file"
every = "50ms"
"#;

impl Fleet {
    /// Creates keys, a list of four servers, and the settings and state files of this many control members.
    pub(crate) fn new(control: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let at = own_address();
        let all = free_ports(at, 3 * control);
        let part = |k: usize| all[k * control..(k + 1) * control].to_vec();
        let nodes: String =
            (1..=4).map(|k| format!("[[node]]\naddress = \"127.0.0.1:900{k}\"\nzone = \"a\"\n")).collect();
        std::fs::write(folder.path().join("nodes.toml"), nodes).unwrap();
        let keys = folder.path().join("identity");
        let dir = keys.to_str().unwrap();
        stepspur(&[
            "keys",
            "new",
            "--dir",
            dir,
            "--issuer",
            "issuer",
            "--audience",
            "test",
            "--address",
            &at.to_string(),
        ]);
        let anchor = &read_manifest(&keys).unwrap().anchor[0].file;
        let anchor = CertificateDer::from_pem_file(keys.join(anchor)).unwrap();
        let tls = tls::client_config(&[anchor], None).unwrap();
        let fleet =
            Self { folder, raft: part(0), control: part(1), operators: part(2), tls, log: Log::default() };
        for id in 1..=control {
            stepspur(&["council", "found", "--config", fleet.control_config(id).to_str().unwrap()]);
        }
        fleet
    }

    /// The path of a file in the folder.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a process of the fleet and waits until it announces its addresses.
    pub(crate) fn start(&self, config: &Path) -> Process {
        Process::start(config, &self.log)
    }

    /// Calls `ask`, and again after each new log line of the fleet, until the answer satisfies the condition.
    pub(crate) async fn until(
        &self,
        what: &str,
        ask: impl AsyncFn() -> Value,
        wanted: impl Fn(&Value) -> bool,
    ) -> Value {
        self.log.until(what, ask, wanted).await
    }

    fn base(&self) -> String {
        format!("{BASE}path = {:?}\n", self.path("nodes.toml"))
    }

    /// The settings' list of all control members; the last one is in another region.
    fn members(&self) -> String {
        let region = |k: usize| if k + 1 == self.control.len() { "south" } else { "north" };
        let member = |(k, at): (usize, &SocketAddr)| {
            format!(
                "[[distribution.control.members]]\nid = {}\naddress = \"{at}\"\nregion = \"{}\"\n",
                k + 1,
                region(k)
            )
        };
        self.control.iter().enumerate().map(member).collect()
    }

    /// Writes the settings of a control member.
    pub(crate) fn control_config(&self, id: usize) -> PathBuf {
        let (operators, members) = (self.operators[id - 1], self.members());
        let conductors: String = (1..)
            .zip(&self.raft)
            .map(|(id, at)| format!("[[council.conductors]]\nid = {id}\naddress = \"{at}\"\n"))
            .collect();
        let text = format!(
            "{base}[listen]\naddress = \"{at}:0\"\n\
             [identity]\nfolder = {keys:?}\naudit = {audit:?}\ncertificates = \"optional\"\noperators = \"{operators}\"\n\
             [council]\nid = {id}\nstate = {state:?}\nelection = \"300ms\"\nheartbeat = \"60ms\"\nrenew = \"120ms\"\n\
             {conductors}[distribution.control]\nkeep_alive = \"300ms\"\n{members}",
            base = self.base(),
            at = operators.ip(),
            keys = self.path("identity"),
            audit = self.path(&format!("audit-{id}.jsonl")),
            state = self.path(&format!("council-{id}.redb")),
        );
        self.write(&format!("control-{id}.toml"), &text)
    }

    /// Writes the settings of a subscriber of the service `shop`.
    pub(crate) fn subscriber_config(&self, name: &str) -> PathBuf {
        let text = format!(
            "{base}[listen]\naddress = \"127.0.0.1:0\"\nplain_on_loopback = true\n\
             [distribution.subscriber]\nname = {name:?}\nregion = \"north\"\nstate = {state:?}\n\
             control = {control:?}\n[[distribution.subscriber.services]]\nservice = \"shop\"\n",
            base = self.base(),
            state = self.path(&format!("{name}.redb")),
            control = self.control.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        );
        self.write(&format!("{name}.toml"), &text)
    }

    /// Writes the settings of a control member that is also a subscriber and has a second tenant, `south`.
    pub(crate) fn control_and_subscriber_config(&self, id: usize) -> PathBuf {
        let control = std::fs::read_to_string(self.control_config(id)).unwrap();
        let (fleet, _) = BASE.split_once("[probes]").unwrap();
        let south = fleet.replace("[fleet", "[tenants.south.fleet");
        let text = format!(
            "{control}[distribution.subscriber]\nname = \"both\"\nregion = \"north\"\nstate = {state:?}\n\
             control = {control_members:?}\n[[distribution.subscriber.services]]\nservice = \"shop\"\n\
             tenants = [\"default\", \"south\"]\n{south}\
             [tenants.south.source]\nkind = \"file\"\nevery = \"50ms\"\npath = {nodes:?}\n",
            state = self.path("both.redb"),
            control_members = self.control.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
            nodes = self.path("nodes.toml"),
        );
        self.write("both.toml", &text)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// The audit log of a control member; empty if there is none.
    pub(crate) fn audit(&self, id: usize) -> String {
        std::fs::read_to_string(self.path(&format!("audit-{id}.jsonl"))).unwrap_or_default()
    }

    /// Issues a token of a tenant with these rights.
    pub(crate) fn token(&self, tenant: &str, rights: &[&str]) -> String {
        let dir = self.path("identity");
        let mut args = vec!["token", "issue", "--dir", dir.to_str().unwrap()];
        args.extend(["--tenant", tenant, "--name", "olga"]);
        args.extend(rights.iter().flat_map(|right| ["--right", right]));
        stepspur(&args).trim().to_owned()
    }

    /// Connects with TLS.
    async fn dial(&self, address: SocketAddr) -> std::io::Result<TlsStream<TcpStream>> {
        let socket = TcpStream::connect(address).await?;
        let connector = TlsConnector::from(Arc::clone(&self.tls));
        connector.connect(ServerName::from(address.ip()), socket).await
    }

    /// Joins a proxy of a tenant, over TLS with a token.
    pub(crate) async fn join(&self, address: SocketAddr, tenant: &str) -> Proxy {
        let token = self.token(tenant, &["join", "read_tables", "report"]);
        Proxy::join_on(self.dial(address).await.unwrap(), "olga", token).await
    }

    /// An operator's HTTP request to a control member: the code and the JSON of the response.
    pub(crate) async fn call(&self, id: usize, token: &str, line: &str, body: &str) -> (u16, Value) {
        self.try_call(id, token, line, body).await.unwrap()
    }

    /// As [`Fleet::call`]; an error if the member cannot be reached.
    pub(crate) async fn try_call(
        &self,
        id: usize,
        token: &str,
        line: &str,
        body: &str,
    ) -> std::io::Result<(u16, Value)> {
        let mut stream = self.dial(self.operators[id - 1]).await?;
        let length = body.len();
        let request = format!(
            "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {token}\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        let _ = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("an answer in time");
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let code = answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        Ok((code, serde_json::from_str(body).unwrap_or_default()))
    }
}

/// Runs a command of the program, which must succeed, and returns its output.
fn stepspur(args: &[&str]) -> String {
    let output = Command::new(PROGRAM).args(args).output().unwrap();
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// The state of a proxy after the orders that it has received.
#[derive(Clone, Debug, Default)]
struct Ordered {
    /// The share of requests of each class that is admitted, from 0 to 1.
    shares: [f32; 2],
    /// Ports of the servers in its table with a weight above zero.
    used: BTreeSet<u32>,
    /// Ports of withdrawn servers, to which it must not send requests.
    withdrawn: BTreeSet<u32>,
    /// Ports of all servers that ever had a weight above zero.
    ever_used: BTreeSet<u32>,
}

impl Ordered {
    /// Applies an order.
    fn apply(&mut self, order: &v1::Order) {
        if let Some(table) = &order.table {
            let ever_used = std::mem::take(&mut self.ever_used);
            *self = Self { shares: [1.0; 2], ever_used, ..Self::default() };
            self.change(&table.lines, &table.levels, &table.withdrawals);
        }
        self.change(&order.lines, &order.levels, &order.withdrawals);
    }

    fn change(&mut self, lines: &[v1::Line], levels: &[v1::Level], withdrawals: &[v1::Withdrawal]) {
        for line in lines {
            set_member(&mut self.used, &line.server, line.weight > 0.0);
            if line.weight > 0.0 {
                set_member(&mut self.ever_used, &line.server, true);
            }
        }
        for level in levels {
            if let Some(v1::level::Admit::Share(share)) = level.admit {
                self.shares[level.class as usize] = share;
            }
        }
        for withdrawal in withdrawals {
            set_member(&mut self.withdrawn, &withdrawal.server, withdrawal.out);
        }
    }
}

/// Inserts the server's port into the set or removes it.
fn set_member(ports: &mut BTreeSet<u32>, server: &Option<v1::Server>, is_member: bool) {
    let port = server.as_ref().expect("a server").port;
    if is_member {
        ports.insert(port)
    } else {
        ports.remove(&port)
    };
}

/// A proxy's stream: answers marks and pings, and records the effect of all orders.
pub(crate) struct Proxy {
    ordered: watch::Receiver<Ordered>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Joins a proxy over plain TCP without a token.
    pub(crate) async fn join(address: SocketAddr, name: &str) -> Self {
        Self::join_on(TcpStream::connect(address).await.unwrap(), name, String::new()).await
    }

    async fn join_on<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        stream: S,
        name: &str,
        token: String,
    ) -> Self {
        let mut frames = Framed::new(stream, Frames::<FromConductor, FromProxy>::new(1 << 20));
        let hello = v1::Hello {
            version: VERSION,
            name: name.into(),
            zone: "a".into(),
            fresh: true,
            credentials: token.into(),
            ..Default::default()
        };
        frames.send(FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))).await.unwrap();
        let (state, ordered) = watch::channel(Ordered::default());
        let task = AbortOnDropHandle::new(tokio::spawn(follow(frames, state)));
        Self { ordered, _task: task }
    }

    /// The admitted share of a class now.
    pub(crate) fn share(&self, class: usize) -> f32 {
        self.ordered.borrow().shares[class]
    }

    /// Waits until a class has this admitted share.
    pub(crate) async fn until_share(&mut self, class: usize, share: f32) {
        self.until(&format!("class {class} at {share}"), |ordered| ordered.shares[class] == share).await;
    }

    /// Waits until the proxy may send requests to the server with this port, or may not.
    pub(crate) async fn until_used(&mut self, port: u32, used: bool) {
        let wanted = |ordered: &Ordered| {
            !ordered.used.is_empty()
                && used == (ordered.used.contains(&port) && !ordered.withdrawn.contains(&port))
        };
        self.until(&format!("server {port} used: {used}"), wanted).await;
    }

    /// True if the server with this port ever had a weight above zero, even for a moment.
    pub(crate) fn was_ever_used(&self, port: u32) -> bool {
        self.ordered.borrow().ever_used.contains(&port)
    }

    async fn until(&mut self, what: &str, wanted: impl FnMut(&Ordered) -> bool) {
        let ordered =
            timeout(WAIT_TIMEOUT, self.ordered.wait_for(wanted)).await.map(|ordered| ordered.is_ok());
        assert_eq!(ordered, Ok(true), "never ordered: {what}; {:?}", self.ordered.borrow());
    }
}

/// Answers marks and pings and records orders until the stream ends.
async fn follow<S: AsyncRead + AsyncWrite + Unpin>(
    mut frames: Framed<S, Frames<FromConductor, FromProxy>>,
    state: watch::Sender<Ordered>,
) {
    while let Some(Ok(frame)) = frames.next().await {
        let answer = match frame.kind {
            Some(from_conductor::Kind::Order(order)) => {
                state.send_modify(|ordered| ordered.apply(&order));
                order.mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }))
            }
            Some(from_conductor::Kind::Ping(ping)) => {
                Some(from_proxy::Kind::Pong(v1::Pong { token: ping.token }))
            }
            _ => None,
        };
        if let Some(answer) = answer
            && frames.send(FromProxy::new(frame.epoch, frame.sequence, answer)).await.is_err()
        {
            return;
        }
    }
}
