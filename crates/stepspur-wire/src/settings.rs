//! Settings JSON to [`Settings`]. Unknown keys are passed over; a missing needed key is an error.

use serde::Deserialize;
use stepspur::interface::{Admit, Class, Effect, Group, Settings, ZoneId};

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
}

/// Reads the settings of a `provision` record.
pub fn parse_settings(json: &[u8]) -> Result<Settings, serde_json::Error> {
    let raw: Raw = serde_json::from_slice(json)?;
    let info = raw.family_info;
    let own_zone = |k: usize| info.class_own_zone.get(k).copied().unwrap_or(false);
    Ok(Settings {
        zones: raw.zones.len(),
        my_zone: ZoneId(raw.my_zone),
        conductors: raw.balancers,
        classes: raw.request_classes.iter().enumerate().map(|(k, c)| class(c, own_zone(k))).collect(),
        list_on_request: matches!(raw.membership_mode, Mode::OnRequest),
        probing: raw.permissions.probing,
        load_columns: raw.feedback.columns,
        admit: match info.admit {
            RawAdmit::Ratio => Admit::Ratio,
            RawAdmit::Rps => Admit::Rps,
            RawAdmit::Silent => Admit::Silent,
        },
        proxies: info.proxies,
        pending_max: info.pending_max,
        lines_per_s: info.egress_per_s,
        message_head: info.per_message,
        messages_max: info.pushes_allowed,
        message_window: info.update_window_us as u64,
        connections_min: info.min_conn_cap,
        transit_max: info.push_delay_max_us as u64,
        report_period: info.interval_us as u64,
        slices: info.slices,
        single_writer: info.single_writer,
        keeps_writing: info.keeps_writing_us as u64,
        in_flight_max: info.in_flight_max_us as u64,
        cold: raw.rules.cold_us as u64,
        fall_multiple: raw.rules.fall_multiple,
        start_capacity: raw.rules.start_capacity,
        drain_binds_alone: raw.rules.drain_binds_alone,
    })
}

fn class(raw: &RawClass, own_zone: bool) -> Class {
    Class {
        effect: match raw.effect {
            RawEffect::ReadLike => Effect::ReadLike,
            RawEffect::IdempotencyKey => Effect::IdempotencyKey,
            RawEffect::NonIdempotent => Effect::NonIdempotent,
        },
        group: match raw.group {
            RawGroup::All => Group::All,
            RawGroup::Zone => Group::Zone,
            RawGroup::Cell => Group::Cell,
        },
        window: raw.window_us as u64,
        aim: raw.promise_us as u64,
        deadline: raw.deadline_us as u64,
        worth: raw.credit,
        own_zone,
    }
}
