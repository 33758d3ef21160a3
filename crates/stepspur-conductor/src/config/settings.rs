//! The settings as the decision module takes them.

use stepspur::interface::{Admit, Class, Effect, Group, Settings, ZoneId};

use super::{AdmitConfig, ClassConfig, Config, EffectConfig, GroupConfig, micros};

impl Config {
    /// The settings as the decision module takes them.
    pub fn settings(&self) -> Settings {
        let fleet = &self.fleet;
        let mine = |zone: &String| fleet.zones.iter().position(|z| z == zone);
        let my_zone = fleet.my_zone.as_ref().and_then(mine).unwrap_or(0);
        Settings {
            zones: fleet.zones.len(),
            my_zone: ZoneId(my_zone as u16),
            conductors: fleet.conductors,
            classes: fleet.classes.iter().map(class).collect(),
            list_on_request: true,
            probing: self.probes.enabled,
            load_columns: self.reports.load_columns.clone(),
            admit: match fleet.admit {
                AdmitConfig::Share => Admit::Ratio,
                AdmitConfig::Rate => Admit::Rps,
                AdmitConfig::Silent => Admit::Silent,
            },
            proxies: fleet.proxies,
            pending_max: self.channel.waiting_max,
            lines_per_s: self.channel.lines_per_s,
            message_head: self.channel.message_head,
            messages_max: self.channel.messages_max,
            message_window: micros(self.channel.message_window),
            connections_min: f64::from(fleet.connections_min),
            transit_max: micros(self.channel.transit_max),
            report_period: micros(self.reports.every),
            slices: 0,
            single_writer: false,
            keeps_writing: 0,
            in_flight_max: 0,
            cold: micros(fleet.cold),
            fall_multiple: fleet.fall_multiple,
            start_capacity: fleet.start_capacity,
            drain_binds_alone: fleet.drain_binds_alone,
        }
    }
}

fn class(class: &ClassConfig) -> Class {
    Class {
        effect: match class.effect {
            EffectConfig::ReadLike => Effect::ReadLike,
            EffectConfig::IdempotencyKey => Effect::IdempotencyKey,
            EffectConfig::NonIdempotent => Effect::NonIdempotent,
        },
        group: match class.group {
            GroupConfig::All => Group::All,
            GroupConfig::Zone => Group::Zone,
            GroupConfig::Cell => Group::Cell,
        },
        window: micros(class.window),
        aim: micros(class.aim),
        deadline: micros(class.deadline),
        worth: class.worth,
        own_zone: class.own_zone,
    }
}
