//! The size that the users name, and what they left open.

/// The users' size and allowances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// Conductors.
    pub conductors: f64,
    /// Nodes, each a server.
    pub servers: f64,
    /// Services.
    pub services: f64,
    /// Regions.
    pub regions: f64,
    /// Zones over all regions.
    pub zones: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tenants.
    pub tenants: f64,
    /// Milliseconds added to a request, for 99 in 100.
    pub added_ms: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// A conductor's processor time for control, percent of a core.
    pub cpu_percent: f64,
    /// A conductor's memory, MiB (256 MB).
    pub memory_mib: f64,
    /// A conductor's traffic for control, bytes a second.
    pub bytes_per_s: f64,
    /// Machines set aside for control.
    pub machines: f64,
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
}

/// As the users wrote it.
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

/// Seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;

impl Target {
    /// Requests a second before one conductor, the mean.
    pub(crate) fn requests_per_conductor(&self) -> f64 {
        self.requests_per_s / self.conductors
    }

    /// Servers of a zone, the mean.
    pub(crate) fn servers_per_zone(&self) -> f64 {
        self.servers / self.zones
    }

    /// Changes of configuration a second, the day's mean.
    pub(crate) fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }
}

/// What the users left open, as taken here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Assumptions {
    /// Proxies that have joined one conductor.
    pub proxies: f64,
    /// Requests a second before one conductor.
    pub requests_per_s: f64,
    /// Servers that a conductor lists.
    pub servers: f64,
    /// Changes a second in a burst.
    pub burst_per_s: f64,
    /// Seconds that a burst lasts.
    pub burst_s: f64,
    /// Machines of a rack.
    pub rack: f64,
    /// Exponent of the tenants' shares of the requests (Zipf).
    pub zipf: f64,
}

impl Assumptions {
    /// As taken on the page, for a conductor that lists so many servers.
    pub(crate) fn taken(servers: f64) -> Self {
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

    /// The largest tenant's share of the requests.
    pub(crate) fn largest_tenant(&self) -> f64 {
        let tenants = USERS.tenants as u32;
        1.0 / (1..=tenants).map(|rank| f64::from(rank).powf(-self.zipf)).sum::<f64>()
    }
}

/// What a conductor lists: nobody has said, so three cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    /// A service's servers.
    Service,
    /// A zone's servers.
    Zone,
    /// All servers.
    Fleet,
}

impl Listed {
    /// All cases, rising.
    pub(crate) const ALL: [Listed; 3] = [Listed::Service, Listed::Zone, Listed::Fleet];

    /// Its servers, as measured sizes where there is one beside the mean.
    pub(crate) fn servers(self) -> f64 {
        match self {
            Listed::Service => 20.0,
            Listed::Zone => 240.0,
            Listed::Fleet => USERS.servers,
        }
    }

    /// What it is called.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Listed::Service => "a mean service, 20 servers",
            Listed::Zone => "a zone, 240 servers",
            Listed::Fleet => "the fleet, 19,000 servers",
        }
    }
}
