//! Converts the conductor's settings into those of the decision module.

use stepspur::interface::{AdmissionMode, DedupScope, Idempotency, RequestClass, Settings, ZoneId};

use super::{AdmissionModeConfig, ClassConfig, Config, DedupScopeConfig, IdempotencyConfig, micros};

impl Config {
    /// Returns the settings of the decision module; durations are converted to microseconds. Sharding is off.
    pub fn settings(&self) -> Settings {
        let fleet = &self.fleet;
        let local_zone = fleet.zones.iter().position(|zone| Some(zone) == fleet.my_zone.as_ref());
        Settings {
            zone_count: fleet.zones.len(),
            local_zone: ZoneId(local_zone.unwrap_or(0) as u16),
            conductor_count: fleet.conductors,
            classes: fleet.classes.iter().map(request_class).collect(),
            poll_discovery: true,
            active_health_checks: self.probes.enabled,
            load_columns: self.reports.load_columns.clone(),
            admission_mode: admission_mode(fleet.admit),
            proxy_count: fleet.proxies,
            max_pending_lines: self.channel.waiting_max,
            channel_lines_per_second: self.channel.lines_per_s,
            message_overhead_lines: self.channel.message_head,
            max_messages_per_window: self.channel.messages_max,
            message_window: micros(self.channel.message_window),
            min_server_connections: f64::from(fleet.connections_min),
            max_message_delay: micros(self.channel.transit_max),
            drain_grace: micros(fleet.drain_grace),
            unserved_limit: micros(fleet.unserved_max),
            ejections_persist: false,
            report_period: micros(self.reports.every),
            shard_count: 0,
            single_writer: false,
            disconnected_write_period: 0,
            max_write_duration: 0,
            warm_up: micros(fleet.cold),
            collapse_ratio: fleet.fall_multiple,
            initial_capacity_ratio: fleet.start_capacity,
            absence_is_advisory: fleet.drain_binds_alone,
        }
    }
}

fn admission_mode(admit: AdmissionModeConfig) -> AdmissionMode {
    match admit {
        AdmissionModeConfig::Share => AdmissionMode::Ratio,
        AdmissionModeConfig::Rate => AdmissionMode::RequestsPerSecond,
        AdmissionModeConfig::Silent => AdmissionMode::Ignored,
    }
}

fn request_class(class: &ClassConfig) -> RequestClass {
    RequestClass {
        idempotency: match class.effect {
            IdempotencyConfig::ReadLike => Idempotency::Safe,
            IdempotencyConfig::IdempotencyKey => Idempotency::IdempotencyKey,
            IdempotencyConfig::NonIdempotent => Idempotency::NonIdempotent,
        },
        dedup_scope: match class.group {
            DedupScopeConfig::All => DedupScope::All,
            DedupScopeConfig::Zone => DedupScope::Zone,
            DedupScopeConfig::Cell => DedupScope::Cell,
        },
        dedup_window: micros(class.window),
        latency_objective: micros(class.aim),
        deadline: micros(class.deadline),
        priority_weight: class.worth,
        zone_local: class.own_zone,
    }
}
