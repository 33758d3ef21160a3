//! Grants permits to restart servers within the budget.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::fleet::{Fleet, Server};

/// Limits on disruption and on requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Fraction of a zone's capacity that may be out of service at once: above 0, at most 1.
    #[serde(rename = "zone_part")]
    pub max_zone_fraction: f64,
    /// Fraction of the fleet's capacity that may be out of service at once: above 0, at most 1.
    #[serde(rename = "fleet_part")]
    pub max_fleet_fraction: f64,
    /// Time in microseconds after which a permit expires unless it is renewed. A new leader grants nothing
    /// for as long.
    pub lease: Micros,
    /// Maximum age of the server list in microseconds. Nothing is granted while it is older: servers may have
    /// failed since.
    #[serde(rename = "list_age_max")]
    pub max_list_age: Micros,
    /// Maximum number of waiting requests of all tools together.
    #[serde(rename = "waiting_max")]
    pub max_waiting_requests: usize,
    /// Maximum number of servers in one request.
    #[serde(rename = "servers_max")]
    pub max_request_servers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_zone_fraction: 0.2,
            max_fleet_fraction: 0.1,
            lease: 30_000_000,
            max_list_age: 30_000_000,
            max_waiting_requests: 256,
            max_request_servers: 1_024,
        }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} must be {bounds}")]
pub struct InvalidSetting {
    /// Name of the setting.
    pub key: &'static str,
    /// The bounds that it violates.
    pub bounds: &'static str,
}

impl Settings {
    /// All settings that are out of bounds; empty if the settings are valid.
    pub fn invalid(&self) -> Vec<InvalidSetting> {
        let is_fraction = |fraction: f64| fraction > 0.0 && fraction <= 1.0;
        let checks = [
            (is_fraction(self.max_zone_fraction), "zone_part", "above 0 and at most 1"),
            (is_fraction(self.max_fleet_fraction), "fleet_part", "above 0 and at most 1"),
            ((1_000_000..=3_600_000_000).contains(&self.lease), "lease", "from 1 s to 1 hour"),
            (self.max_list_age >= 1_000_000, "list_age_max", "at least 1 s"),
            ((1..=65_536).contains(&self.max_waiting_requests), "waiting_max", "from 1 to 65536"),
            ((1..=65_536).contains(&self.max_request_servers), "servers_max", "from 1 to 65536"),
        ];
        let violated = checks.into_iter().filter(|(holds, ..)| !holds);
        violated.map(|(_, key, bounds)| InvalidSetting { key, bounds }).collect()
    }
}

/// Identifies a request and its permit. Ids increase over requests and over leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// Fencing token of the leader that received the request.
    pub token: u64,
    /// Sequence number among the requests of this leader, from 1.
    #[serde(rename = "count")]
    pub sequence: u64,
}

/// Permission to restart servers, requested or granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// Id of the request, which the permit keeps.
    pub id: PermitId,
    /// Name of the tool that requested it.
    pub tool: String,
    /// Names of the servers that may be restarted.
    pub servers: BTreeSet<String>,
}

/// A permit that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ActivePermit {
    /// The permit.
    pub permit: Permit,
    /// When it expires unless it is renewed before.
    pub expires_at: Micros,
}

/// What a [`DisruptionBudget::tick`] decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was granted.
    Granted(Permit),
    /// A permit was not renewed in time and has expired.
    Expired {
        /// The expired permit.
        permit: Permit,
        /// Its servers that, at this tick, are listed as not ready or are no longer listed. The tool may have
        /// died before it restored them. Ready servers that still warm up are not included.
        still_out: Vec<String>,
    },
}

/// Why a call was refused. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request names no servers, or too many.
    #[error("the request names {requested} servers; 1 to {max} are allowed")]
    ServerCount {
        /// Number of servers in the request.
        requested: usize,
        /// The limit, [`Settings::max_request_servers`].
        max: usize,
    },
    /// The request names a server that is not in the server list.
    #[error("server {0:?} is not in the server list")]
    UnknownServer(String),
    /// One of the servers is already in a permit or in a waiting request.
    #[error("server {0:?} is already in another permit or request")]
    AlreadyRequested(String),
    /// The request alone exceeds the budget of this zone or of the fleet, so that waiting does not help.
    #[error("the request exceeds the budget of {0} even if no other server is out of service")]
    ExceedsBudget(String),
    /// The number of waiting requests is at its limit, [`Settings::max_waiting_requests`].
    #[error("the limit of waiting requests is reached")]
    QueueFull,
    /// There is no such permit or request, or it has expired.
    #[error("no such permit: it was released, has expired, or was never granted")]
    UnknownPermit,
}

/// Absolute tolerance for rounding errors where sums of capacity are compared.
const SUM_TOLERANCE: f64 = 1e-9;

/// Grants permits to restart servers, on behalf of one leader.
#[derive(Clone, Debug)]
pub struct DisruptionBudget {
    settings: Settings,
    token: u64,
    sequence: u64,
    /// Nothing is granted before this time: unknown permits of a former leader may still be active.
    grants_from: Micros,
    fleet: Fleet,
    permits: BTreeMap<PermitId, ActivePermit>,
    waiting: VecDeque<Permit>,
}

impl DisruptionBudget {
    /// Creates the budget of a new leader, identified by its fencing token. Only the first leader ever may
    /// grant `at_once`; every later one waits for one lease, in which the permits of its predecessor expire.
    pub fn new(settings: Settings, token: u64, at_once: bool, now: Micros) -> Self {
        let grants_from = if at_once { now } else { now.saturating_add(settings.lease) };
        Self {
            settings,
            token,
            sequence: 0,
            grants_from,
            fleet: Fleet::default(),
            permits: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Replaces the whole list of servers. `now` becomes the time of the list, from which
    /// [`Settings::max_list_age`] counts.
    pub fn update_servers(&mut self, now: Micros, servers: BTreeMap<String, Server>) {
        self.fleet.update(now, servers);
    }

    /// Sets whether the zone's part of the list is suspected to lack many servers that still run. Nothing is
    /// granted in such a zone, as the capacity out of service there is not known.
    pub fn set_removal_suspected(&mut self, zone: &str, suspected: bool) {
        self.fleet.set_removal_suspected(zone, suspected);
    }

    /// All active permits, granted or taken over, sorted by id. An expired one is included until the next
    /// [`DisruptionBudget::tick`].
    pub fn active_permits(&self) -> impl Iterator<Item = &ActivePermit> {
        self.permits.values()
    }

    /// All waiting requests, in order of arrival.
    pub fn waiting_requests(&self) -> impl Iterator<Item = &Permit> {
        self.waiting.iter()
    }

    /// Requests permission to restart servers and returns the id of the request, which waits until
    /// [`DisruptionBudget::tick`] grants it.
    ///
    /// # Errors
    /// See [`RequestError`].
    pub fn request(&mut self, tool: &str, servers: BTreeSet<String>) -> Result<PermitId, RequestError> {
        let (requested, max) = (servers.len(), self.settings.max_request_servers);
        if requested == 0 || requested > max {
            return Err(RequestError::ServerCount { requested, max });
        }
        if self.waiting.len() >= self.settings.max_waiting_requests {
            return Err(RequestError::QueueFull);
        }
        if let Some(name) = servers.iter().find(|name| self.fleet.get(name).is_none()) {
            return Err(RequestError::UnknownServer(name.clone()));
        }
        let permits = self.permits.values().map(|h| &h.permit).chain(&self.waiting);
        let in_use: BTreeSet<&String> = permits.flat_map(|p| &p.servers).collect();
        if let Some(name) = servers.iter().find(|name| in_use.contains(name)) {
            return Err(RequestError::AlreadyRequested(name.clone()));
        }
        self.check_fits_idle_fleet(&servers)?;
        self.sequence += 1;
        let id = PermitId { token: self.token, sequence: self.sequence };
        self.waiting.push_back(Permit { id, tool: tool.to_owned(), servers });
        Ok(id)
    }

    /// Renews a permit, which must match in id, tool and servers, and returns its new expiry. A permit of a
    /// former leader is taken over while this leader grants nothing yet; afterwards it may have expired
    /// unnoticed and is refused.
    ///
    /// # Errors
    /// [`RequestError::UnknownPermit`]: its tool must stop restarting servers.
    pub fn renew(&mut self, now: Micros, permit: &Permit) -> Result<Micros, RequestError> {
        let expires_at = now.saturating_add(self.settings.lease);
        if let Some(held) = self.permits.get_mut(&permit.id).filter(|h| h.permit == *permit) {
            if now >= held.expires_at {
                return Err(RequestError::UnknownPermit);
            }
            held.expires_at = expires_at;
            return Ok(expires_at);
        }
        let is_from_former_leader = permit.id.token < self.token && now < self.grants_from;
        let server_count = permit.servers.len();
        if is_from_former_leader
            && server_count > 0
            && server_count <= self.settings.max_request_servers
            && !self.permits.contains_key(&permit.id)
        {
            self.permits.insert(permit.id, ActivePermit { permit: permit.clone(), expires_at });
            return Ok(expires_at);
        }
        Err(RequestError::UnknownPermit)
    }

    /// Releases a permit or withdraws a request. Its servers that are still not ready or still warm up count
    /// as out of service all the same.
    ///
    /// # Errors
    /// [`RequestError::UnknownPermit`]: there is neither a permit nor a request with this id.
    pub fn release(&mut self, id: PermitId) -> Result<(), RequestError> {
        let waiting_before = self.waiting.len();
        self.waiting.retain(|permit| permit.id != id);
        match self.permits.remove(&id).is_some() || self.waiting.len() < waiting_before {
            true => Ok(()),
            false => Err(RequestError::UnknownPermit),
        }
    }

    /// Expires permits and grants waiting requests, as of `now`.
    pub fn tick(&mut self, now: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        for (_, held) in self.permits.extract_if(.., |_, held| now >= held.expires_at) {
            let is_out = |name: &&String| self.fleet.get(name).is_none_or(|s| !s.ready);
            let still_out = held.permit.servers.iter().filter(is_out).cloned().collect();
            events.push(Event::Expired { permit: held.permit, still_out });
        }
        let is_list_current =
            self.fleet.updated_at().is_some_and(|at| now <= at.saturating_add(self.settings.max_list_age));
        if !is_list_current || now < self.grants_from {
            return events;
        }
        // Zones with a waiting request that later requests must not overtake.
        let mut closed_zones: BTreeSet<String> = BTreeSet::new();
        while let Some(index) = self.next_request(&closed_zones) {
            let permit = &self.waiting[index];
            match self.blocked_by(&permit.servers) {
                None => {
                    let Some(permit) = self.waiting.remove(index) else { break };
                    let expires_at = now.saturating_add(self.settings.lease);
                    self.permits.insert(permit.id, ActivePermit { permit: permit.clone(), expires_at });
                    events.push(Event::Granted(permit));
                }
                Some(BlockedBy::Fleet) => break,
                Some(BlockedBy::Zones) => closed_zones.extend(self.zones_of(&permit.servers)),
            }
        }
        events
    }

    /// The index of the next request to consider: the oldest of the tool with the fewest servers under
    /// permit, among the requests that touch no closed zone. So no tool can use up the budget with many
    /// requests.
    fn next_request(&self, closed_zones: &BTreeSet<String>) -> Option<usize> {
        let mut servers_by_tool: BTreeMap<&str, usize> = BTreeMap::new();
        for held in self.permits.values() {
            *servers_by_tool.entry(&held.permit.tool).or_default() += held.permit.servers.len();
        }
        let is_open = |permit: &Permit| self.zones_of(&permit.servers).is_disjoint(closed_zones);
        let waiting = self.waiting.iter().enumerate().filter(|(_, permit)| is_open(permit));
        waiting
            .min_by_key(|(index, p)| (servers_by_tool.get(p.tool.as_str()).copied().unwrap_or(0), *index))
            .map(|w| w.0)
    }

    fn zones_of(&self, servers: &BTreeSet<String>) -> BTreeSet<String> {
        servers.iter().filter_map(|name| self.fleet.get(name)).map(|s| s.zone.clone()).collect()
    }

    /// Why a request for these servers cannot be granted now; `None` if it can.
    fn blocked_by(&self, servers: &BTreeSet<String>) -> Option<BlockedBy> {
        let requested_zones = self.zones_of(servers);
        if servers.iter().any(|name| self.fleet.get(name).is_none())
            || requested_zones.iter().any(|z| self.fleet.is_removal_suspected(z))
        {
            return Some(BlockedBy::Zones);
        }
        let active = self.permits.values().flat_map(|h| &h.permit.servers);
        let permitted: BTreeSet<&str> = active.chain(servers).map(String::as_str).collect();
        let zones = self.fleet.zones(&permitted);
        let exceeds = |(total, out): (f64, f64), fraction: f64| out > total * fraction + SUM_TOLERANCE;
        if requested_zones
            .iter()
            .any(|z| zones.get(z.as_str()).is_none_or(|sums| exceeds(*sums, self.settings.max_zone_fraction)))
        {
            return Some(BlockedBy::Zones);
        }
        let fleet = zones.values().fold((0.0, 0.0), |(total, out), sums| (total + sums.0, out + sums.1));
        exceeds(fleet, self.settings.max_fleet_fraction).then_some(BlockedBy::Fleet)
    }

    /// Checks that the request fits the budget if no other server is out of service. Otherwise it would wait
    /// for ever.
    fn check_fits_idle_fleet(&self, servers: &BTreeSet<String>) -> Result<(), RequestError> {
        let capacity = |of: &dyn Fn(&str, &Server) -> bool| {
            let matching = self.fleet.iter().filter(|(name, s)| of(name, s));
            matching.map(|(_, s)| s.capacity()).sum::<f64>()
        };
        for zone in self.zones_of(servers) {
            let total = capacity(&|_, s| s.zone == zone);
            if capacity(&|name, s| s.zone == zone && servers.contains(name))
                > total * self.settings.max_zone_fraction + SUM_TOLERANCE
            {
                return Err(RequestError::ExceedsBudget(zone));
            }
        }
        if capacity(&|name, _| servers.contains(name))
            > capacity(&|_, _| true) * self.settings.max_fleet_fraction + SUM_TOLERANCE
        {
            return Err(RequestError::ExceedsBudget("the fleet".to_owned()));
        }
        Ok(())
    }
}

/// Which budget blocks a request.
enum BlockedBy {
    /// That of its own zones, or one of them cannot be judged now: requests in other zones may be granted.
    Zones,
    /// That of the fleet: no other request is granted, because small ones could delay a large one for ever.
    Fleet,
}
