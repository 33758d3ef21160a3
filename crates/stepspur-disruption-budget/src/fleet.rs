//! The servers as the gate knows them, and what of them is out.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its zone.
    pub zone: String,
    /// What it can do, against others; what is not above 0 counts as 1.
    pub weight: f64,
    /// True: the list calls it ready, and nobody has withdrawn it.
    pub ready: bool,
    /// True: it started so lately that it is not warm.
    pub young: bool,
}

impl Server {
    /// What it can do, against others.
    pub(crate) fn size(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 { self.weight } else { 1.0 }
    }
}

/// All servers, by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<String, Server>,
    doubted: BTreeSet<String>,
    /// When the list was last told.
    known_at: Option<Micros>,
}

impl Fleet {
    /// The list as it is now, whole.
    pub(crate) fn learn(&mut self, now: Micros, servers: BTreeMap<String, Server>) {
        self.known_at = Some(now);
        self.servers = servers;
    }

    /// A zone is doubted, or no more.
    pub(crate) fn doubt(&mut self, zone: &str, doubted: bool) {
        if doubted {
            self.doubted.insert(zone.to_owned());
        } else {
            self.doubted.remove(zone);
        }
    }

    pub(crate) fn is_doubted(&self, zone: &str) -> bool {
        self.doubted.contains(zone)
    }

    /// When the list was last told.
    pub(crate) fn known_at(&self) -> Option<Micros> {
        self.known_at
    }

    /// A server by its name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// All of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Server)> {
        self.servers.iter().map(|(name, server)| (name.as_str(), server))
    }

    /// Capacity by zone: all of it, and what is out, these servers counted as out.
    pub(crate) fn zones(&self, taken: &BTreeSet<&str>) -> BTreeMap<&str, (f64, f64)> {
        let mut zones: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (name, server) in &self.servers {
            let (all, out) = zones.entry(&server.zone).or_default();
            *all += server.size();
            if !server.ready || server.young || taken.contains(name.as_str()) {
                *out += server.size();
            }
        }
        zones
    }
}
