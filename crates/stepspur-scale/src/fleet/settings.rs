//! Settings files that a run writes for the real program.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use stepspur_consensus_node::{ConsensusConfig, MemberAddress};

use super::operators::TENANT;
use super::plan::{Conductor, ControlMember, MAX_ROUTES_PER_SERVICE, Plan, route};
use crate::hollow_conductors::message::ControlPlace;

/// Zones of a real conductor's servers and proxies.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of classes of a real conductor: the maximum of an engine, so that it knows every route.
const CLASSES: usize = MAX_ROUTES_PER_SERVICE;
/// Number of proxies of a real conductor.
pub(crate) const PROXIES: usize = 3;
/// Timing of the consensus group, equal to the program's defaults.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CLOCK_DRIFT_PPM: u32 = 1_000;

/// Listening addresses of one control member, one for each service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlAddresses {
    /// Address for other members of the consensus group.
    pub council: SocketAddr,
    /// Address for subscribers.
    pub subscribers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// All control members with their addresses, ordered by id.
#[derive(Clone, Debug)]
pub(crate) struct ControlFleet {
    /// Each member with its addresses.
    pub members: Vec<(ControlMember, ControlAddresses)>,
    /// Interval at which a subscriber without relevant changes receives the version up to which it is
    /// current.
    pub keep_alive: Duration,
}

impl ControlFleet {
    /// Returns the control members' addresses as subscribers are configured with them.
    pub(crate) fn places(&self) -> Vec<ControlPlace> {
        let member_address = |(member, addresses): &(ControlMember, ControlAddresses)| ControlPlace {
            id: member.id,
            address: addresses.subscribers,
            region: member.region.clone(),
        };
        self.members.iter().map(member_address).collect()
    }

    /// Returns the addresses of the operators' endpoints.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|(_, addresses)| addresses.operators).collect()
    }

    /// Returns the configuration with which a voter bootstraps the consensus group.
    pub(crate) fn founding(&self, id: u64, state: &Path) -> ConsensusConfig {
        let voters = self.members.iter().filter(|(member, _)| member.votes);
        let member_address = |(member, addresses): &(ControlMember, ControlAddresses)| MemberAddress {
            id: member.id,
            address: addresses.council,
        };
        ConsensusConfig {
            id,
            state: state.to_owned(),
            conductors: voters.map(member_address).collect(),
            election: ELECTION_TIMEOUT,
            heartbeat: HEARTBEAT_INTERVAL,
            renew: LEASE_RENEWAL_INTERVAL,
            disk_stall: DISK_STALL_TIMEOUT,
            drift_ppm: MAX_CLOCK_DRIFT_PPM,
        }
    }

    /// Returns the settings of a control member. Its files are in `folder`, the keys in `keys`.
    pub(crate) fn settings(&self, index: usize, folder: &Path, keys: &Path, nodes: &Path) -> String {
        let (member, addresses) = &self.members[index];
        let ip = addresses.council.ip();
        let (state, audit) = (folder.join("council.redb"), folder.join("audit.jsonl"));
        let mut text = format!(
            "[fleet]\nzones = [\"a\"]\nproxies = 1\n{}\
             [listen]\naddress = \"{ip}:0\"\n\
             [probes]\nenabled = false\n\
             [source]\nkind = \"file\"\npath = {nodes:?}\n\
             [status]\naddress = \"{ip}:0\"\n\
             [identity]\nfolder = {keys:?}\ntenant = \"{TENANT}\"\ncertificates = \"optional\"\n\
             operators = \"{}\"\naudit = {audit:?}\n\
             [council]\nid = {}\nstate = {state:?}\n",
            class(0),
            addresses.operators,
            member.id,
        );
        for (member, addresses) in &self.members {
            let _ = write!(
                text,
                "[[council.conductors]]\nid = {}\naddress = \"{}\"\n",
                member.id, addresses.council
            );
        }
        let _ = writeln!(text, "[distribution.control]\nkeep_alive = \"{}ms\"", self.keep_alive.as_millis());
        for member in self.places() {
            let _ = write!(
                text,
                "[[distribution.control.members]]\nid = {}\naddress = \"{}\"\nregion = {:?}\n",
                member.id, member.address, member.region
            );
        }
        text
    }
}

/// Returns the settings of a real conductor whose files are in `folder`.
pub(crate) fn conductor(conductor: &Conductor, control: &[ControlPlace], folder: &Path) -> String {
    let (nodes, state) = (folder.join("nodes.toml"), folder.join("configuration.redb"));
    let classes: String = (0..CLASSES).map(class).collect();
    let mut text = format!(
        "[fleet]\nzones = {ZONES:?}\nproxies = {PROXIES}\n{classes}\
         [listen]\naddress = \"127.0.0.1:0\"\nplain_on_loopback = true\n\
         [source]\nkind = \"file\"\npath = {nodes:?}\n\
         [status]\naddress = \"127.0.0.1:0\"\n\
         [distribution.subscriber]\nname = {:?}\nregion = {:?}\nstate = {state:?}\n",
        conductor.name, conductor.interest.region,
    );
    let addresses: Vec<String> = control.iter().map(|index| index.address.to_string()).collect();
    let _ = writeln!(text, "control = {addresses:?}");
    for interest in &conductor.interest.services {
        let _ = write!(
            text,
            "[[distribution.subscriber.services]]\nservice = {:?}\ntenants = {:?}\n",
            interest.service, interest.tenants
        );
    }
    text
}

/// Returns the server list of a real conductor.
pub(crate) fn nodes(plan: &Plan, conductor: &Conductor) -> String {
    let servers: Vec<&SocketAddr> =
        conductor.services.iter().flat_map(|index| &plan.services[*index].servers).collect();
    let mut text = format!("servers = {}\n", servers.len());
    for (index, server) in servers.into_iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        let _ = write!(text, "[[node]]\naddress = \"{server}\"\nzone = \"{zone}\"\n");
    }
    text
}

fn class(index: usize) -> String {
    let name = route(index);
    format!(
        "[[fleet.classes]]\nname = \"{name}\"\neffect = \"read_like\"\naim = \"1200ms\"\ndeadline = \"4s\"\n"
    )
}
