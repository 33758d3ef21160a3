//! The task that connects a subscriber to a control member, and reconnects with backoff.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus_node::Transport;
use stepspur_proto::{from_control, v1};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::candidates::{Candidates, NextCandidate};
use super::connection::{Connection, ConnectionEnd, TimedOperation};
use super::messages::subscribe;
use super::session::{Session, SessionEnd};
use super::settings::SubscriberSettings;
use super::status_publisher::StatusPublisher;
use super::update::{Progress, UpdateRequest};
use crate::keep_alive::{MAX_KEEP_ALIVE, MIN_KEEP_ALIVE};

/// The first bound of the backoff. The backoff has full jitter: each wait is random between zero and a bound
/// that doubles from [`MIN_BACKOFF`] to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The last bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// A connection that lasted longer than this resets the backoff.
const STABLE_AFTER: Duration = MAX_BACKOFF;

/// Owns the connection to a control member.
pub(super) struct Connector {
    settings: SubscriberSettings,
    net: Arc<dyn Transport>,
    updates: mpsc::Sender<UpdateRequest>,
    progress: watch::Receiver<Progress>,
    publisher: Arc<StatusPublisher>,
    candidates: Candidates,
    jitter: ChaCha8Rng,
    /// The bound of the next wait.
    backoff: Duration,
    attach_count: u64,
    /// Whether a welcome was ever received. The first one names the regions of all members, after which the
    /// subscriber may move to a nearer member.
    has_been_welcomed: bool,
}

/// An attempt to connect to a control member.
#[derive(Clone, Copy)]
struct Attempt {
    address: SocketAddr,
    insists: bool,
    started: Instant,
}

impl Connector {
    pub(super) fn new(
        settings: SubscriberSettings,
        net: Arc<dyn Transport>,
        updates: mpsc::Sender<UpdateRequest>,
        progress: watch::Receiver<Progress>,
        publisher: Arc<StatusPublisher>,
    ) -> Self {
        let candidates = Candidates::new(&settings.name, &settings.interest.region, &settings.control);
        let jitter = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            net,
            updates,
            progress,
            publisher,
            candidates,
            jitter,
            backoff: MIN_BACKOFF,
            attach_count: 0,
            has_been_welcomed: false,
        }
    }

    /// Connects and reconnects until stopped.
    pub(super) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.stay_attached() => {}
        }
        self.publisher.set_detached(ConnectionEnd::Stopped.to_string());
    }

    async fn stay_attached(&mut self) {
        loop {
            let attempt = self.next_attempt().await;
            match self.connect_and_serve(attempt).await {
                ConnectionEnd::Stopped => return,
                ConnectionEnd::PrefersAnother => {}
                end => self.back_off(attempt, &end).await,
            }
        }
    }

    async fn next_attempt(&mut self) -> Attempt {
        loop {
            match self.candidates.next(Instant::now()) {
                NextCandidate::Dial { address, insists } => {
                    return Attempt { address, insists, started: Instant::now() };
                }
                NextCandidate::WaitUntil(until) => sleep_until(until).await,
            }
        }
    }

    async fn connect_and_serve(&mut self, attempt: Attempt) -> ConnectionEnd {
        let mut connection = match self.dial(attempt).await {
            Ok(connection) => connection,
            Err(end) => return end,
        };
        match self.subscribe(attempt, &mut connection).await {
            Ok(welcome) => self.serve(attempt.address, connection, welcome).await,
            Err(end) => end,
        }
    }

    /// Logs and publishes why a connection or an attempt ended, and waits before the next attempt.
    async fn back_off(&mut self, attempt: Attempt, end: &ConnectionEnd) {
        let Attempt { address, insists, started } = attempt;
        let is_redirected = matches!(end, ConnectionEnd::Redirected(_));
        if !is_redirected {
            self.candidates.mark_failed(address);
        }
        let was_stable = self.publisher.is_attached() && started.elapsed() > STABLE_AFTER;
        if was_stable || is_redirected && !insists {
            self.backoff = MIN_BACKOFF;
        }
        let age_s = self.publisher.age().map(|age| age.as_secs());
        let name = &self.settings.name;
        tracing::info!(event = "control_member_lost", name, %address, ended = %end, age_s);
        self.publisher.set_detached(format!("{address}: {end}"));
        let wait = self.jitter.random_range(Duration::ZERO..=self.backoff);
        sleep(wait).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    async fn dial(&self, attempt: Attempt) -> Result<Connection, ConnectionEnd> {
        let limit = self.settings.dial_timeout;
        let dialled = timeout(limit, self.net.dial(attempt.address)).await;
        let dialled =
            dialled.map_err(|_| ConnectionEnd::Timeout { operation: TimedOperation::Dial, limit })?;
        let stream = dialled.map_err(ConnectionEnd::Dial)?;
        Ok(Connection::new(stream, self.settings.write_timeout, Arc::clone(&self.publisher)))
    }

    /// Sends the first frame, and waits for the welcome.
    async fn subscribe(
        &mut self,
        attempt: Attempt,
        connection: &mut Connection,
    ) -> Result<v1::ConfigWelcome, ConnectionEnd> {
        let Progress { stored_version, applied_version, .. } = self.progress.borrow_and_update().clone();
        let SubscriberSettings { name, interest, dial_timeout: limit, .. } = &self.settings;
        let limit = *limit;
        let first = subscribe(name, interest, stored_version, applied_version, attempt.insists);
        connection.send(first).await?;
        let answer = timeout(limit, connection.receive()).await;
        let answer =
            answer.map_err(|_| ConnectionEnd::Timeout { operation: TimedOperation::FirstFrame, limit })?;
        match answer? {
            from_control::Kind::Welcome(welcome) => Ok(welcome),
            from_control::Kind::Redirect(redirect) => {
                Err(self.candidates.follow_redirect(attempt.address, redirect))
            }
            _ => Err(ConnectionEnd::UnexpectedFrame),
        }
    }

    /// Serves a connection after its welcome until it ends.
    async fn serve(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        welcome: v1::ConfigWelcome,
    ) -> ConnectionEnd {
        self.candidates.learn(welcome.members);
        self.candidates.mark_attached();
        self.publisher.record_frame();
        // The settings have no regions of control members. The first welcome names them, so that the
        // subscriber can then move to a preferred member.
        let is_first_welcome = !self.has_been_welcomed;
        self.has_been_welcomed = true;
        if is_first_welcome && !self.candidates.is_first(address) {
            return ConnectionEnd::PrefersAnother;
        }
        self.publisher.set_attached(address, self.attach_count);
        self.attach_count += 1;
        tracing::info!(event = "control_member_attached", name = self.settings.name, %address);
        let keep_alive = Duration::from_micros(welcome.keep_alive_us).clamp(MIN_KEEP_ALIVE, MAX_KEEP_ALIVE);
        let session =
            Session::new(connection, keep_alive, &self.updates, &mut self.progress, &self.publisher);
        match session.run().await {
            // A control member that stops redirects all its subscribers.
            SessionEnd::Redirect(redirect) => self.candidates.follow_redirect(address, redirect),
            SessionEnd::Connection(end) => end,
        }
    }
}
