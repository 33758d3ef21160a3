//! Documents of configuration as orders to the engines of a conductor's tenants.
//!
//! Several documents of different scopes may be about one server or class of an engine. The strictest of them is in
//! force: withdrawn before draining, the lowest level. So the order in which they came makes no difference, and a
//! restart comes to the same.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::BoxFuture;
use stepspur_distribution::document::{Document, Key, Setting, Target, WHOLE_PPM};
use stepspur_distribution::subscriber::{DocumentApplier, DocumentNotApplied};
use stepspur_distribution::version::Version;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::timeout;

use super::super::core::EngineCommand;
use crate::engine::{HoldKind, Operation, OperationError};

/// An engine that has not answered after this is tried again later. The subscriber itself waits for two seconds.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// The engines of a conductor's tenants, and the documents in force in each.
pub(crate) struct TenantEngines {
    engines: BTreeMap<String, Mutex<EngineDocuments>>,
}

/// An engine with the documents in force in it.
struct EngineDocuments {
    inbox: mpsc::Sender<EngineCommand>,
    in_force: BTreeMap<Key, (Setting, Version)>,
}

/// Why an engine does not act by a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ApplyError {
    /// The setting is none for such a target.
    #[error("a server drains or is withdrawn, a class has a level")]
    Mismatch,
    /// The engine refuses the order.
    #[error(transparent)]
    Refused(#[from] OperationError),
    /// The engine has ended.
    #[error("the conductor stops")]
    Stopping,
    /// The engine has not answered in time.
    #[error("the engine has not answered in {ENGINE_TIMEOUT:?}")]
    Silent,
}

impl TenantEngines {
    /// The engines by tenant.
    pub(crate) fn new(engines: &BTreeMap<String, mpsc::Sender<EngineCommand>>) -> Arc<Self> {
        let documents = |inbox: &mpsc::Sender<EngineCommand>| {
            Mutex::new(EngineDocuments { inbox: inbox.clone(), in_force: BTreeMap::new() })
        };
        let engines = engines.iter().map(|(tenant, inbox)| (tenant.clone(), documents(inbox)));
        Arc::new(Self { engines: engines.collect() })
    }

    async fn apply(&self, document: &Document) -> Result<(), String> {
        let Some(tenant) = &document.key.scope.tenant else { return self.apply_to_all(document).await };
        match self.engines.get(tenant) {
            Some(engine) => engine.lock().await.apply(document).await.map_err(|error| error.to_string()),
            // Nothing was ever in force there.
            None if document.setting.is_none() => Ok(()),
            None => Err(format!("this conductor has no tenant `{tenant}`")),
        }
    }

    /// Gives a document to every engine, also after one has refused it.
    async fn apply_to_all(&self, document: &Document) -> Result<(), String> {
        let mut faults = Vec::new();
        for (tenant, engine) in &self.engines {
            if let Err(error) = engine.lock().await.apply(document).await {
                faults.push(match tenant.as_str() {
                    "" => error.to_string(),
                    tenant => format!("tenant `{tenant}`: {error}"),
                });
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(faults.join("; ")) }
    }
}

impl DocumentApplier for TenantEngines {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move { Ok(self.apply(document).await?) })
    }
}

impl EngineDocuments {
    async fn apply(&mut self, document: &Document) -> Result<(), ApplyError> {
        match document.setting {
            Some(setting) => self.set(document, setting).await,
            None => self.lift(&document.key).await,
        }
    }

    /// The document is in force once the engine has taken what is now the strictest. The same version is ordered once:
    /// what an operator has ordered at this conductor since then stays.
    async fn set(&mut self, document: &Document, setting: Setting) -> Result<(), ApplyError> {
        let new = (setting, document.version);
        if self.in_force.get(&document.key) == Some(&new) {
            return Ok(());
        }
        let others = self.strictest_but(&document.key);
        let strictest = others.map_or(setting, |other| stricter(other, setting));
        self.order(ordering(&document.key.target, strictest)?).await?;
        self.in_force.insert(document.key.clone(), new);
        Ok(())
    }

    /// Lifts what the document ordered, as far as no other document orders it still.
    async fn lift(&mut self, key: &Key) -> Result<(), ApplyError> {
        let Some((setting, _)) = self.in_force.get(key).copied() else { return Ok(()) };
        let order = match self.strictest_but(key) {
            Some(other) if stricter(other, setting) == other => None,
            Some(other) => Some(ordering(&key.target, other)?),
            None => Some(lifting(&key.target, setting)?),
        };
        if let Some(order) = order {
            match self.order(order).await {
                // A server that the engine has forgotten is held no more.
                Ok(()) | Err(ApplyError::Refused(OperationError::UnknownServer)) => {}
                Err(error) => return Err(error),
            }
        }
        self.in_force.remove(key);
        Ok(())
    }

    /// The strictest setting of the other documents about the same server or class.
    fn strictest_but(&self, key: &Key) -> Option<Setting> {
        let others = self.in_force.iter().filter(|(other, _)| other.target == key.target && *other != key);
        others.map(|(_, (setting, _))| *setting).reduce(stricter)
    }

    async fn order(&self, operation: Operation) -> Result<(), ApplyError> {
        let (reply, answer) = oneshot::channel();
        let ordered = async {
            self.inbox
                .send(EngineCommand::Operate(operation, reply))
                .await
                .map_err(|_| ApplyError::Stopping)?;
            answer.await.map_err(|_| ApplyError::Stopping)
        };
        let answered = timeout(ENGINE_TIMEOUT, ordered).await.map_err(|_| ApplyError::Silent)?;
        Ok(answered??)
    }
}

/// The stricter of two settings for one target: withdrawn before draining, the lower level.
fn stricter(one: Setting, other: Setting) -> Setting {
    match (one, other) {
        (Setting::LevelPpm(a), Setting::LevelPpm(b)) => Setting::LevelPpm(a.min(b)),
        (Setting::Withdrawn, _) | (_, Setting::Withdrawn) => Setting::Withdrawn,
        (Setting::Draining, _) | (_, Setting::Draining) => Setting::Draining,
    }
}

fn hold(server: SocketAddr, kind: HoldKind, on: bool) -> Operation {
    Operation::Hold { server, kind, on }
}

/// What a setting orders. An engine holds a server in one way at a time: the last order takes the place of the other.
fn ordering(target: &Target, setting: Setting) -> Result<Operation, ApplyError> {
    match (target, setting) {
        (Target::Class(class), Setting::LevelPpm(ppm)) => {
            Ok(Operation::Level { class: class.clone(), share: f64::from(ppm) / f64::from(WHOLE_PPM) })
        }
        (Target::Server(server), Setting::Draining) => Ok(hold(*server, HoldKind::Draining, true)),
        (Target::Server(server), Setting::Withdrawn) => Ok(hold(*server, HoldKind::Withdrawn, true)),
        _ => Err(ApplyError::Mismatch),
    }
}

/// What lifts a setting.
fn lifting(target: &Target, setting: Setting) -> Result<Operation, ApplyError> {
    match (target, setting) {
        (Target::Class(class), Setting::LevelPpm(_)) => {
            Ok(Operation::Level { class: class.clone(), share: 1.0 })
        }
        (Target::Server(server), Setting::Draining) => Ok(hold(*server, HoldKind::Draining, false)),
        (Target::Server(server), Setting::Withdrawn) => Ok(hold(*server, HoldKind::Withdrawn, false)),
        _ => Err(ApplyError::Mismatch),
    }
}

#[cfg(test)]
mod tests;
