//! A disk in memory: what was saved stands, what was on its way is lost when its member is killed.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus::{MemberId, PersistentState, WriteRequest};
use stepspur_consensus_node::{BoxFuture, Storage, StorageCallback, StorageEvent, WriteQueue, WriteRejected};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Saves that wait at most.
const SAVES: usize = 1_024;

/// What a disk holds at a moment.
pub type Moment = PersistentState;

#[derive(Debug)]
struct State {
    stored: PersistentState,
    takes: Duration,
    fails: Option<String>,
    /// Rises when its member is killed: what an earlier life still writes is lost.
    life: u64,
}

/// A member's disk.
#[derive(Clone, Debug)]
pub struct Image {
    member: MemberId,
    state: Arc<Mutex<State>>,
}

impl Image {
    /// A disk that holds this.
    pub fn new(member: MemberId, stored: PersistentState, takes: Duration) -> Self {
        Self { member, state: Arc::new(Mutex::new(State { stored, takes, fails: None, life: 0 })) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it holds now.
    pub fn moment(&self) -> Moment {
        self.state().stored.clone()
    }

    /// Each save takes so long from now on.
    pub fn takes(&self, takes: Duration) {
        self.state().takes = takes;
    }

    /// It refuses all saves from now on.
    pub fn fail(&self, why: &str) {
        self.state().fails = Some(why.to_owned());
    }

    /// Its member is killed: what was not saved yet is lost.
    pub fn cut(&self) {
        self.state().life += 1;
    }

    /// Opens it: as a member takes it, and what it holds.
    pub fn open(&self) -> (Box<dyn Storage>, PersistentState) {
        let stored = self.moment();
        (Box::new(Opened { image: self.clone(), life: self.state().life }), stored)
    }

    fn save(&self, life: u64, save: &WriteRequest) -> Option<Result<u64, String>> {
        let mut state = self.state();
        if state.life != life {
            return None;
        }
        if let Some(why) = &state.fails {
            return Some(Err(why.clone()));
        }
        state.stored = state.stored.with_write(save);
        Some(Ok(save.number))
    }
}

struct Opened {
    image: Image,
    life: u64,
}

impl Storage for Opened {
    fn id(&self) -> MemberId {
        self.image.member
    }

    fn start(self: Box<Self>, mut tell: StorageCallback) -> io::Result<Box<dyn WriteQueue>> {
        let (to, mut saves) = mpsc::channel::<WriteRequest>(SAVES);
        let task = tokio::spawn(async move {
            while let Some(save) = saves.recv().await {
                let takes = self.image.state().takes;
                sleep(takes).await;
                match self.image.save(self.life, &save) {
                    Some(Ok(number)) => tell(StorageEvent::Durable { number }),
                    Some(Err(reason)) => return tell(StorageEvent::Failed { reason }),
                    None => return,
                }
            }
        });
        Ok(Box::new(Serving { to, task }))
    }
}

struct Serving {
    to: mpsc::Sender<WriteRequest>,
    task: JoinHandle<()>,
}

impl WriteQueue for Serving {
    fn enqueue(&self, save: WriteRequest) -> Result<(), WriteRejected> {
        self.to
            .try_send(save)
            .map_err(|cause| WriteRejected { reason: format!("the disk takes no more: {cause}") })
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async {
            drop(self.to);
            let _ = self.task.await;
        })
    }
}
