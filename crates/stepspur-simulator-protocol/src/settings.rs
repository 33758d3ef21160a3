//! Parsing of the settings JSON into [`Settings`]. Unknown keys are ignored; a missing required key is an
//! error.

use serde::Deserialize;
use stepspur::interface::{AdmissionMode, DedupScope, Idempotency, RequestClass, Settings, ZoneId};

/// The settings as they are in the JSON. Durations (`_us`) are in microseconds.
// Serde prints the names of the types in this file in its error messages.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Raw {
    zones: Vec<String>,
    #[serde(default)]
    my_zone: u16,
    balancers: u32,
    request_classes: Vec<RawClass>,
    membership_mode: Mode,
    family_info: RawInfo,
    feedback: RawFeedback,
    permissions: RawPermissions,
    rules: RawRules,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawAdmit {
    Ratio,
    Rps,
    Silent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawClass {
    effect: RawEffect,
    #[serde(default)]
    group: RawGroup,
    #[serde(default)]
    window_us: f64,
    promise_us: f64,
    deadline_us: f64,
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawInfo {
    admit: RawAdmit,
    #[serde(default)]
    class_own_zone: Vec<bool>,
    egress_per_s: f64,
    #[serde(default)]
    in_flight_max_us: f64,
    interval_us: f64,
    #[serde(default)]
    keeps_writing_us: f64,
    #[serde(default)]
    min_conn_cap: f64,
    pending_max: f64,
    per_message: f64,
    #[serde(default)]
    proxies: u32,
    push_delay_max_us: f64,
    #[serde(default)]
    pushes_allowed: u32,
    #[serde(default)]
    single_writer: bool,
    slices: u16,
    #[serde(default)]
    unserved_max_us: f64,
    update_window_us: f64,
}

#[derive(Deserialize)]
struct RawFeedback {
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Deserialize)]
struct RawPermissions {
    probing: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRules {
    cold_us: f64,
    fall_multiple: f64,
    start_capacity: f64,
    #[serde(default)]
    drain_binds_alone: bool,
    #[serde(default)]
    drain_grace_us: f64,
}

/// Parses the settings of a `provision` record.
///
/// # Errors
/// The bytes are not valid JSON, or a setting is missing or has the wrong type.
pub fn parse_settings(json: &[u8]) -> Result<Settings, serde_json::Error> {
    let raw: Raw = serde_json::from_slice(json)?;
    let family = raw.family_info;
    let is_zone_local = |k: usize| family.class_own_zone.get(k).copied().unwrap_or(false);
    Ok(Settings {
        zone_count: raw.zones.len(),
        local_zone: ZoneId(raw.my_zone),
        conductor_count: raw.balancers,
        classes: raw.request_classes.iter().enumerate().map(|(k, c)| class(c, is_zone_local(k))).collect(),
        poll_discovery: matches!(raw.membership_mode, Mode::OnRequest),
        active_health_checks: raw.permissions.probing,
        load_columns: raw.feedback.columns,
        admission_mode: match family.admit {
            RawAdmit::Ratio => AdmissionMode::Ratio,
            RawAdmit::Rps => AdmissionMode::RequestsPerSecond,
            RawAdmit::Silent => AdmissionMode::Ignored,
        },
        proxy_count: family.proxies,
        max_pending_lines: family.pending_max,
        channel_lines_per_second: family.egress_per_s,
        message_overhead_lines: family.per_message,
        max_messages_per_window: family.pushes_allowed,
        message_window: family.update_window_us as u64,
        min_server_connections: family.min_conn_cap,
        max_message_delay: family.push_delay_max_us as u64,
        drain_grace: raw.rules.drain_grace_us as u64,
        unserved_limit: family.unserved_max_us as u64,
        ejections_persist: false,
        report_period: family.interval_us as u64,
        shard_count: family.slices,
        single_writer: family.single_writer,
        disconnected_write_period: family.keeps_writing_us as u64,
        max_write_duration: family.in_flight_max_us as u64,
        warm_up: raw.rules.cold_us as u64,
        collapse_ratio: raw.rules.fall_multiple,
        initial_capacity_ratio: raw.rules.start_capacity,
        absence_is_advisory: raw.rules.drain_binds_alone,
    })
}

fn class(raw: &RawClass, is_zone_local: bool) -> RequestClass {
    RequestClass {
        idempotency: match raw.effect {
            RawEffect::ReadLike => Idempotency::Safe,
            RawEffect::IdempotencyKey => Idempotency::IdempotencyKey,
            RawEffect::NonIdempotent => Idempotency::NonIdempotent,
        },
        dedup_scope: match raw.group {
            RawGroup::All => DedupScope::All,
            RawGroup::Zone => DedupScope::Zone,
            RawGroup::Cell => DedupScope::Cell,
        },
        dedup_window: raw.window_us as u64,
        latency_objective: raw.promise_us as u64,
        deadline: raw.deadline_us as u64,
        priority_weight: raw.credit,
        zone_local: is_zone_local,
    }
}
