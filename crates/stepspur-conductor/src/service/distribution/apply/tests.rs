//! Tests of applying documents to engines, which record their operations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use stepspur_distribution::document::{Document, Key, Scope, Setting, Target};
use stepspur_distribution::version::Version;
use tokio::sync::mpsc;

use super::TenantEngines;
use crate::engine::{Operation, OperationError, OverrideState};
use crate::service::engine_handle::{EngineCommand, EngineHandle};

/// A fake engine. It records its operations, or rejects them with `rejection` while that is set.
#[derive(Clone, Default)]
struct RecordingEngine {
    operations: Arc<Mutex<Vec<Operation>>>,
    rejection: Arc<Mutex<Option<OperationError>>>,
}

impl RecordingEngine {
    /// Starts the task of the engine, which ends when the handle is dropped.
    fn start(&self) -> EngineHandle {
        let (sender, mut commands) = mpsc::channel(1);
        let engine = self.clone();
        tokio::spawn(async move {
            while let Some(EngineCommand::Operate { operation, reply }) = commands.recv().await {
                let rejection = *engine.rejection.lock().unwrap();
                if rejection.is_none() {
                    engine.operations.lock().unwrap().push(operation);
                }
                let _ = reply.send(rejection.map_or(Ok(()), Err));
            }
        });
        EngineHandle::new(sender)
    }

    /// Removes and returns the operations since the last call.
    fn take_operations(&self) -> Vec<Operation> {
        std::mem::take(&mut *self.operations.lock().unwrap())
    }

    fn reject_with(&self, rejection: Option<OperationError>) {
        *self.rejection.lock().unwrap() = rejection;
    }
}

/// Starts the engines of the tenants `north` and `south`.
fn tenants() -> (Arc<TenantEngines>, RecordingEngine, RecordingEngine) {
    let (north, south) = (RecordingEngine::default(), RecordingEngine::default());
    let handles = BTreeMap::from([("north".to_owned(), north.start()), ("south".to_owned(), south.start())]);
    (TenantEngines::new(&handles), north, south)
}

fn server() -> SocketAddr {
    "127.0.0.1:9001".parse().unwrap()
}

fn drain(on: bool) -> Operation {
    Operation::Override { server: server(), state: OverrideState::Draining, on }
}

fn withdraw(on: bool) -> Operation {
    Operation::Override { server: server(), state: OverrideState::Removed, on }
}

fn level(share: f64) -> Operation {
    Operation::Level { class: "read".into(), share }
}

/// A document of the service `shop`, for one tenant or for all.
fn document(tenant: Option<&str>, target: Target, setting: Option<Setting>, index: u64) -> Document {
    let scope = Scope { service: Some("shop".into()), tenant: tenant.map(str::to_owned), region: None };
    Document { key: Key { scope, target }, setting, version: Version { term: 1, index } }
}

/// A document that sets or removes the override of [`server`].
fn state_override(tenant: Option<&str>, setting: Option<Setting>, index: u64) -> Document {
    document(tenant, Target::Server(server()), setting, index)
}

/// A document that sets or removes the admission level of the class `read`.
fn admission_level(tenant: Option<&str>, ppm: Option<u32>, index: u64) -> Document {
    document(tenant, Target::Class("read".into()), ppm.map(Setting::LevelPpm), index)
}

/// A document must not affect the engine of a tenant outside its scope.
#[tokio::test]
async fn apply_document_with_scope_reaches_only_engines_of_that_scope() {
    let (engines, north, south) = tenants();
    engines.apply(&admission_level(None, Some(500_000), 1)).await.unwrap();
    assert_eq!((north.take_operations(), south.take_operations()), (vec![level(0.5)], vec![level(0.5)]));
    engines.apply(&state_override(Some("south"), Some(Setting::Draining), 2)).await.unwrap();
    assert_eq!((north.take_operations(), south.take_operations()), (vec![], vec![drain(true)]));
    let rejected = engines.apply(&admission_level(Some("west"), Some(1), 3)).await.unwrap_err();
    assert_eq!(rejected, "this conductor has no tenant `west`");
    assert_eq!(engines.apply(&admission_level(Some("west"), None, 4)).await, Ok(()));
    assert_eq!((north.take_operations(), south.take_operations()), (vec![], vec![]));
}

/// A repeated document must not repeat its operation, which could undo a later operation of an operator.
#[tokio::test]
async fn apply_override_changed_and_removed_executes_each_step_once() {
    let (engines, north, _) = tenants();
    engines.apply(&state_override(None, Some(Setting::Draining), 1)).await.unwrap();
    engines.apply(&state_override(None, Some(Setting::Withdrawn), 2)).await.unwrap();
    engines.apply(&state_override(None, None, 3)).await.unwrap();
    assert_eq!(north.take_operations(), [drain(true), withdraw(true), withdraw(false)]);
    // Neither the removal of a setting that no document has set nor a repeated document leads to an
    // operation, so that operations of operators stay in effect.
    engines.apply(&state_override(None, None, 4)).await.unwrap();
    engines.apply(&admission_level(None, Some(250_000), 5)).await.unwrap();
    engines.apply(&admission_level(None, Some(250_000), 5)).await.unwrap();
    assert_eq!(north.take_operations(), [level(0.25)]);
    engines.apply(&admission_level(None, Some(250_000), 6)).await.unwrap();
    engines.apply(&admission_level(None, None, 7)).await.unwrap();
    assert_eq!(north.take_operations(), [level(0.25), level(1.0)]);
}

/// If documents of different scopes target one server or class, the result must not depend on their order.
#[tokio::test]
async fn apply_several_documents_in_any_order_enforces_the_strictest() {
    let (engines, north, south) = tenants();
    engines.apply(&state_override(Some("north"), Some(Setting::Withdrawn), 1)).await.unwrap();
    engines.apply(&state_override(None, Some(Setting::Draining), 2)).await.unwrap();
    assert_eq!(north.take_operations(), [withdraw(true), withdraw(true)]);
    assert_eq!(south.take_operations(), [drain(true)]);
    engines.apply(&state_override(Some("north"), None, 3)).await.unwrap();
    assert_eq!((north.take_operations(), south.take_operations()), (vec![drain(true)], vec![]));
    engines.apply(&admission_level(None, Some(500_000), 4)).await.unwrap();
    engines.apply(&admission_level(Some("north"), Some(800_000), 5)).await.unwrap();
    engines.apply(&admission_level(Some("north"), None, 6)).await.unwrap();
    engines.apply(&admission_level(None, None, 7)).await.unwrap();
    assert_eq!(north.take_operations(), [level(0.5), level(0.5), level(1.0)]);
}

/// A document that one engine rejects is applied to the others, and a retry applies it only where it is
/// absent.
#[tokio::test]
async fn apply_rejected_by_one_engine_returns_error_and_is_retried() {
    let (engines, north, south) = tenants();
    engines.apply(&admission_level(None, Some(500_000), 1)).await.unwrap();
    south.reject_with(Some(OperationError::UnknownClass));
    let rejected = engines.apply(&admission_level(None, Some(250_000), 2)).await.unwrap_err();
    assert_eq!(rejected, "tenant `south`: no class of this name");
    assert_eq!(
        (north.take_operations(), south.take_operations()),
        (vec![level(0.5), level(0.25)], vec![level(0.5)])
    );
    south.reject_with(None);
    engines.apply(&admission_level(None, Some(250_000), 2)).await.unwrap();
    assert_eq!((north.take_operations(), south.take_operations()), (vec![], vec![level(0.25)]));
    // A server that the engine has removed has no override, so its document can be removed.
    engines.apply(&state_override(None, Some(Setting::Draining), 3)).await.unwrap();
    south.reject_with(Some(OperationError::UnknownServer));
    assert_eq!(engines.apply(&state_override(None, None, 4)).await, Ok(()));
    let rejected = engines.apply(&state_override(None, Some(Setting::Draining), 5)).await;
    assert_eq!(rejected, Err("tenant `south`: no list has named this server".to_owned()));
}

/// A document must not count as applied if the engine has ended.
#[tokio::test]
async fn apply_to_ended_engine_returns_error() {
    let (sender, commands) = mpsc::channel(1);
    drop(commands);
    let engines = TenantEngines::new(&BTreeMap::from([(String::new(), EngineHandle::new(sender))]));
    let rejected = engines.apply(&admission_level(None, Some(1), 1)).await;
    assert_eq!(rejected, Err("the conductor stops".to_owned()));
}
