//! Orders as the platform words them: `assign` lines, several parts to one message where it takes them.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use stepspur::interface::{RetryPolicy, ServerId};
use stepspur_conductor::engine::{
    AdmissionLevel, ClassAdmission, GoAway, ProxyProtocol, ProxyUpdate, ServerIds, UpdateStamp,
};
use stepspur_proto::FrameError;

/// Parts of one message at most.
pub const PARTS: usize = 64;
/// Servers that a part names: with names of [`crate::discovery::LONGEST_NAME`] bytes it stays under the largest
/// message.
const NAMED: usize = 3000;

/// The platform's lines.
#[derive(Clone, Debug)]
pub struct Lines {
    classes: Arc<[String]>,
}

impl Lines {
    /// For a fleet with these classes, by their place.
    pub fn new(classes: Arc<[String]>) -> Self {
        Self { classes }
    }

    /// Classes that share a level and a way of trying again, each kind once.
    fn levels(&self, levels: &[ClassAdmission]) -> Vec<Part<'_>> {
        let mut kinds: Vec<(ClassAdmission, Vec<&str>)> = Vec::new();
        for level in levels {
            let Some(name) = self.classes.get(usize::from(level.class.0)) else { continue };
            let alike = |(kind, _): &&mut (ClassAdmission, Vec<&str>)| {
                kind.retry_policy == level.retry_policy && kind.level == level.level
            };
            match kinds.iter_mut().find(alike) {
                Some((_, names)) => names.push(name),
                None => kinds.push((*level, vec![name])),
            }
        }
        let part = |(level, names): (ClassAdmission, Vec<&'_ str>)| {
            let all = names.len() == self.classes.len();
            Part {
                routes: if all { Vec::new() } else { names_of(&self.classes, &names) },
                admit: Some(admitted(level.level)),
                policy: Some(way(level.retry_policy)),
                ..Part::default()
            }
        };
        kinds.into_iter().map(part).collect()
    }
}

/// The names as the catalogue holds them, so that parts borrow from it alone.
fn names_of<'a>(classes: &'a [String], names: &[&str]) -> Vec<&'a str> {
    classes.iter().map(String::as_str).filter(|class| names.contains(class)).collect()
}

impl ProxyProtocol for Lines {
    fn encode_update(
        &self,
        _: UpdateStamp,
        order: &ProxyUpdate,
        servers: &ServerIds,
        _: usize,
    ) -> Result<Bytes, FrameError> {
        let usable = |weight: f32| weight.is_finite() && weight >= 0.0;
        let lines = order.weights.iter().filter(|line| usable(line.weight));
        let lines: Vec<(&str, f32)> =
            lines.filter_map(|line| Some((servers.name(line.server)?, line.weight))).collect();
        let turned = |out: bool| {
            let turned = order.ejections.iter().filter(move |change| change.ejected == out);
            turned.filter_map(|change| name(servers, change.server)).collect::<Vec<_>>()
        };
        let mut parts: Vec<Part<'_>> = Vec::new();
        parts.extend(lines.chunks(NAMED).map(|lines| Part { endpoints: lines.to_vec(), ..Part::default() }));
        let turns = [(true, turned(true)), (false, turned(false))];
        for (out, names) in turns {
            for names in names.chunks(NAMED) {
                let (eject, restore) =
                    if out { (names.to_vec(), Vec::new()) } else { (Vec::new(), names.to_vec()) };
                parts.push(Part { eject, restore, ..Part::default() });
            }
        }
        parts.extend(self.levels(&order.admissions));
        let mut parts = join(parts);
        if parts.is_empty() {
            parts.push(Part::default());
        }
        if parts.len() > PARTS {
            return Err(FrameError::TooLarge { size: parts.len(), largest: PARTS });
        }
        let last = parts.len() - 1;
        parts[0].full = order.complete_table.is_some();
        parts[last].nonce_out = order.nonce;
        parts[..last].iter_mut().for_each(|part| part.continued = true);
        let mut out = Vec::with_capacity(64 + 40 * (order.weights.len() + order.ejections.len()));
        for part in &parts {
            // Names and finite figures always have a form; a part that had none would say so here.
            serde_json::to_writer(&mut out, part).map_err(|error| FrameError::Io(error.into()))?;
            out.push(b'\n');
        }
        Ok(out.into())
    }

    /// Nothing is owed to a proxy: the stream's end says it all.
    fn go_away(&self, _: UpdateStamp, _: GoAway<'_>) -> Bytes {
        Bytes::new()
    }

    fn ejections_persist(&self) -> bool {
        true
    }
}

fn name(servers: &ServerIds, id: ServerId) -> Option<&str> {
    servers.name(id)
}

/// Parts that fit into one are one: those for all classes.
fn join(parts: Vec<Part<'_>>) -> Vec<Part<'_>> {
    let mut joined: Vec<Part<'_>> = Vec::new();
    for part in parts {
        match joined.last_mut() {
            Some(last) if last.takes(&part) => last.take(part),
            _ => joined.push(part),
        }
    }
    joined
}

fn admitted(admit: AdmissionLevel) -> f32 {
    match admit {
        AdmissionLevel::Unlimited => 1.0,
        AdmissionLevel::Ratio(level) | AdmissionLevel::RequestsPerSecond(level) if level.is_finite() => {
            level.max(0.0)
        }
        // No level that is none may stop a proxy.
        AdmissionLevel::Ratio(_) | AdmissionLevel::RequestsPerSecond(_) => 1.0,
    }
}

fn way(resend: RetryPolicy) -> u8 {
    match resend {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverStarted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// A line on a stream.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(tag = "@type", rename = "assign")]
struct Part<'a> {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    routes: Vec<&'a str>,
    #[serde(skip_serializing_if = "is_false")]
    full: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    endpoints: Vec<(&'a str, f32)>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    eject: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    restore: Vec<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    #[serde(skip_serializing_if = "is_false")]
    continued: bool,
}

impl<'a> Part<'a> {
    fn takes(&self, next: &Part<'_>) -> bool {
        let named = |part: &Part<'_>| part.endpoints.len() + part.eject.len() + part.restore.len();
        let all = self.routes.is_empty() && next.routes.is_empty();
        all && self.admit.is_none() && named(self) + named(next) <= NAMED
    }

    fn take(&mut self, next: Part<'a>) {
        self.endpoints.extend(next.endpoints);
        self.eject.extend(next.eject);
        self.restore.extend(next.restore);
        (self.admit, self.policy) = (next.admit, next.policy);
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}
