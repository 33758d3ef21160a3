//! The task that owns the connection: it dials, subscribes, hands what comes to the keeper, acknowledges, and begins anew
//! with backoff whenever a connection ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus_node::Transport;
use stepspur_proto::{from_control, v1};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::SubscriberSettings;
use super::board::Board;
use super::candidates::{Candidates, Next};
use super::connection::{Connection, Ended, acknowledgement, keep_alive, subscribe};
use super::keeper::{Offer, Offered, Progress, Refused};
use super::snapshot::Parts;
use crate::document::Document;
use crate::version::version_of;

/// Full jitter: a wait lies between nothing and a bound that doubles from the first of these to the last.
pub(crate) const BACKOFF_FIRST: Duration = Duration::from_millis(100);
pub(crate) const BACKOFF_MOST: Duration = Duration::from_secs(3);
/// A connection that lasted longer makes the bound small again.
const LASTED: Duration = BACKOFF_MOST;
/// Spans of silence that end a connection.
const SILENT_SPANS: u32 = 3;
/// A control member's span between frames is taken within these bounds.
const KEEP_ALIVE_LEAST: Duration = Duration::from_millis(100);
const KEEP_ALIVE_MOST: Duration = Duration::from_secs(600);

/// Owns the connection.
pub(crate) struct Link {
    settings: SubscriberSettings,
    net: Arc<dyn Transport>,
    updates: mpsc::Sender<Offered>,
    progress: watch::Receiver<Progress>,
    board: Arc<Board>,
    candidates: Candidates,
    jitter: ChaCha8Rng,
    backoff: Duration,
    attachments: u64,
    /// True: it was at its place in the order once, or knows that it is not to be had.
    placed: bool,
}

impl Link {
    pub(crate) fn new(
        settings: SubscriberSettings,
        net: Arc<dyn Transport>,
        updates: mpsc::Sender<Offered>,
        progress: watch::Receiver<Progress>,
        board: Arc<Board>,
    ) -> Self {
        let candidates = Candidates::new(&settings.name, &settings.interest.region, &settings.control);
        let jitter = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            net,
            updates,
            progress,
            board,
            candidates,
            jitter,
            backoff: BACKOFF_FIRST,
            attachments: 0,
            placed: false,
        }
    }

    /// Keeps the subscriber attached until stopped.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.attach_for_ever() => {}
        }
        self.board.detached(Ended::Stopped.to_string());
    }

    async fn attach_for_ever(&mut self) {
        loop {
            let (address, insists) = match self.candidates.next(Instant::now()) {
                Next::Dial { address, insists } => (address, insists),
                Next::Wait(until) => {
                    sleep_until(until).await;
                    continue;
                }
            };
            let began = Instant::now();
            let ended = match self.attach(address, insists).await {
                Ok((connection, welcome)) => self.serve(address, connection, welcome).await,
                Err(ended) => ended,
            };
            match ended {
                Ended::Stopped => return,
                Ended::Moves => continue,
                _ => {}
            }
            self.lost(address, &ended, began, insists);
            let wait = self.jitter.random_range(Duration::ZERO..=self.backoff);
            sleep(wait).await;
            self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
        }
    }

    fn lost(&mut self, address: SocketAddr, ended: &Ended, began: Instant, insists: bool) {
        let sent_on = matches!(ended, Ended::Redirected(_));
        if !sent_on {
            self.candidates.failed(address);
        }
        let lasted = self.board.is_attached() && began.elapsed() > LASTED;
        if lasted || sent_on && !insists {
            self.backoff = BACKOFF_FIRST;
        }
        let age_s = self.board.age().map(|age| age.as_secs());
        tracing::info!(event = "control_member_lost", name = self.settings.name, %address, %ended, age_s);
        self.board.detached(format!("{address}: {ended}"));
    }

    /// Dials a control member and subscribes.
    async fn attach(
        &mut self,
        address: SocketAddr,
        insists: bool,
    ) -> Result<(Connection, v1::ConfigWelcome), Ended> {
        let within = self.settings.dial_timeout;
        let dialled = timeout(within, self.net.dial(address)).await;
        let stream = dialled.map_err(|_| Ended::Late("dialling", within))?.map_err(Ended::Dial)?;
        let mut connection = Connection::new(stream, self.settings.write_timeout, Arc::clone(&self.board));
        let progress = self.progress.borrow_and_update().clone();
        connection.send(subscribe(&self.settings, progress.holds, progress.in_force, insists)).await?;
        let answer = timeout(within, connection.receive()).await;
        match answer.map_err(|_| Ended::Late("the first frame", within))?? {
            from_control::Kind::Welcome(welcome) => Ok((connection, welcome)),
            from_control::Kind::Redirect(redirect) => Err(self.redirected(address, redirect)),
            _ => Err(Ended::Unexpected),
        }
    }

    fn redirected(&mut self, address: SocketAddr, redirect: v1::ConfigRedirect) -> Ended {
        self.candidates.learn(redirect.members);
        let retry_after = Duration::from_micros(redirect.retry_after_us);
        self.candidates.redirected(address, retry_after, Instant::now());
        Ended::Redirected(redirect.detail)
    }

    /// Serves a connection until it ends.
    async fn serve(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        welcome: v1::ConfigWelcome,
    ) -> Ended {
        self.candidates.learn(welcome.members);
        self.candidates.attached();
        self.board.heard();
        // Settings name control members without their regions: the first one that answers tells who is near.
        if !std::mem::replace(&mut self.placed, true) && !self.candidates.is_first(address) {
            return Ended::Moves;
        }
        self.board.attached(address, self.attachments);
        self.attachments += 1;
        tracing::info!(event = "control_member_attached", name = self.settings.name, %address);
        let span = Duration::from_micros(welcome.keep_alive_us).clamp(KEEP_ALIVE_LEAST, KEEP_ALIVE_MOST);
        let now = Instant::now();
        let session = Session {
            link: self,
            address,
            connection,
            span,
            parts: Parts::default(),
            sent_at: now,
            heard_at: now,
            told: Progress::default(),
        };
        match session.run().await {
            Ok(never) => match never {},
            Err(ended) => ended,
        }
    }
}

enum Never {}

/// One connection after its welcome.
struct Session<'l> {
    link: &'l mut Link,
    address: SocketAddr,
    connection: Connection,
    span: Duration,
    parts: Parts,
    sent_at: Instant,
    heard_at: Instant,
    told: Progress,
}

/// What the session waited for.
enum Event {
    Frame(from_control::Kind),
    Taken(Result<(), Refused>),
    Progress,
    KeepAlive,
    Silent,
}

impl Session<'_> {
    async fn run(mut self) -> Result<Never, Ended> {
        // The first frame told the versions, not what is unapplied.
        let progress = self.link.progress.borrow_and_update().clone();
        let subscribed = Progress { unapplied: Vec::new(), ..progress };
        self.told = subscribed;
        let mut taking: Option<oneshot::Receiver<Result<(), Refused>>> = None;
        loop {
            self.acknowledge().await?;
            match self.next(&mut taking).await? {
                Event::Frame(frame) => {
                    self.heard();
                    taking = self.received(frame).await?;
                }
                Event::Taken(taken) => {
                    taking = None;
                    // Nothing was read meanwhile.
                    self.heard_at = Instant::now();
                    taken.map_err(|refused| Ended::Refused(refused.to_string()))?;
                }
                Event::Progress => {}
                Event::KeepAlive => self.send(keep_alive()).await?,
                Event::Silent => return Err(Ended::Silent(self.span * SILENT_SPANS)),
            }
        }
    }

    async fn next(
        &mut self,
        taking: &mut Option<oneshot::Receiver<Result<(), Refused>>>,
    ) -> Result<Event, Ended> {
        let idle = taking.is_none();
        let taken = async {
            match taking {
                Some(taking) => taking.await.map_err(|_| Ended::Stopped),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            taken = taken => Ok(Event::Taken(taken?)),
            changed = self.link.progress.changed() => changed.map(|()| Event::Progress).map_err(|_| Ended::Stopped),
            () = sleep_until(self.sent_at + self.span) => Ok(Event::KeepAlive),
            frame = self.connection.receive(), if idle => frame.map(Event::Frame),
            () = sleep_until(self.heard_at + self.span * SILENT_SPANS), if idle => Ok(Event::Silent),
        }
    }

    fn heard(&mut self) {
        self.heard_at = Instant::now();
        self.link.board.heard();
    }

    /// Hands what came to the keeper.
    async fn received(
        &mut self,
        frame: from_control::Kind,
    ) -> Result<Option<oneshot::Receiver<Result<(), Refused>>>, Ended> {
        let Some(offer) = self.offer(frame)? else { return Ok(None) };
        let (told, taking) = oneshot::channel();
        // There is room: one offer is under way at a time.
        self.link.updates.send((offer, told)).await.map_err(|_| Ended::Stopped)?;
        Ok(Some(taking))
    }

    fn offer(&mut self, frame: from_control::Kind) -> Result<Option<Offer>, Ended> {
        let refused = |cause: &dyn std::fmt::Display| Ended::Refused(cause.to_string());
        match frame {
            from_control::Kind::Delta(delta) => {
                let documents = delta.documents.into_iter().map(Document::try_from).collect::<Result<_, _>>();
                let documents = documents.map_err(|cause| refused(&cause))?;
                Ok(Some(Offer::Delta { from: version_of(delta.from), to: version_of(delta.to), documents }))
            }
            from_control::Kind::SnapshotPart(part) => {
                let whole = self.parts.add(part).map_err(|cause| refused(&cause))?;
                Ok(whole.map(Offer::Whole))
            }
            // What is covered counts from what was sent before, and a part of a snapshot is nothing yet.
            from_control::Kind::KeepAlive(_) if self.parts.is_under_way() => Ok(None),
            from_control::Kind::KeepAlive(alive) => Ok(Some(Offer::Covered(version_of(alive.covered)))),
            // The control member sends all its subscribers on: it ends.
            from_control::Kind::Redirect(redirect) => Err(self.link.redirected(self.address, redirect)),
            from_control::Kind::Welcome(_) => Err(Ended::Unexpected),
        }
    }

    /// Tells how far the subscriber has come, if that is news.
    async fn acknowledge(&mut self) -> Result<(), Ended> {
        let progress = self.link.progress.borrow_and_update().clone();
        if progress != self.told {
            self.send(acknowledgement(&progress)).await?;
            self.told = progress;
        }
        Ok(())
    }

    async fn send(&mut self, message: stepspur_proto::FromSubscriber) -> Result<(), Ended> {
        self.connection.send(message).await?;
        self.sent_at = Instant::now();
        Ok(())
    }
}
