//! Who may restart what, and when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::fleet::{Fleet, Server};

/// What the gate goes by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Part of a zone's capacity that may be out at once.
    pub zone_part: f64,
    /// Part of the fleet's capacity that may be out at once.
    pub fleet_part: f64,
    /// A permit not renewed for so long has run out.
    pub lease: Micros,
    /// A list older than this tells too little to give leave by.
    pub list_age_max: Micros,
    /// Requests that may wait, of all tools.
    pub waiting_max: usize,
    /// Servers of one request at most.
    pub servers_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone_part: 0.2,
            fleet_part: 0.1,
            lease: 30_000_000,
            list_age_max: 30_000_000,
            waiting_max: 256,
            servers_max: 1_024,
        }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {what}")]
pub struct SettingsFault {
    /// Its name.
    pub key: &'static str,
    /// What is wrong.
    pub what: &'static str,
}

impl Settings {
    /// All settings that are out of bounds.
    pub fn faults(&self) -> Vec<SettingsFault> {
        let part = |part: f64| part > 0.0 && part <= 1.0;
        let bounds = [
            (part(self.zone_part), "zone_part", "above 0, 1 at most"),
            (part(self.fleet_part), "fleet_part", "above 0, 1 at most"),
            ((1_000_000..=3_600_000_000).contains(&self.lease), "lease", "1 s to 1 hour"),
            (self.list_age_max >= 1_000_000, "list_age_max", "1 s at least"),
            ((1..=65_536).contains(&self.waiting_max), "waiting_max", "1 to 65536"),
            ((1..=65_536).contains(&self.servers_max), "servers_max", "1 to 65536"),
        ];
        let wrong = bounds.into_iter().filter(|(holds, ..)| !holds);
        wrong.map(|(_, key, what)| SettingsFault { key, what }).collect()
    }
}

/// A permit's number: the fencing token of the holder that gave it, and a count. It rises for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The holder's token.
    pub token: u64,
    /// Its count.
    pub count: u64,
}

/// Leave to restart servers, asked for or given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// Its number.
    pub id: PermitId,
    /// Who asked.
    pub tool: String,
    /// Which servers.
    pub servers: BTreeSet<String>,
}

/// A permit that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The permit.
    pub permit: Permit,
    /// Until when, unless renewed.
    pub until: Micros,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A request was granted.
    Granted(Permit),
    /// A permit was not renewed and has run out.
    Lapsed {
        /// The permit.
        permit: Permit,
        /// Of its servers those that are out still: the tool left them so.
        left: Vec<String>,
    },
}

/// Why something was refused. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// No servers, or too many.
    #[error("{asked} servers: 1 to {most} may be asked for at once")]
    Count {
        /// So many.
        asked: usize,
        /// So many at most.
        most: usize,
    },
    /// Servers that the list does not know.
    #[error("the list has no {0}")]
    Unknown(String),
    /// Another permit, or request, has one of them.
    #[error("{0} is in another permit or request")]
    Taken(String),
    /// More than may ever be out at once.
    #[error("more of {0} than may be out at once, however long it waits")]
    TooMuch(String),
    /// Too many requests wait.
    #[error("too many requests wait")]
    Full,
    /// There is no such permit, or it has run out.
    #[error("no such permit: it was given back, has run out, or was never given")]
    NoPermit,
}

/// What sums of capacity may differ by.
const ROUNDING: f64 = 1e-9;

/// The gate, in the hands of one holder.
#[derive(Clone, Debug)]
pub struct Gate {
    set: Settings,
    token: u64,
    count: u64,
    /// Before this, permits of a former holder may be in force that this one does not know.
    grants_from: Micros,
    fleet: Fleet,
    held: BTreeMap<PermitId, Held>,
    waiting: VecDeque<Permit>,
}

impl Gate {
    /// A gate in the hands of a new holder, by its fencing token. The first holder ever may grant `at_once`: nobody
    /// else has granted anything.
    pub fn new(set: Settings, token: u64, at_once: bool, now: Micros) -> Self {
        let grants_from = if at_once { now } else { now.saturating_add(set.lease) };
        Self {
            set,
            token,
            count: 0,
            grants_from,
            fleet: Fleet::default(),
            held: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// The list of servers, whole.
    pub fn learn(&mut self, now: Micros, servers: BTreeMap<String, Server>) {
        self.fleet.learn(now, servers);
    }

    /// A zone is doubted, or no more.
    pub fn doubt(&mut self, zone: &str, doubted: bool) {
        self.fleet.doubt(zone, doubted);
    }

    /// Permits in force.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// Requests that wait, in the order in which they came.
    pub fn waiting(&self) -> impl Iterator<Item = &Permit> {
        self.waiting.iter()
    }

    /// Asks for leave to restart servers: the number of the request, which waits until [`Gate::tick`] grants it.
    ///
    /// # Errors
    /// See [`Refused`].
    pub fn take(&mut self, tool: &str, servers: BTreeSet<String>) -> Result<PermitId, Refused> {
        let (asked, most) = (servers.len(), self.set.servers_max);
        if asked == 0 || asked > most {
            return Err(Refused::Count { asked, most });
        }
        if self.waiting.len() >= self.set.waiting_max {
            return Err(Refused::Full);
        }
        if let Some(name) = servers.iter().find(|name| self.fleet.get(name).is_none()) {
            return Err(Refused::Unknown(name.clone()));
        }
        let known = self.held.values().map(|h| &h.permit).chain(&self.waiting);
        let taken: BTreeSet<&String> = known.flat_map(|p| &p.servers).collect();
        if let Some(name) = servers.iter().find(|name| taken.contains(name)) {
            return Err(Refused::Taken(name.clone()));
        }
        self.fits_ever(&servers)?;
        self.count += 1;
        let id = PermitId { token: self.token, count: self.count };
        self.waiting.push_back(Permit { id, tool: tool.to_owned(), servers });
        Ok(id)
    }

    /// Renews a permit, or keeps a request waiting: until when it holds. One that a former holder gave is taken over
    /// while this one grants nothing yet; later nobody can tell whether it ran out.
    ///
    /// # Errors
    /// [`Refused::NoPermit`]: its tool must stop.
    pub fn renew(&mut self, now: Micros, permit: &Permit) -> Result<Micros, Refused> {
        let until = now.saturating_add(self.set.lease);
        if let Some(held) = self.held.get_mut(&permit.id).filter(|h| h.permit == *permit) {
            if now >= held.until {
                return Err(Refused::NoPermit);
            }
            held.until = until;
            return Ok(until);
        }
        let former = permit.id.token < self.token && now < self.grants_from;
        let count = permit.servers.len();
        if former && count > 0 && count <= self.set.servers_max && !self.held.contains_key(&permit.id) {
            self.held.insert(permit.id, Held { permit: permit.clone(), until });
            return Ok(until);
        }
        Err(Refused::NoPermit)
    }

    /// Gives a permit back, or takes a request back. What is out still counts as out.
    ///
    /// # Errors
    /// [`Refused::NoPermit`].
    pub fn give_back(&mut self, id: PermitId) -> Result<(), Refused> {
        let waits = self.waiting.len();
        self.waiting.retain(|permit| permit.id != id);
        match self.held.remove(&id).is_some() || self.waiting.len() < waits {
            true => Ok(()),
            false => Err(Refused::NoPermit),
        }
    }

    /// Time passes: what has run out, and what is granted.
    pub fn tick(&mut self, now: Micros) -> Vec<Told> {
        let mut told = Vec::new();
        for (_, held) in self.held.extract_if(.., |_, held| now >= held.until) {
            let out = |name: &&String| self.fleet.get(name).is_none_or(|s| !s.ready);
            let left = held.permit.servers.iter().filter(out).cloned().collect();
            told.push(Told::Lapsed { permit: held.permit, left });
        }
        let fresh = self.fleet.known_at().is_some_and(|at| now <= at.saturating_add(self.set.list_age_max));
        if !fresh || now < self.grants_from {
            return told;
        }
        // Zones in which somebody waits who must not be overtaken.
        let mut closed: BTreeSet<String> = BTreeSet::new();
        while let Some(place) = self.next(&closed) {
            let permit = &self.waiting[place];
            match self.stands_in_the_way(&permit.servers) {
                None => {
                    let Some(permit) = self.waiting.remove(place) else { break };
                    let until = now.saturating_add(self.set.lease);
                    self.held.insert(permit.id, Held { permit: permit.clone(), until });
                    told.push(Told::Granted(permit));
                }
                Some(Way::Fleet) => break,
                Some(Way::Zones) => closed.extend(self.zones_of(&permit.servers)),
            }
        }
        told
    }

    /// The next request: the first of the tool that holds least, of those whose zones are open.
    fn next(&self, closed: &BTreeSet<String>) -> Option<usize> {
        let mut holds: BTreeMap<&str, usize> = BTreeMap::new();
        for held in self.held.values() {
            *holds.entry(&held.permit.tool).or_default() += held.permit.servers.len();
        }
        let open = |permit: &Permit| self.zones_of(&permit.servers).is_disjoint(closed);
        let waiting = self.waiting.iter().enumerate().filter(|(_, permit)| open(permit));
        waiting
            .min_by_key(|(place, p)| (holds.get(p.tool.as_str()).copied().unwrap_or(0), *place))
            .map(|w| w.0)
    }

    fn zones_of(&self, servers: &BTreeSet<String>) -> BTreeSet<String> {
        servers.iter().filter_map(|name| self.fleet.get(name)).map(|s| s.zone.clone()).collect()
    }

    /// Why a request cannot be granted now; none: it can.
    fn stands_in_the_way(&self, servers: &BTreeSet<String>) -> Option<Way> {
        let asked = self.zones_of(servers);
        if servers.iter().any(|name| self.fleet.get(name).is_none())
            || asked.iter().any(|z| self.fleet.is_doubted(z))
        {
            return Some(Way::Zones);
        }
        let held = self.held.values().flat_map(|h| &h.permit.servers);
        let taken: BTreeSet<&str> = held.chain(servers).map(String::as_str).collect();
        let zones = self.fleet.zones(&taken);
        let over = |(all, out): (f64, f64), part: f64| out > all * part + ROUNDING;
        if asked.iter().any(|z| zones.get(z.as_str()).is_none_or(|sums| over(*sums, self.set.zone_part))) {
            return Some(Way::Zones);
        }
        let fleet = zones.values().fold((0.0, 0.0), |(all, out), sums| (all + sums.0, out + sums.1));
        over(fleet, self.set.fleet_part).then_some(Way::Fleet)
    }

    /// Refuses what would not fit into an untouched fleet.
    fn fits_ever(&self, servers: &BTreeSet<String>) -> Result<(), Refused> {
        let sum = |of: &dyn Fn(&str, &Server) -> bool| {
            let all = self.fleet.iter().filter(|(name, s)| of(name, s));
            all.map(|(_, s)| s.size()).sum::<f64>()
        };
        for zone in self.zones_of(servers) {
            let all = sum(&|_, s| s.zone == zone);
            if sum(&|name, s| s.zone == zone && servers.contains(name)) > all * self.set.zone_part + ROUNDING
            {
                return Err(Refused::TooMuch(zone));
            }
        }
        if sum(&|name, _| servers.contains(name)) > sum(&|_, _| true) * self.set.fleet_part + ROUNDING {
            return Err(Refused::TooMuch("the fleet".to_owned()));
        }
        Ok(())
    }
}

/// What stands in the way of a request.
enum Way {
    /// Its own zones: requests in others may go on.
    Zones,
    /// The fleet: nobody may go on, or small requests would keep a large one waiting for ever.
    Fleet,
}
