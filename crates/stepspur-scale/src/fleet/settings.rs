//! Settings files of the real program, as the run writes them.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use stepspur_consensus_node::{ConsensusConfig, MemberAddress};

use super::operators::TENANT;
use super::plan::{Conductor, ControlMember, Plan, ROUTES_MOST, route};
use crate::hollow_conductors::message::ControlPlace;

/// Zones of a real conductor's servers.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Classes of a real conductor: as many as an engine takes, so that it knows every route.
const CLASSES: usize = ROUTES_MOST;
/// Proxies of a real conductor.
pub(crate) const PROXIES: usize = 3;
/// The council's times, as the program's defaults are.
const ELECTION: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_millis(200);
const RENEW: Duration = Duration::from_millis(400);
const DISK_STALL: Duration = Duration::from_secs(2);
const DRIFT_PPM: u32 = 1_000;

/// Where the parts of one control member listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlAddresses {
    /// Other members of the council.
    pub council: SocketAddr,
    /// Subscribers.
    pub subscribers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
}

/// All control members with their addresses, in the order of their numbers.
#[derive(Clone, Debug)]
pub(crate) struct ControlFleet {
    /// The members.
    pub members: Vec<(ControlMember, ControlAddresses)>,
    /// A subscriber that nothing concerns is told so often what it is covered to.
    pub keep_alive: Duration,
}

impl ControlFleet {
    /// What subscribers are told.
    pub(crate) fn places(&self) -> Vec<ControlPlace> {
        let place = |(member, addresses): &(ControlMember, ControlAddresses)| ControlPlace {
            id: member.id,
            address: addresses.subscribers,
            region: member.region.clone(),
        };
        self.members.iter().map(place).collect()
    }

    /// Operators' endpoints.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|(_, addresses)| addresses.operators).collect()
    }

    /// The council as its first voters found it.
    pub(crate) fn founding(&self, id: u64, state: &Path) -> ConsensusConfig {
        let voters = self.members.iter().filter(|(member, _)| member.votes);
        let place = |(member, addresses): &(ControlMember, ControlAddresses)| MemberAddress {
            id: member.id,
            address: addresses.council,
        };
        ConsensusConfig {
            id,
            state: state.to_owned(),
            conductors: voters.map(place).collect(),
            election: ELECTION,
            heartbeat: HEARTBEAT,
            renew: RENEW,
            disk_stall: DISK_STALL,
            drift_ppm: DRIFT_PPM,
        }
    }

    /// The settings of a control member, whose files lie in `folder`; keys lie in `keys`.
    pub(crate) fn settings(&self, place: usize, folder: &Path, keys: &Path, nodes: &Path) -> String {
        let (member, addresses) = &self.members[place];
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
        for place in self.places() {
            let _ = write!(
                text,
                "[[distribution.control.members]]\nid = {}\naddress = \"{}\"\nregion = {:?}\n",
                place.id, place.address, place.region
            );
        }
        text
    }
}

/// The settings of a real conductor, whose files lie in `folder`.
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
    let addresses: Vec<String> = control.iter().map(|place| place.address.to_string()).collect();
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

/// The list of servers of a real conductor.
pub(crate) fn nodes(plan: &Plan, conductor: &Conductor) -> String {
    let servers: Vec<&SocketAddr> =
        conductor.services.iter().flat_map(|place| &plan.services[*place].servers).collect();
    let mut text = format!("servers = {}\n", servers.len());
    for (place, server) in servers.into_iter().enumerate() {
        let zone = ZONES[place % ZONES.len()];
        let _ = write!(text, "[[node]]\naddress = \"{server}\"\nzone = \"{zone}\"\n");
    }
    text
}

fn class(place: usize) -> String {
    let name = route(place);
    format!(
        "[[fleet.classes]]\nname = \"{name}\"\neffect = \"read_like\"\naim = \"1200ms\"\ndeadline = \"4s\"\n"
    )
}
