//! Applies documents of the distributed configuration to the engines of a conductor's tenants.
//!
//! Documents of different scopes may target the same server or class of an engine. The strictest one applies:
//! withdrawn takes precedence over draining, and the lowest level applies. The result therefore does not
//! depend on the order in which documents arrive, and a restart leads to the same state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::BoxFuture;
use stepspur_distribution::document::{Document, FULL_LEVEL_PPM, Key, Setting, Target};
use stepspur_distribution::subscriber::{DocumentApplier, DocumentNotApplied};
use stepspur_distribution::version::Version;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::super::engine_handle::{EngineHandle, EnginesByTenant, OperateError};
use crate::engine::{Operation, OperationError, OverrideState};

/// How long an engine may take to execute an operation. It is less than the subscriber's timeout of two
/// seconds for a whole document, which the subscriber retries each second.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// The engines of a conductor's tenants, with the documents applied to each.
pub(super) struct TenantEngines {
    engines: BTreeMap<String, Mutex<EngineDocuments>>,
}

/// An engine, and the documents that are applied to it by their keys.
struct EngineDocuments {
    engine: EngineHandle,
    applied: BTreeMap<Key, AppliedSetting>,
}

/// The setting of a document that is applied, and the version of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AppliedSetting {
    setting: Setting,
    version: Version,
}

/// Why a document could not be applied to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ApplyError {
    /// The setting is not valid for the target's kind.
    #[error("a server drains or is withdrawn, a class has a level")]
    Mismatch,
    /// The engine rejects the operation, or has ended.
    #[error(transparent)]
    Operate(#[from] OperateError),
    /// The engine did not respond within [`ENGINE_TIMEOUT`].
    #[error("the engine has not answered in {ENGINE_TIMEOUT:?}")]
    Timeout,
}

impl TenantEngines {
    /// Wraps engines to which no document is applied yet.
    pub(super) fn new(engines: &EnginesByTenant) -> Arc<Self> {
        let mut documents = BTreeMap::new();
        for (tenant, engine) in engines {
            let of_engine = EngineDocuments { engine: engine.clone(), applied: BTreeMap::new() };
            documents.insert(tenant.clone(), Mutex::new(of_engine));
        }
        Arc::new(Self { engines: documents })
    }

    /// Applies a document to the engines in its scope. The error is a description for the subscriber's
    /// status.
    async fn apply(&self, document: &Document) -> Result<(), String> {
        let Some(tenant) = &document.key.scope.tenant else { return self.apply_to_all(document).await };
        match self.engines.get(tenant) {
            Some(engine) => engine.lock().await.apply(document).await.map_err(|error| error.to_string()),
            // There is no engine that could have the document, so there is nothing to remove.
            None if document.setting.is_none() => Ok(()),
            None => Err(format!("this conductor has no tenant `{tenant}`")),
        }
    }

    /// Applies a document to every engine, even if some fail. The error lists all failures.
    async fn apply_to_all(&self, document: &Document) -> Result<(), String> {
        let mut errors = Vec::new();
        for (tenant, engine) in &self.engines {
            if let Err(error) = engine.lock().await.apply(document).await {
                errors.push(match tenant.as_str() {
                    "" => error.to_string(),
                    tenant => format!("tenant `{tenant}`: {error}"),
                });
            }
        }
        if errors.is_empty() { Ok(()) } else { Err(errors.join("; ")) }
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
            None => self.remove(&document.key).await,
        }
    }

    /// Applies the strictest setting of the target. A version that is already applied is not applied again,
    /// so that an operation that an operator has requested at this conductor since then stays in effect.
    async fn set(&mut self, document: &Document, setting: Setting) -> Result<(), ApplyError> {
        let new = AppliedSetting { setting, version: document.version };
        if self.applied.get(&document.key) == Some(&new) {
            return Ok(());
        }
        let strictest = match self.strictest_other(&document.key) {
            Some(other) => stricter(other, setting),
            None => setting,
        };
        self.operate(set_operation(&document.key.target, strictest)?).await?;
        self.applied.insert(document.key.clone(), new);
        Ok(())
    }

    /// Lifts the document's setting, or replaces it by the strictest setting that remains for the target.
    async fn remove(&mut self, key: &Key) -> Result<(), ApplyError> {
        let Some(AppliedSetting { setting, .. }) = self.applied.get(key).copied() else { return Ok(()) };
        let operation = match self.strictest_other(key) {
            Some(other) if stricter(other, setting) == other => None,
            Some(other) => Some(set_operation(&key.target, other)?),
            None => Some(lift_operation(&key.target, setting)?),
        };
        if let Some(operation) = operation {
            match self.operate(operation).await {
                // The engine has removed the server together with its override.
                Ok(()) | Err(ApplyError::Operate(OperateError::Rejected(OperationError::UnknownServer))) => {}
                Err(error) => return Err(error),
            }
        }
        self.applied.remove(key);
        Ok(())
    }

    /// The strictest setting of other documents with the same target; none if there are none.
    fn strictest_other(&self, key: &Key) -> Option<Setting> {
        let others = self.applied.iter().filter(|(other, _)| other.target == key.target && *other != key);
        others.map(|(_, applied)| applied.setting).reduce(stricter)
    }

    /// Executes an operation at the engine, within [`ENGINE_TIMEOUT`].
    async fn operate(&self, operation: Operation) -> Result<(), ApplyError> {
        let executed = timeout(ENGINE_TIMEOUT, self.engine.operate(operation)).await;
        Ok(executed.map_err(|_| ApplyError::Timeout)??)
    }
}

/// The stricter of two settings of a target: withdrawn before draining, and the lower level.
fn stricter(one: Setting, other: Setting) -> Setting {
    match (one, other) {
        (Setting::LevelPpm(one), Setting::LevelPpm(other)) => Setting::LevelPpm(one.min(other)),
        (Setting::Withdrawn, _) | (_, Setting::Withdrawn) => Setting::Withdrawn,
        (Setting::Draining, _) | (_, Setting::Draining) => Setting::Draining,
    }
}

/// The operation that applies a setting. A server has one override at a time, so each operation replaces the
/// previous one.
fn set_operation(target: &Target, setting: Setting) -> Result<Operation, ApplyError> {
    match (target, setting) {
        (Target::Class(class), Setting::LevelPpm(ppm)) => {
            Ok(Operation::Level { class: class.clone(), share: f64::from(ppm) / f64::from(FULL_LEVEL_PPM) })
        }
        (Target::Server(server), setting) => Ok(override_operation(*server, override_state(setting)?, true)),
        _ => Err(ApplyError::Mismatch),
    }
}

/// The operation that lifts a setting.
fn lift_operation(target: &Target, setting: Setting) -> Result<Operation, ApplyError> {
    match (target, setting) {
        (Target::Class(class), Setting::LevelPpm(_)) => {
            Ok(Operation::Level { class: class.clone(), share: 1.0 })
        }
        (Target::Server(server), setting) => Ok(override_operation(*server, override_state(setting)?, false)),
        _ => Err(ApplyError::Mismatch),
    }
}

fn override_operation(server: SocketAddr, state: OverrideState, on: bool) -> Operation {
    Operation::Override { server, state, on }
}

/// The state that a server is overridden with.
///
/// # Errors
/// The setting is a level, which applies only to classes.
fn override_state(setting: Setting) -> Result<OverrideState, ApplyError> {
    match setting {
        Setting::Draining => Ok(OverrideState::Draining),
        Setting::Withdrawn => Ok(OverrideState::Removed),
        Setting::LevelPpm(_) => Err(ApplyError::Mismatch),
    }
}

#[cfg(test)]
mod tests;
