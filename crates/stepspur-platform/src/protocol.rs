//! Encoder of the platform's protocol: an update to a proxy is one message of one or more `assign` lines
//! (parts).

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use stepspur::interface::{RetryPolicy, ServerId};
use stepspur_conductor::engine::{
    AdmissionLevel, ClassAdmission, GoAway, ProxyProtocol, ProxyUpdate, ServerIds, UpdateStamp,
};
use stepspur_proto::FrameError;

/// Largest number of parts in one message.
pub const MAX_PARTS: usize = 64;
/// Largest number of servers that a part names. With names of [`crate::discovery::MAX_NAME_BYTES`] bytes a
/// part stays below [`crate::message::MAX_MESSAGE_BYTES`].
const MAX_SERVERS_PER_PART: usize = 3000;

/// Encodes updates in the platform's protocol.
#[derive(Clone, Debug)]
pub struct PlatformProtocol {
    /// Request class names; the index is the class id.
    classes: Arc<[String]>,
}

impl PlatformProtocol {
    /// For a fleet with these request classes, in the order of their ids.
    pub fn new(classes: Arc<[String]>) -> Self {
        Self { classes }
    }

    /// One part for each distinct combination of admission level and retry policy, with the classes that
    /// share it.
    fn admission_parts(&self, admissions: &[ClassAdmission]) -> Vec<Part<'_>> {
        let mut groups: Vec<(ClassAdmission, Vec<&str>)> = Vec::new();
        for admission in admissions {
            let Some(name) = self.classes.get(usize::from(admission.class.0)) else { continue };
            let shared = |(group, _): &&mut (ClassAdmission, Vec<&str>)| {
                group.retry_policy == admission.retry_policy && group.level == admission.level
            };
            match groups.iter_mut().find(shared) {
                Some((_, names)) => names.push(name),
                None => groups.push((*admission, vec![name])),
            }
        }
        let part = |(admission, names): (ClassAdmission, Vec<&'_ str>)| {
            let all = names.len() == self.classes.len();
            Part {
                routes: if all { Vec::new() } else { class_names(&self.classes, &names) },
                admit: Some(admission_value(admission.level)),
                policy: Some(retry_policy_code(admission.retry_policy)),
                ..Part::default()
            }
        };
        groups.into_iter().map(part).collect()
    }
}

/// The given names as slices of `classes`, in its order, so that parts borrow from `classes` alone.
fn class_names<'a>(classes: &'a [String], names: &[&str]) -> Vec<&'a str> {
    classes.iter().map(String::as_str).filter(|class| names.contains(class)).collect()
}

impl ProxyProtocol for PlatformProtocol {
    fn encode_update(
        &self,
        _: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        _: usize,
    ) -> Result<Bytes, FrameError> {
        let usable = |weight: f32| weight.is_finite() && weight >= 0.0;
        let weights = update.weights.iter().filter(|change| usable(change.weight));
        let weights: Vec<(&str, f32)> =
            weights.filter_map(|change| Some((servers.name(change.server)?, change.weight))).collect();
        let named_changes = |ejected: bool| {
            let changes = update.ejections.iter().filter(move |change| change.ejected == ejected);
            changes.filter_map(|change| server_name(servers, change.server)).collect::<Vec<_>>()
        };
        let mut parts: Vec<Part<'_>> = Vec::new();
        parts.extend(
            weights
                .chunks(MAX_SERVERS_PER_PART)
                .map(|weights| Part { endpoints: weights.to_vec(), ..Part::default() }),
        );
        let ejections = [(true, named_changes(true)), (false, named_changes(false))];
        for (ejected, names) in ejections {
            for names in names.chunks(MAX_SERVERS_PER_PART) {
                let (eject, restore) =
                    if ejected { (names.to_vec(), Vec::new()) } else { (Vec::new(), names.to_vec()) };
                parts.push(Part { eject, restore, ..Part::default() });
            }
        }
        parts.extend(self.admission_parts(&update.admissions));
        let mut parts = merge_parts(parts);
        if parts.is_empty() {
            parts.push(Part::default());
        }
        if parts.len() > MAX_PARTS {
            return Err(FrameError::TooLarge { size: parts.len(), max: MAX_PARTS });
        }
        let last = parts.len() - 1;
        parts[0].full = update.complete_table.is_some();
        parts[last].nonce_out = update.nonce;
        parts[..last].iter_mut().for_each(|part| part.continued = true);
        let mut out = Vec::with_capacity(64 + 40 * (update.weights.len() + update.ejections.len()));
        for part in &parts {
            // Strings and finite numbers always serialize, so this is not expected to fail.
            serde_json::to_writer(&mut out, part).map_err(|error| FrameError::Io(error.into()))?;
            out.push(b'\n');
        }
        Ok(out.into())
    }

    /// The platform's protocol has no go-away message: the end of the stream is enough.
    fn go_away(&self, _: UpdateStamp, _: GoAway<'_>) -> Bytes {
        Bytes::new()
    }

    fn ejections_persist(&self) -> bool {
        true
    }
}

fn server_name(servers: &ServerIds, id: ServerId) -> Option<&str> {
    servers.name(id)
}

/// Merges neighbouring parts that apply to all classes, to send fewer lines.
fn merge_parts(parts: Vec<Part<'_>>) -> Vec<Part<'_>> {
    let mut merged: Vec<Part<'_>> = Vec::new();
    for part in parts {
        match merged.last_mut() {
            Some(last) if last.can_merge(&part) => last.merge(part),
            _ => merged.push(part),
        }
    }
    merged
}

/// Value of `admit`: a ratio, or requests per second, as the settings choose. It is never negative, and 1 for
/// an unlimited level.
fn admission_value(admit: AdmissionLevel) -> f32 {
    match admit {
        AdmissionLevel::Unlimited => 1.0,
        AdmissionLevel::Ratio(level) | AdmissionLevel::RequestsPerSecond(level) if level.is_finite() => {
            level.max(0.0)
        }
        // A level that is not finite must not stop a proxy.
        AdmissionLevel::Ratio(_) | AdmissionLevel::RequestsPerSecond(_) => 1.0,
    }
}

/// Code of a retry policy in the field `policy`.
fn retry_policy_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverStarted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// One `assign` line of a message.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(tag = "@type", rename = "assign")]
struct Part<'a> {
    /// Classes that `admit` and `policy` apply to; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    routes: Vec<&'a str>,
    /// True if the message replaces the whole table; set in the first part.
    #[serde(skip_serializing_if = "is_false")]
    full: bool,
    /// Servers by name and their weights; 0 removes a server from the table.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    endpoints: Vec<(&'a str, f32)>,
    /// Admission level; see [`admission_value`].
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f32>,
    /// Retry policy; see [`retry_policy_code`].
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    /// Names of servers that the proxy must not use until they are restored.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    eject: Vec<&'a str>,
    /// Names of ejected servers that the proxy may use again.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    restore: Vec<&'a str>,
    /// Nonce that the proxy acknowledges once it has applied the message; set in the last part.
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    /// True if another part of the message follows.
    #[serde(skip_serializing_if = "is_false")]
    continued: bool,
}

impl<'a> Part<'a> {
    /// True if both parts apply to all classes, this one has no admission level yet, and the servers fit in
    /// one part.
    fn can_merge(&self, next: &Part<'_>) -> bool {
        let server_count = |part: &Part<'_>| part.endpoints.len() + part.eject.len() + part.restore.len();
        let all_classes = self.routes.is_empty() && next.routes.is_empty();
        all_classes && self.admit.is_none() && server_count(self) + server_count(next) <= MAX_SERVERS_PER_PART
    }

    fn merge(&mut self, next: Part<'a>) {
        self.endpoints.extend(next.endpoints);
        self.eject.extend(next.eject);
        self.restore.extend(next.restore);
        (self.admit, self.policy) = (next.admit, next.policy);
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}
