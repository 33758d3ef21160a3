use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use proptest::prelude::*;
use stepspur_consensus_node::BoxFuture;

use super::*;
use crate::document::{Scope, ServiceInterest, Setting, Target};
use crate::scope_store::MemoryStore;

/// An engine that keeps what it acts by, refuses what it is told to, and stalls when it is told to.
#[derive(Default)]
struct Engine {
    acts_by: Mutex<BTreeMap<Key, Document>>,
    asked: Mutex<Vec<Document>>,
    refuses: Mutex<Vec<Key>>,
    stalls: AtomicBool,
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), String>> {
        Box::pin(async move {
            self.asked.lock().expect("asked").push(document.clone());
            if self.stalls.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            if self.refuses.lock().expect("refuses").contains(&document.key) {
                return Err("no such class".to_owned());
            }
            hold(&mut self.acts_by.lock().expect("acts by"), document);
            Ok(())
        })
    }
}

impl Engine {
    fn acts_by(&self) -> Vec<Document> {
        self.acts_by.lock().expect("acts by").values().cloned().collect()
    }

    fn asked(&self) -> usize {
        self.asked.lock().expect("asked").len()
    }

    fn refuse(&self, keys: &[Key]) {
        *self.refuses.lock().expect("refuses") = keys.to_vec();
    }
}

fn version(index: u64) -> Version {
    if index == 0 { Version::NONE } else { Version { term: 1, index } }
}

fn document(class: u64, index: u64, level: Option<u32>) -> Document {
    let scope = Scope { service: Some("a".to_owned()), ..Scope::default() };
    let key = Key { scope, target: Target::Class(format!("class-{class:03}")) };
    Document { key, setting: level.map(Setting::LevelPpm), version: version(index) }
}

fn interest() -> Interest {
    let service = ServiceInterest { service: "a".to_owned(), tenants: Vec::new() };
    Interest { region: "north".to_owned(), services: vec![service] }
}

struct Rig {
    keeper: Keeper,
    engine: Arc<Engine>,
    store: MemoryStore,
}

async fn rig_on(store: MemoryStore) -> Rig {
    let engine = Arc::new(Engine::default());
    let kept = store.content();
    let board = Arc::new(Board::new(None).0);
    let apply = Arc::clone(&engine) as Arc<dyn DocumentApplier>;
    let mut keeper = Keeper::new(interest(), Box::new(store.clone()), apply, kept, board);
    keeper.apply_kept().await;
    Rig { keeper, engine, store }
}

async fn rig() -> Rig {
    rig_on(MemoryStore::new()).await
}

impl Rig {
    async fn delta(&mut self, from: u64, to: u64, documents: Vec<Document>) -> Result<(), Refused> {
        let (from, to) = (version(from), version(to));
        self.keeper.take(Offer::Delta { from, to, documents }).await
    }

    async fn whole(&mut self, index: u64, documents: Vec<Document>) -> Result<(), Refused> {
        self.keeper.take(Offer::Whole(Snapshot { version: version(index), documents })).await
    }

    fn progress(&self) -> Progress {
        self.keeper.progress.borrow().clone()
    }

    /// What is held, in force and kept, all of it up to this version, is this.
    fn stands(&self, index: u64, documents: &[Document]) {
        let progress = self.progress();
        assert_eq!((progress.holds, progress.in_force), (version(index), version(index)));
        assert_eq!(progress.unapplied, []);
        assert_eq!(self.engine.acts_by(), documents);
        let kept = self.store.content().expect("something is kept");
        assert_eq!((kept.version, kept.documents), (version(index), documents.to_vec()));
    }
}

#[tokio::test(start_paused = true)]
async fn a_delta_is_kept_and_applied() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 2, Some(5)), document(2, 3, Some(6))]).await.expect("taken");
    rig.delta(3, 5, vec![document(1, 4, None), document(3, 5, Some(7))]).await.expect("taken");
    rig.stands(5, &[document(2, 3, Some(6)), document(3, 5, Some(7))]);
}

#[tokio::test(start_paused = true)]
async fn a_delta_that_overlaps_is_taken_and_what_is_known_of_it_is_not_applied_again() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    let asked = rig.engine.asked();
    rig.delta(1, 4, vec![document(1, 3, Some(5)), document(2, 4, Some(6))]).await.expect("taken");
    rig.stands(4, &[document(1, 3, Some(5)), document(2, 4, Some(6))]);
    assert_eq!(rig.engine.asked(), asked + 1);
}

#[tokio::test(start_paused = true)]
async fn a_delta_that_overlaps_brings_back_nothing_that_was_lifted() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    rig.delta(3, 5, vec![document(1, 5, None)]).await.expect("taken");
    rig.delta(2, 6, vec![document(1, 3, Some(5)), document(2, 6, Some(6))]).await.expect("taken");
    rig.stands(6, &[document(2, 6, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn what_is_not_newer_changes_nothing() {
    let mut rig = rig().await;
    rig.whole(5, vec![document(1, 5, Some(5))]).await.expect("taken");
    rig.delta(1, 4, vec![document(1, 4, Some(9))]).await.expect("ignored");
    rig.delta(4, 5, vec![document(1, 5, None)]).await.expect("ignored");
    rig.whole(4, vec![]).await.expect("ignored");
    rig.whole(5, vec![]).await.expect("ignored");
    rig.keeper.take(Offer::Covered(version(2))).await.expect("ignored");
    rig.stands(5, &[document(1, 5, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn an_earlier_term_is_older_whatever_its_index() {
    let mut rig = rig().await;
    let later = Version { term: 2, index: 6 };
    let documents = vec![Document { version: later, ..document(1, 6, Some(5)) }];
    rig.keeper.take(Offer::Whole(Snapshot { version: later, documents })).await.expect("taken");
    rig.delta(5, 900, vec![document(1, 900, Some(9))]).await.expect("ignored");
    assert_eq!(rig.progress().holds, later);
    assert_eq!(rig.engine.acts_by()[0].setting, Some(Setting::LevelPpm(5)));
}

#[tokio::test(start_paused = true)]
async fn a_gap_is_refused_and_changes_nothing() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    let refused = rig.delta(4, 6, vec![document(2, 5, Some(6))]).await;
    assert!(
        matches!(refused, Err(Refused::Gap { from, holds }) if from == version(4) && holds == version(3))
    );
    rig.stands(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn a_document_beyond_the_update_is_refused_and_changes_nothing() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    assert!(matches!(rig.delta(3, 6, vec![document(2, 7, Some(6))]).await, Err(Refused::Beyond { .. })));
    assert!(matches!(rig.whole(6, vec![document(2, 7, Some(6))]).await, Err(Refused::Beyond { .. })));
    rig.stands(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_lifts_what_it_does_not_name_and_hands_on_what_has_changed_alone() {
    let mut rig = rig().await;
    let first = vec![document(1, 2, Some(5)), document(2, 3, Some(6)), document(3, 3, Some(7))];
    rig.whole(3, first).await.expect("taken");
    let asked = rig.engine.asked();
    rig.whole(9, vec![document(2, 3, Some(6)), document(3, 8, Some(1))]).await.expect("taken");
    rig.stands(9, &[document(2, 3, Some(6)), document(3, 8, Some(1))]);
    assert_eq!(rig.engine.asked(), asked + 2, "one lifted, one changed");
}

#[tokio::test(start_paused = true)]
async fn documents_of_no_interest_are_not_taken() {
    let mut rig = rig().await;
    let mut other = document(1, 3, Some(5));
    other.key.scope.service = Some("b".to_owned());
    rig.whole(3, vec![other.clone()]).await.expect("taken");
    rig.delta(3, 4, vec![Document { version: version(4), ..other }]).await.expect("taken");
    rig.stands(4, &[]);
}

#[tokio::test(start_paused = true)]
async fn of_two_documents_for_a_key_the_newer_one_counts() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5)), document(1, 2, Some(6))]).await.expect("taken");
    rig.stands(3, &[document(1, 3, Some(5))]);
    rig.delta(3, 5, vec![document(1, 5, Some(7)), document(1, 4, None)]).await.expect("taken");
    rig.stands(5, &[document(1, 5, Some(7))]);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_applied_that_the_disk_does_not_take() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    rig.store.inject_failure(Some("full".to_owned()));
    assert!(matches!(rig.delta(3, 4, vec![document(1, 4, Some(9))]).await, Err(Refused::Store(_))));
    assert!(matches!(rig.whole(4, vec![]).await, Err(Refused::Store(_))));
    rig.stands(3, &[document(1, 3, Some(5))]);
    rig.store.inject_failure(None);
    rig.delta(3, 4, vec![document(1, 4, Some(9))]).await.expect("taken");
    rig.stands(4, &[document(1, 4, Some(9))]);
}

#[tokio::test(start_paused = true)]
async fn a_document_that_cannot_be_applied_holds_the_version_in_force_back_until_it_can() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    let refused = document(1, 4, Some(9));
    rig.engine.refuse(std::slice::from_ref(&refused.key));
    rig.delta(3, 4, vec![refused.clone(), document(2, 4, Some(1))]).await.expect("taken");
    rig.delta(4, 5, vec![document(3, 5, Some(2))]).await.expect("taken");
    rig.keeper.take(Offer::Covered(version(7))).await.expect("taken");
    let progress = rig.progress();
    assert_eq!((progress.holds, progress.in_force), (version(7), version(3)));
    let told = Unapplied { key: refused.key, version: version(4), reason: "no such class".to_owned() };
    assert_eq!(progress.unapplied, [told]);
    let last_good = [document(1, 3, Some(5)), document(2, 4, Some(1)), document(3, 5, Some(2))];
    assert_eq!(rig.engine.acts_by(), last_good);

    rig.keeper.round().await;
    assert_eq!(rig.progress().in_force, version(3), "it is still refused");
    rig.engine.refuse(&[]);
    rig.keeper.round().await;
    assert_eq!((rig.progress().in_force, rig.progress().unapplied), (version(7), vec![]));
    assert_eq!(rig.engine.acts_by()[0], document(1, 4, Some(9)));
}

#[tokio::test(start_paused = true)]
async fn what_takes_the_place_of_an_unapplied_document_lets_the_version_go_on() {
    let mut rig = rig().await;
    let refused = document(1, 4, Some(9));
    rig.engine.refuse(std::slice::from_ref(&refused.key));
    rig.delta(0, 4, vec![refused]).await.expect("taken");
    assert_eq!(rig.progress().in_force, Version::NONE);
    rig.engine.refuse(&[]);
    rig.delta(4, 5, vec![document(1, 5, None)]).await.expect("taken");
    rig.stands(5, &[]);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_stalls_is_asked_once_each_round_and_nothing_counts_as_in_force() {
    let mut rig = rig().await;
    rig.engine.stalls.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let documents: Vec<Document> = (0..300).map(|class| document(class, 3, Some(5))).collect();
    rig.whole(3, documents.clone()).await.expect("taken");
    assert_eq!(began.elapsed(), super::super::applier::APPLY_TIMEOUT);
    assert_eq!(rig.engine.asked(), 1);
    let progress = rig.progress();
    assert_eq!((progress.holds, progress.in_force), (version(3), Version::NONE));
    assert_eq!(progress.unapplied.len(), super::super::MAX_UNAPPLIED_LISTED);
    rig.keeper.round().await;
    assert_eq!(rig.engine.asked(), 2);
    rig.engine.stalls.store(false, Ordering::Relaxed);
    rig.keeper.round().await;
    rig.keeper.round().await;
    rig.stands(3, &documents);
}

#[tokio::test(start_paused = true)]
async fn documents_that_are_refused_for_ever_do_not_keep_the_others_from_their_turn() {
    let mut rig = rig().await;
    let documents: Vec<Document> = (0..600).map(|class| document(class, 3, Some(5))).collect();
    let keys: Vec<Key> = documents.iter().map(|document| document.key.clone()).collect();
    rig.engine.refuse(&keys);
    rig.whole(3, documents).await.expect("taken");
    rig.engine.refuse(&keys[..400]);
    for _ in 0..3 {
        rig.keeper.round().await;
    }
    assert_eq!(rig.engine.acts_by().len(), 200);
}

#[tokio::test(start_paused = true)]
async fn what_was_kept_is_applied_at_the_next_start() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    let rig = rig_on(rig.store).await;
    rig.stands(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn covered_versions_count_at_once_and_are_kept_once_a_minute() {
    let mut rig = rig().await;
    rig.whole(3, vec![document(1, 3, Some(5))]).await.expect("taken");
    let kept = |rig: &Rig| rig.store.content().map(|kept| kept.version);
    for index in 4..10 {
        rig.keeper.take(Offer::Covered(version(index))).await.expect("taken");
        rig.keeper.round().await;
        assert_eq!((rig.progress().holds, rig.progress().in_force), (version(index), version(index)));
        assert_eq!(kept(&rig), Some(version(3)));
        tokio::time::advance(Duration::from_secs(9)).await;
    }
    tokio::time::advance(Duration::from_secs(9)).await;
    rig.keeper.round().await;
    rig.stands(9, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn a_grown_interest_is_served_by_a_member_that_lags_without_a_document_going_back() {
    let mut first = rig().await;
    let newest = [document(1, 9, Some(9)), document(2, 2, Some(2)), document(4, 8, Some(4))];
    first.whole(9, newest.to_vec()).await.expect("taken");
    let kept = first.store.content().map(|kept| StoredScope { version: Version::NONE, ..kept });
    first.store.set_content(kept);
    let mut rig = rig_on(first.store).await;
    assert_eq!(rig.progress().in_force, Version::NONE);
    rig.whole(6, vec![document(1, 5, Some(1)), document(3, 6, Some(3))]).await.expect("taken");
    rig.stands(6, &[document(1, 9, Some(9)), document(3, 6, Some(3)), document(4, 8, Some(4))]);
    rig.delta(6, 9, vec![document(1, 9, Some(9)), document(4, 8, Some(4))]).await.expect("taken");
    rig.stands(9, &[document(1, 9, Some(9)), document(3, 6, Some(3)), document(4, 8, Some(4))]);
}

/// Whatever comes, in whatever order: kind, two versions, documents.
type Drawn = (u8, u64, u64, Vec<(u64, u64, Option<u32>)>);

fn drawn() -> impl Strategy<Value = Vec<Drawn>> {
    let documents = prop::collection::vec((0_u64..5, 0_u64..12, prop::option::of(0_u32..9)), 0..4);
    prop::collection::vec((0_u8..4, 0_u64..12, 0_u64..12, documents), 1..30)
}

proptest! {
    #[test]
    fn versions_never_go_back_and_what_is_in_force_is_what_is_held(offers in drawn(), refused in 0_u64..5) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let mut rig = rig().await;
            let mut before = Progress::default();
            for (step, (kind, from, to, documents)) in offers.into_iter().enumerate() {
                let refuses = if step % 3 == 0 { vec![document(refused, 0, None).key] } else { vec![] };
                rig.engine.refuse(&refuses);
                let documents = documents.into_iter().map(|(class, index, level)| document(class, index, level));
                let documents = documents.collect();
                let _ = match kind {
                    0 => rig.whole(to, documents).await,
                    1 => rig.keeper.take(Offer::Covered(version(to))).await,
                    _ => rig.delta(from, to, documents).await,
                };
                rig.keeper.round().await;
                let now = rig.progress();
                assert!(now.holds >= before.holds && now.in_force >= before.in_force, "{before:?} then {now:?}");
                assert!(now.in_force <= now.holds);
                let held: Vec<Document> = rig.keeper.documents.values().cloned().collect();
                if now.in_force == now.holds {
                    assert_eq!(rig.engine.acts_by(), held);
                }
                before = now;
            }
        });
    }
}
