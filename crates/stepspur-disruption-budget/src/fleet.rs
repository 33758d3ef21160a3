//! The list of servers, and how much of their capacity is out of service.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A server, as the server list describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The zone that it runs in.
    pub zone: String,
    /// Capacity relative to other servers. A weight that is not finite or not above 0 counts as 1.
    pub weight: f64,
    /// Whether the server list reports it as ready and it is not withdrawn.
    pub ready: bool,
    /// Whether it started so recently that it still warms up. It counts as out of service until then.
    #[serde(rename = "young")]
    pub warming_up: bool,
}

impl Server {
    /// Capacity relative to other servers; 1 if the weight is invalid.
    pub(crate) fn capacity(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 { self.weight } else { 1.0 }
    }
}

/// All servers by name, and the zones whose part of the list is not trusted.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<String, Server>,
    removal_suspected: BTreeSet<String>,
    /// Time of the last update; `None` until the first one.
    updated_at: Option<Micros>,
}

impl Fleet {
    /// Replaces the whole list.
    pub(crate) fn update(&mut self, now: Micros, servers: BTreeMap<String, Server>) {
        self.updated_at = Some(now);
        self.servers = servers;
    }

    /// Records whether the zone's part of the list is suspected to lack many servers that still run.
    pub(crate) fn set_removal_suspected(&mut self, zone: &str, removal_suspected: bool) {
        if removal_suspected {
            self.removal_suspected.insert(zone.to_owned());
        } else {
            self.removal_suspected.remove(zone);
        }
    }

    pub(crate) fn is_removal_suspected(&self, zone: &str) -> bool {
        self.removal_suspected.contains(zone)
    }

    /// Time of the last update; `None` until the first one.
    pub(crate) fn updated_at(&self) -> Option<Micros> {
        self.updated_at
    }

    /// The server of that name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// All servers, with their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Server)> {
        self.servers.iter().map(|(name, server)| (name.as_str(), server))
    }

    /// Total capacity and capacity out of service of each zone. The servers in `permitted` count as out.
    pub(crate) fn zones(&self, permitted: &BTreeSet<&str>) -> BTreeMap<&str, (f64, f64)> {
        let mut zones: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (name, server) in &self.servers {
            let (total, out) = zones.entry(&server.zone).or_default();
            *total += server.capacity();
            if !server.ready || server.warming_up || permitted.contains(name.as_str()) {
                *out += server.capacity();
            }
        }
        zones
    }
}
