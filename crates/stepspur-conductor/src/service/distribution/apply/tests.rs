use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use stepspur_distribution::document::{Document, Key, Scope, Setting, Target};
use stepspur_distribution::version::Version;
use tokio::sync::mpsc;

use super::TenantEngines;
use crate::engine::{Operation, OperationError, OverrideState};
use crate::service::core::EngineCommand;

/// An engine's task that writes its orders down, and refuses those for what it does not know.
#[derive(Clone, Default)]
struct Engine {
    orders: Arc<Mutex<Vec<Operation>>>,
    refuses: Arc<Mutex<Option<OperationError>>>,
}

impl Engine {
    fn start(&self) -> mpsc::Sender<EngineCommand> {
        let (inbox, mut incoming) = mpsc::channel(1);
        let engine = self.clone();
        tokio::spawn(async move {
            while let Some(EngineCommand::Operate(operation, reply)) = incoming.recv().await {
                let refused = *engine.refuses.lock().unwrap();
                if refused.is_none() {
                    engine.orders.lock().unwrap().push(operation);
                }
                let _ = reply.send(refused.map_or(Ok(()), Err));
            }
        });
        inbox
    }

    /// What was ordered since this was asked last.
    fn orders(&self) -> Vec<Operation> {
        std::mem::take(&mut *self.orders.lock().unwrap())
    }

    fn refuse(&self, why: Option<OperationError>) {
        *self.refuses.lock().unwrap() = why;
    }
}

/// Two tenants' engines.
fn tenants() -> (Arc<TenantEngines>, Engine, Engine) {
    let (north, south) = (Engine::default(), Engine::default());
    let inboxes = [("north", &north), ("south", &south)];
    let inboxes: BTreeMap<_, _> = inboxes.into_iter().map(|(name, e)| (name.to_owned(), e.start())).collect();
    (TenantEngines::new(&inboxes), north, south)
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

/// A document of the service `shop`, for one tenant or all.
fn document(tenant: Option<&str>, target: Target, setting: Option<Setting>, index: u64) -> Document {
    let scope = Scope { service: Some("shop".into()), tenant: tenant.map(str::to_owned), region: None };
    Document { key: Key { scope, target }, setting, version: Version { term: 1, index } }
}

fn hold(tenant: Option<&str>, setting: Option<Setting>, index: u64) -> Document {
    document(tenant, Target::Server(server()), setting, index)
}

fn cap(tenant: Option<&str>, ppm: Option<u32>, index: u64) -> Document {
    document(tenant, Target::Class("read".into()), ppm.map(Setting::LevelPpm), index)
}

#[tokio::test]
async fn a_document_reaches_the_engines_of_its_scope_alone() {
    let (engines, north, south) = tenants();
    engines.apply(&cap(None, Some(500_000), 1)).await.unwrap();
    assert_eq!((north.orders(), south.orders()), (vec![level(0.5)], vec![level(0.5)]));
    engines.apply(&hold(Some("south"), Some(Setting::Draining), 2)).await.unwrap();
    assert_eq!((north.orders(), south.orders()), (vec![], vec![drain(true)]));
    let refused = engines.apply(&cap(Some("west"), Some(1), 3)).await.unwrap_err();
    assert_eq!(refused, "this conductor has no tenant `west`");
    assert_eq!(engines.apply(&cap(Some("west"), None, 4)).await, Ok(()));
    assert_eq!((north.orders(), south.orders()), (vec![], vec![]));
}

#[tokio::test]
async fn a_hold_changes_and_is_lifted_as_a_whole() {
    let (engines, north, _) = tenants();
    engines.apply(&hold(None, Some(Setting::Draining), 1)).await.unwrap();
    engines.apply(&hold(None, Some(Setting::Withdrawn), 2)).await.unwrap();
    engines.apply(&hold(None, None, 3)).await.unwrap();
    assert_eq!(north.orders(), [drain(true), withdraw(true), withdraw(false)]);
    // A lift of what no document ordered leaves an operator's own order alone, and so does a document that comes again.
    engines.apply(&hold(None, None, 4)).await.unwrap();
    engines.apply(&cap(None, Some(250_000), 5)).await.unwrap();
    engines.apply(&cap(None, Some(250_000), 5)).await.unwrap();
    assert_eq!(north.orders(), [level(0.25)]);
    engines.apply(&cap(None, Some(250_000), 6)).await.unwrap();
    engines.apply(&cap(None, None, 7)).await.unwrap();
    assert_eq!(north.orders(), [level(0.25), level(1.0)]);
}

#[tokio::test]
async fn of_several_documents_the_strictest_is_in_force_in_whatever_order_they_come() {
    let (engines, north, south) = tenants();
    engines.apply(&hold(Some("north"), Some(Setting::Withdrawn), 1)).await.unwrap();
    engines.apply(&hold(None, Some(Setting::Draining), 2)).await.unwrap();
    assert_eq!(north.orders(), [withdraw(true), withdraw(true)]);
    assert_eq!(south.orders(), [drain(true)]);
    engines.apply(&hold(Some("north"), None, 3)).await.unwrap();
    assert_eq!((north.orders(), south.orders()), (vec![drain(true)], vec![]));
    engines.apply(&cap(None, Some(500_000), 4)).await.unwrap();
    engines.apply(&cap(Some("north"), Some(800_000), 5)).await.unwrap();
    engines.apply(&cap(Some("north"), None, 6)).await.unwrap();
    engines.apply(&cap(None, None, 7)).await.unwrap();
    assert_eq!(north.orders(), [level(0.5), level(0.5), level(1.0)]);
}

#[tokio::test]
async fn one_engine_that_refuses_is_an_error_and_is_asked_again() {
    let (engines, north, south) = tenants();
    engines.apply(&cap(None, Some(500_000), 1)).await.unwrap();
    south.refuse(Some(OperationError::UnknownClass));
    let refused = engines.apply(&cap(None, Some(250_000), 2)).await.unwrap_err();
    assert_eq!(refused, "tenant `south`: no class of this name");
    assert_eq!((north.orders(), south.orders()), (vec![level(0.5), level(0.25)], vec![level(0.5)]));
    south.refuse(None);
    engines.apply(&cap(None, Some(250_000), 2)).await.unwrap();
    assert_eq!((north.orders(), south.orders()), (vec![], vec![level(0.25)]));
    // A server that the engine has forgotten is held no more: its document can be lifted.
    engines.apply(&hold(None, Some(Setting::Draining), 3)).await.unwrap();
    south.refuse(Some(OperationError::UnknownServer));
    assert_eq!(engines.apply(&hold(None, None, 4)).await, Ok(()));
    let refused = engines.apply(&hold(None, Some(Setting::Draining), 5)).await;
    assert_eq!(refused, Err("tenant `south`: no list has named this server".to_owned()));
}

#[tokio::test]
async fn an_engine_that_has_ended_is_an_error() {
    let (inbox, incoming) = mpsc::channel(1);
    drop(incoming);
    let engines = TenantEngines::new(&BTreeMap::from([(String::new(), inbox)]));
    let refused = engines.apply(&cap(None, Some(1), 1)).await;
    assert_eq!(refused, Err("the conductor stops".to_owned()));
}
