use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use proptest::prelude::*;
use stepspur_consensus_node::BoxFuture;

use super::super::document_applier::{DocumentApplier, DocumentNotApplied};
use super::super::document_cache::put;
use super::super::retrying_applier::APPLY_TIMEOUT;
use super::super::status::{MAX_UNAPPLIED_LISTED, Unapplied};
use super::*;
use crate::document::{Interest, Key, Scope, ServiceInterest, Setting, Target};
use crate::scope_store::{MemoryStore, StoredScope};

/// An engine that records applied documents. A test can make it reject some keys, or stall.
#[derive(Default)]
struct Engine {
    applied: Mutex<BTreeMap<Key, Document>>,
    calls: Mutex<Vec<Document>>,
    rejected_keys: Mutex<Vec<Key>>,
    is_stalled: AtomicBool,
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move {
            self.calls.lock().expect("calls").push(document.clone());
            if self.is_stalled.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            if self.rejected_keys.lock().expect("rejected keys").contains(&document.key) {
                return Err("no such class".to_owned().into());
            }
            put(&mut self.applied.lock().expect("applied"), document);
            Ok(())
        })
    }
}

impl Engine {
    fn applied(&self) -> Vec<Document> {
        self.applied.lock().expect("applied").values().cloned().collect()
    }

    fn call_count(&self) -> usize {
        self.calls.lock().expect("calls").len()
    }

    fn reject(&self, keys: &[Key]) {
        *self.rejected_keys.lock().expect("rejected keys") = keys.to_vec();
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

struct Fixture {
    task: ScopeTask,
    engine: Arc<Engine>,
    store: MemoryStore,
}

async fn fixture_on(store: MemoryStore) -> Fixture {
    let engine = Arc::new(Engine::default());
    let cache = DocumentCache::new(interest(), store.content());
    let applier = RetryingApplier::new(Arc::clone(&engine) as Arc<dyn DocumentApplier>);
    let publisher = Arc::new(StatusPublisher::new(None).0);
    let mut task = ScopeTask::new(cache, Box::new(store.clone()), applier, publisher);
    task.apply_stored().await;
    Fixture { task, engine, store }
}

async fn fixture() -> Fixture {
    fixture_on(MemoryStore::new()).await
}

impl Fixture {
    async fn delta(&mut self, from: u64, to: u64, documents: Vec<Document>) -> Result<(), UpdateError> {
        let (from, to) = (version(from), version(to));
        self.task.handle(ConfigUpdate::Delta { from, to, documents }).await
    }

    async fn snapshot(&mut self, index: u64, documents: Vec<Document>) -> Result<(), UpdateError> {
        self.task.handle(ConfigUpdate::Snapshot(Snapshot { version: version(index), documents })).await
    }

    fn progress(&self) -> Progress {
        self.task.progress.borrow().clone()
    }

    /// Asserts that these documents of this version are stored and applied.
    fn assert_stored_and_applied(&self, index: u64, documents: &[Document]) {
        let progress = self.progress();
        assert_eq!((progress.stored_version, progress.applied_version), (version(index), version(index)));
        assert_eq!(progress.unapplied, []);
        assert_eq!(self.engine.applied(), documents);
        let stored = self.store.content().expect("something is stored");
        assert_eq!((stored.version, stored.documents), (version(index), documents.to_vec()));
    }
}

#[tokio::test(start_paused = true)]
async fn delta_is_stored_and_applied() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 2, Some(5)), document(2, 3, Some(6))]).await.expect("stored");
    fixture.delta(3, 5, vec![document(1, 4, None), document(3, 5, Some(7))]).await.expect("stored");
    fixture.assert_stored_and_applied(5, &[document(2, 3, Some(6)), document(3, 5, Some(7))]);
}

#[tokio::test(start_paused = true)]
async fn overlapping_delta_applies_only_its_newer_documents() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    let calls_before = fixture.engine.call_count();
    fixture.delta(1, 4, vec![document(1, 3, Some(5)), document(2, 4, Some(6))]).await.expect("stored");
    fixture.assert_stored_and_applied(4, &[document(1, 3, Some(5)), document(2, 4, Some(6))]);
    assert_eq!(fixture.engine.call_count(), calls_before + 1);
}

#[tokio::test(start_paused = true)]
async fn overlapping_delta_does_not_restore_a_removed_document() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    fixture.delta(3, 5, vec![document(1, 5, None)]).await.expect("stored");
    fixture.delta(2, 6, vec![document(1, 3, Some(5)), document(2, 6, Some(6))]).await.expect("stored");
    fixture.assert_stored_and_applied(6, &[document(2, 6, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn update_of_an_earlier_version_changes_nothing() {
    let mut fixture = fixture().await;
    fixture.snapshot(5, vec![document(1, 5, Some(5))]).await.expect("stored");
    fixture.delta(1, 4, vec![document(1, 4, Some(9))]).await.expect("ignored");
    fixture.delta(4, 5, vec![document(1, 5, None)]).await.expect("ignored");
    fixture.snapshot(4, vec![]).await.expect("ignored");
    fixture.snapshot(5, vec![]).await.expect("ignored");
    fixture.task.handle(ConfigUpdate::Covered(version(2))).await.expect("ignored");
    fixture.assert_stored_and_applied(5, &[document(1, 5, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn update_of_an_earlier_term_changes_nothing_whatever_its_index() {
    let mut fixture = fixture().await;
    let later = Version { term: 2, index: 6 };
    let documents = vec![Document { version: later, ..document(1, 6, Some(5)) }];
    fixture
        .task
        .handle(ConfigUpdate::Snapshot(Snapshot { version: later, documents }))
        .await
        .expect("stored");
    fixture.delta(5, 900, vec![document(1, 900, Some(9))]).await.expect("ignored");
    assert_eq!(fixture.progress().stored_version, later);
    assert_eq!(fixture.engine.applied()[0].setting, Some(Setting::LevelPpm(5)));
}

#[tokio::test(start_paused = true)]
async fn delta_after_a_gap_is_an_error_and_changes_nothing() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    let result = fixture.delta(4, 6, vec![document(2, 5, Some(6))]).await;
    assert!(
        matches!(result, Err(UpdateError::Gap { from, stored }) if from == version(4) && stored == version(3))
    );
    fixture.assert_stored_and_applied(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn document_newer_than_its_update_is_an_error_and_changes_nothing() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    assert!(matches!(
        fixture.delta(3, 6, vec![document(2, 7, Some(6))]).await,
        Err(UpdateError::DocumentAfterUpdate { .. })
    ));
    assert!(matches!(
        fixture.snapshot(6, vec![document(2, 7, Some(6))]).await,
        Err(UpdateError::DocumentAfterUpdate { .. })
    ));
    fixture.assert_stored_and_applied(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn snapshot_removes_missing_documents_and_applies_only_changes() {
    let mut fixture = fixture().await;
    let first = vec![document(1, 2, Some(5)), document(2, 3, Some(6)), document(3, 3, Some(7))];
    fixture.snapshot(3, first).await.expect("stored");
    let calls_before = fixture.engine.call_count();
    fixture.snapshot(9, vec![document(2, 3, Some(6)), document(3, 8, Some(1))]).await.expect("stored");
    fixture.assert_stored_and_applied(9, &[document(2, 3, Some(6)), document(3, 8, Some(1))]);
    assert_eq!(fixture.engine.call_count(), calls_before + 2, "one removed, one changed");
}

#[tokio::test(start_paused = true)]
async fn document_outside_the_interest_is_ignored() {
    let mut fixture = fixture().await;
    let mut other = document(1, 3, Some(5));
    other.key.scope.service = Some("b".to_owned());
    fixture.snapshot(3, vec![other.clone()]).await.expect("stored");
    fixture.delta(3, 4, vec![Document { version: version(4), ..other }]).await.expect("stored");
    fixture.assert_stored_and_applied(4, &[]);
}

#[tokio::test(start_paused = true)]
async fn newer_of_two_documents_of_a_key_is_applied() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5)), document(1, 2, Some(6))]).await.expect("stored");
    fixture.assert_stored_and_applied(3, &[document(1, 3, Some(5))]);
    fixture.delta(3, 5, vec![document(1, 5, Some(7)), document(1, 4, None)]).await.expect("stored");
    fixture.assert_stored_and_applied(5, &[document(1, 5, Some(7))]);
}

#[tokio::test(start_paused = true)]
async fn update_that_cannot_be_stored_is_not_applied() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    fixture.store.inject_failure(Some("full".to_owned()));
    assert!(matches!(fixture.delta(3, 4, vec![document(1, 4, Some(9))]).await, Err(UpdateError::Store(_))));
    assert!(matches!(fixture.snapshot(4, vec![]).await, Err(UpdateError::Store(_))));
    fixture.assert_stored_and_applied(3, &[document(1, 3, Some(5))]);
    fixture.store.inject_failure(None);
    fixture.delta(3, 4, vec![document(1, 4, Some(9))]).await.expect("stored");
    fixture.assert_stored_and_applied(4, &[document(1, 4, Some(9))]);
}

#[tokio::test(start_paused = true)]
async fn failed_document_holds_back_the_applied_version_until_it_is_applied() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    let rejected = document(1, 4, Some(9));
    fixture.engine.reject(std::slice::from_ref(&rejected.key));
    fixture.delta(3, 4, vec![rejected.clone(), document(2, 4, Some(1))]).await.expect("stored");
    fixture.delta(4, 5, vec![document(3, 5, Some(2))]).await.expect("stored");
    fixture.task.handle(ConfigUpdate::Covered(version(7))).await.expect("stored");
    let progress = fixture.progress();
    assert_eq!((progress.stored_version, progress.applied_version), (version(7), version(3)));
    let unapplied = Unapplied { key: rejected.key, version: version(4), reason: "no such class".to_owned() };
    assert_eq!(progress.unapplied, [unapplied]);
    let last_good = [document(1, 3, Some(5)), document(2, 4, Some(1)), document(3, 5, Some(2))];
    assert_eq!(fixture.engine.applied(), last_good);

    fixture.task.tick().await;
    assert_eq!(fixture.progress().applied_version, version(3), "the document still fails");
    fixture.engine.reject(&[]);
    fixture.task.tick().await;
    assert_eq!((fixture.progress().applied_version, fixture.progress().unapplied), (version(7), vec![]));
    assert_eq!(fixture.engine.applied()[0], document(1, 4, Some(9)));
}

#[tokio::test(start_paused = true)]
async fn newer_document_of_a_failed_key_lets_the_applied_version_advance() {
    let mut fixture = fixture().await;
    let rejected = document(1, 4, Some(9));
    fixture.engine.reject(std::slice::from_ref(&rejected.key));
    fixture.delta(0, 4, vec![rejected]).await.expect("stored");
    assert_eq!(fixture.progress().applied_version, Version::NONE);
    fixture.engine.reject(&[]);
    fixture.delta(4, 5, vec![document(1, 5, None)]).await.expect("stored");
    fixture.assert_stored_and_applied(5, &[]);
}

#[tokio::test(start_paused = true)]
async fn stalled_engine_is_called_once_per_tick_and_nothing_counts_as_applied() {
    let mut fixture = fixture().await;
    fixture.engine.is_stalled.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let documents: Vec<Document> = (0..300).map(|class| document(class, 3, Some(5))).collect();
    fixture.snapshot(3, documents.clone()).await.expect("stored");
    assert_eq!(began.elapsed(), APPLY_TIMEOUT);
    assert_eq!(fixture.engine.call_count(), 1);
    let progress = fixture.progress();
    assert_eq!((progress.stored_version, progress.applied_version), (version(3), Version::NONE));
    assert_eq!(progress.unapplied.len(), MAX_UNAPPLIED_LISTED);
    fixture.task.tick().await;
    assert_eq!(fixture.engine.call_count(), 2);
    fixture.engine.is_stalled.store(false, Ordering::Relaxed);
    fixture.task.tick().await;
    fixture.task.tick().await;
    fixture.assert_stored_and_applied(3, &documents);
}

#[tokio::test(start_paused = true)]
async fn documents_that_always_fail_do_not_block_retries_of_others() {
    let mut fixture = fixture().await;
    let documents: Vec<Document> = (0..600).map(|class| document(class, 3, Some(5))).collect();
    let keys: Vec<Key> = documents.iter().map(|document| document.key.clone()).collect();
    fixture.engine.reject(&keys);
    fixture.snapshot(3, documents).await.expect("stored");
    fixture.engine.reject(&keys[..400]);
    for _ in 0..3 {
        fixture.task.tick().await;
    }
    assert_eq!(fixture.engine.applied().len(), 200);
}

#[tokio::test(start_paused = true)]
async fn stored_documents_are_applied_at_the_next_start() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    let fixture = fixture_on(fixture.store).await;
    fixture.assert_stored_and_applied(3, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn covered_version_advances_the_progress_at_once_and_is_stored_once_a_minute() {
    let mut fixture = fixture().await;
    fixture.snapshot(3, vec![document(1, 3, Some(5))]).await.expect("stored");
    let stored = |fixture: &Fixture| fixture.store.content().map(|stored| stored.version);
    for index in 4..10 {
        fixture.task.handle(ConfigUpdate::Covered(version(index))).await.expect("stored");
        fixture.task.tick().await;
        assert_eq!(
            (fixture.progress().stored_version, fixture.progress().applied_version),
            (version(index), version(index))
        );
        assert_eq!(stored(&fixture), Some(version(3)));
        tokio::time::advance(Duration::from_secs(9)).await;
    }
    tokio::time::advance(Duration::from_secs(9)).await;
    fixture.task.tick().await;
    fixture.assert_stored_and_applied(9, &[document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn snapshot_of_a_lagging_member_for_a_wider_interest_reverts_no_document() {
    let mut first = fixture().await;
    let newest = [document(1, 9, Some(9)), document(2, 2, Some(2)), document(4, 8, Some(4))];
    first.snapshot(9, newest.to_vec()).await.expect("stored");
    let stored = first.store.content().map(|stored| StoredScope { version: Version::NONE, ..stored });
    first.store.set_content(stored);
    let mut fixture = fixture_on(first.store).await;
    assert_eq!(fixture.progress().applied_version, Version::NONE);
    fixture.snapshot(6, vec![document(1, 5, Some(1)), document(3, 6, Some(3))]).await.expect("stored");
    fixture.assert_stored_and_applied(
        6,
        &[document(1, 9, Some(9)), document(3, 6, Some(3)), document(4, 8, Some(4))],
    );
    fixture.delta(6, 9, vec![document(1, 9, Some(9)), document(4, 8, Some(4))]).await.expect("stored");
    fixture.assert_stored_and_applied(
        9,
        &[document(1, 9, Some(9)), document(3, 6, Some(3)), document(4, 8, Some(4))],
    );
}

/// An arbitrary update: kind, two versions, documents.
type GeneratedUpdate = (u8, u64, u64, Vec<(u64, u64, Option<u32>)>);

fn generated_updates() -> impl Strategy<Value = Vec<GeneratedUpdate>> {
    let documents = prop::collection::vec((0_u64..5, 0_u64..12, prop::option::of(0_u32..9)), 0..4);
    prop::collection::vec((0_u8..4, 0_u64..12, 0_u64..12, documents), 1..30)
}

proptest! {
    #[test]
    fn versions_never_decrease_and_applied_documents_are_the_stored_ones(
        updates in generated_updates(),
        rejected in 0_u64..5,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let mut fixture = fixture().await;
            let mut before = Progress::default();
            for (step, (kind, from, to, documents)) in updates.into_iter().enumerate() {
                let rejected_key = document(rejected, 0, None).key;
                let rejected_keys = if step % 3 == 0 { vec![rejected_key] } else { vec![] };
                fixture.engine.reject(&rejected_keys);
                let documents = documents.into_iter();
                let documents = documents
                    .map(|(class, index, level)| document(class, index, level))
                    .collect();
                let result = match kind {
                    0 => fixture.snapshot(to, documents).await,
                    1 => fixture.task.handle(ConfigUpdate::Covered(version(to))).await,
                    _ => fixture.delta(from, to, documents).await,
                };
                // Updates with a gap or with a document newer than themselves are rejected.
                drop(result);
                fixture.task.tick().await;
                let now = fixture.progress();
                assert!(now.stored_version >= before.stored_version, "{before:?} then {now:?}");
                assert!(now.applied_version >= before.applied_version, "{before:?} then {now:?}");
                assert!(now.applied_version <= now.stored_version);
                let cached: Vec<Document> = fixture.task.cache.documents();
                if now.applied_version == now.stored_version {
                    assert_eq!(fixture.engine.applied(), cached);
                }
                before = now;
            }
        });
    }
}
