//! Fleet size and limits that the users set, and assumptions where they set none.

/// Fleet size and resource limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// Conductors of the fleet.
    pub conductors: f64,
    /// Nodes, each running one server.
    pub servers: f64,
    /// Services of the fleet.
    pub services: f64,
    /// Regions of the fleet.
    pub regions: f64,
    /// Zones of all regions together.
    pub zones: f64,
    /// Peak requests per second over the fleet.
    pub requests_per_s: f64,
    /// Tenants of the fleet.
    pub tenants: f64,
    /// Limit for the 99th percentile of the latency added to a request, in milliseconds.
    pub added_ms: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Limit for a conductor's CPU spent on control, in percent of a core.
    pub cpu_percent: f64,
    /// Limit for a conductor's memory, in MiB; the users set 256 MB.
    pub memory_mib: f64,
    /// Limit for a conductor's control traffic, in bytes per second.
    pub bytes_per_s: f64,
    /// Machines reserved for control members.
    pub machines: f64,
    /// Machine failures per day.
    pub failures_per_day: f64,
    /// Machines restarted or replaced per day.
    pub restarts_per_day: f64,
}

/// The target set by the users.
pub(crate) const USERS: Target = Target {
    conductors: 2_400.0,
    servers: 19_000.0,
    services: 930.0,
    regions: 22.0,
    zones: 79.0,
    requests_per_s: 710_000.0,
    tenants: 99_000.0,
    added_ms: 2.6,
    changes_per_day: 3_000.0,
    cpu_percent: 4.4,
    memory_mib: 256e6 / (1 << 20) as f64,
    bytes_per_s: 7_000.0,
    machines: 15.0,
    failures_per_day: 110.0,
    restarts_per_day: 1_100.0,
};

/// Seconds per day.
pub(crate) const DAY_S: f64 = 86_400.0;

impl Target {
    /// Mean requests per second for one conductor.
    pub(crate) fn requests_per_conductor(&self) -> f64 {
        self.requests_per_s / self.conductors
    }

    /// Mean number of servers in a zone.
    pub(crate) fn servers_per_zone(&self) -> f64 {
        self.servers / self.zones
    }

    /// Configuration changes per second, the mean over a day.
    pub(crate) fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }
}

/// Values assumed where the users set none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Assumptions {
    /// Proxies joined to one conductor.
    pub proxies: f64,
    /// Requests per second for one conductor.
    pub requests_per_s: f64,
    /// Servers in a conductor's list.
    pub servers: f64,
    /// Configuration changes per second in a burst.
    pub burst_per_s: f64,
    /// Length of a burst, in seconds.
    pub burst_s: f64,
    /// Machines in a rack.
    pub rack: f64,
    /// Zipf exponent of the distribution of requests over tenants.
    pub zipf: f64,
}

impl Assumptions {
    /// The page's assumptions, for a conductor that lists `servers` servers.
    pub(crate) fn with_servers(servers: f64) -> Self {
        Self {
            proxies: 50.0,
            requests_per_s: USERS.requests_per_conductor(),
            servers,
            burst_per_s: 10.0,
            burst_s: 60.0,
            rack: 24.0,
            zipf: 1.0,
        }
    }

    /// Share of all requests that belongs to the largest tenant, from 0 to 1.
    pub(crate) fn largest_tenant(&self) -> f64 {
        let tenants = USERS.tenants as u32;
        1.0 / (1..=tenants).map(|rank| f64::from(rank).powf(-self.zipf)).sum::<f64>()
    }
}

/// Extent of a conductor's server list. The users did not specify it, so the page covers three cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListScope {
    /// The servers of a service of mean size.
    Service,
    /// The servers of a zone.
    Zone,
    /// All servers of the fleet.
    Fleet,
}

impl ListScope {
    /// All cases, from the shortest list to the longest.
    pub(crate) const ALL: [ListScope; 3] = [ListScope::Service, ListScope::Zone, ListScope::Fleet];

    /// Number of listed servers: a measured size close to the mean where there is one.
    pub(crate) fn servers(self) -> f64 {
        match self {
            ListScope::Service => 20.0,
            ListScope::Zone => 240.0,
            ListScope::Fleet => USERS.servers,
        }
    }

    /// The case's label on the page.
    pub(crate) fn label(self) -> &'static str {
        match self {
            ListScope::Service => "a mean service, 20 servers",
            ListScope::Zone => "a zone, 240 servers",
            ListScope::Fleet => "the fleet, 19,000 servers",
        }
    }
}
