//! Numbers by which the decision module knows proxies and servers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use stepspur::interface::{Micros, ProxyId, ServerId};

/// A name that left, by when.
type Left = (Micros, ProxyId);

/// Proxies' numbers. A name keeps its number for as long as numbers last; then the number of the name that
/// left longest ago goes to a new one, but none that left less than `rest` ago: what was ordered for the old
/// name must have passed, and the decisions must have forgotten it.
#[derive(Debug)]
pub(crate) struct ProxyNumbers {
    by_name: BTreeMap<String, ProxyId>,
    names: BTreeMap<ProxyId, String>,
    left: BTreeSet<Left>,
    left_at: BTreeMap<ProxyId, Micros>,
    max: u16,
    rest: Micros,
}

/// No number is left; the next may be free then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoNumber {
    pub retry_after: Micros,
}

impl ProxyNumbers {
    pub(crate) fn new(max: u32, rest: Micros) -> Self {
        let max = u16::try_from(max).unwrap_or(u16::MAX - 1);
        let (by_name, names) = (BTreeMap::new(), BTreeMap::new());
        Self { by_name, names, left: BTreeSet::new(), left_at: BTreeMap::new(), max, rest }
    }

    /// The number of a proxy that joins.
    pub(crate) fn claim(&mut self, name: &str, now: Micros) -> Result<ProxyId, NoNumber> {
        if let Some(id) = self.by_name.get(name).copied() {
            if let Some(at) = self.left_at.remove(&id) {
                self.left.remove(&(at, id));
            }
            return Ok(id);
        }
        let id = if self.names.len() < usize::from(self.max) {
            ProxyId(self.names.len() as u16)
        } else {
            self.reuse(now)?
        };
        self.by_name.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        Ok(id)
    }

    fn reuse(&mut self, now: Micros) -> Result<ProxyId, NoNumber> {
        let (at, id) = *self.left.first().ok_or(NoNumber { retry_after: self.rest })?;
        let free_at = at.saturating_add(self.rest);
        if now < free_at {
            return Err(NoNumber { retry_after: free_at - now });
        }
        self.left.pop_first();
        self.left_at.remove(&id);
        if let Some(old) = self.names.remove(&id) {
            self.by_name.remove(&old);
        }
        Ok(id)
    }

    /// Its stream has ended. One whose number its protocol gives has no name here, and keeps it.
    pub(crate) fn release(&mut self, id: ProxyId, now: Micros) {
        if !self.names.contains_key(&id) {
            return;
        }
        self.left_at.insert(id, now);
        self.left.insert((now, id));
    }

    pub(crate) fn name(&self, id: ProxyId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    pub(crate) fn known(&self) -> usize {
        self.names.len()
    }
}

/// Servers' ids. IPv4 addresses are their own id. IPv6 addresses get a number in the range of ids whose first
/// byte is 0, which no IPv4 server has. Where a list names servers, the name alone tells the id.
#[derive(Debug, Default)]
pub struct ServerIds {
    v6: BTreeMap<SocketAddrV6, ServerId>,
    back: BTreeMap<ServerId, SocketAddrV6>,
    next: u64,
    named: BTreeMap<ServerId, Named>,
    at: BTreeMap<SocketAddr, ServerId>,
}

/// A server that a list names.
#[derive(Debug)]
struct Named {
    name: String,
    address: SocketAddr,
}

/// The id of a server that lists name so: the same at every conductor and after every start (FNV-1a, 64 bits
/// folded to 48).
pub fn named_id(name: &str) -> ServerId {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let [_, _, id @ ..] = (hash ^ hash >> 48).to_be_bytes();
    ServerId(id)
}

impl ServerIds {
    /// The id of a server that is listed by name; none if another name has it. Its address may change.
    pub(crate) fn intern_named(&mut self, name: &str, address: SocketAddr) -> Option<ServerId> {
        let id = named_id(name);
        if let Some(known) = self.named.get_mut(&id) {
            if known.name != name {
                return None;
            }
            if known.address != address {
                if self.at.get(&known.address) == Some(&id) {
                    self.at.remove(&known.address);
                }
                known.address = address;
            }
        } else {
            self.named.insert(id, Named { name: name.to_owned(), address });
        }
        self.at.insert(address, id);
        Some(id)
    }

    /// The name of a server, where lists name them.
    pub fn name(&self, id: ServerId) -> Option<&str> {
        self.named.get(&id).map(|named| named.name.as_str())
    }

    /// The id of a server that is listed; none for an address that cannot be one (port 0, network 0).
    pub(crate) fn intern(&mut self, address: SocketAddr) -> Option<ServerId> {
        if let Some(id) = self.get(address) {
            return Some(id);
        }
        let v6 = canonical_v6(address).filter(|v6| v6.port() > 0)?;
        self.next += 1;
        let [_, _, _, number @ ..] = self.next.to_be_bytes();
        let id = ServerId([0, number[0], number[1], number[2], number[3], number[4]]);
        self.v6.insert(v6, id);
        self.back.insert(id, v6);
        Some(id)
    }

    /// The id of a server that was listed.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<ServerId> {
        if let Some(id) = self.at.get(&address) {
            return Some(*id);
        }
        match canonical_v6(address) {
            Some(v6) => self.v6.get(&v6).copied(),
            None => v4_id(address),
        }
    }

    /// Where a server is.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        if let Some(named) = self.named.get(&id) {
            return Some(named.address);
        }
        let [a, b, c, d, high, low] = id.0;
        if a > 0 {
            let port = u16::from_be_bytes([high, low]);
            return Some(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port).into());
        }
        self.back.get(&id).map(|v6| (*v6).into())
    }

    /// Forgets a server that is gone; its id is not used again.
    pub(crate) fn forget(&mut self, id: ServerId) {
        if let Some(v6) = self.back.remove(&id) {
            self.v6.remove(&v6);
        }
        if let Some(named) = self.named.remove(&id)
            && self.at.get(&named.address) == Some(&id)
        {
            self.at.remove(&named.address);
        }
    }

    /// The module's text with names or addresses in place of ids.
    pub(crate) fn readable(&self, text: &str) -> String {
        let (mut out, mut rest) = (String::with_capacity(text.len()), text);
        while let Some((before, after)) = rest.split_once("ServerId([") {
            let Some((bytes, after)) = after.split_once("])") else { break };
            let bytes: Vec<u8> = bytes.split(", ").filter_map(|b| b.parse().ok()).collect();
            let id = <[u8; 6]>::try_from(bytes).ok().map(ServerId);
            let name = id.and_then(|id| self.name(id)).map(str::to_owned);
            let address = || id.and_then(|id| self.address(id)).map(|a| a.to_string());
            out.push_str(before);
            out.push_str(&name.or_else(address).unwrap_or_else(|| "?".to_owned()));
            rest = after;
        }
        out + rest
    }
}

fn canonical_v6(address: SocketAddr) -> Option<SocketAddrV6> {
    match SocketAddr::new(address.ip().to_canonical(), address.port()) {
        SocketAddr::V6(v6) => Some(SocketAddrV6::new(Ipv6Addr::from(v6.ip().octets()), v6.port(), 0, 0)),
        SocketAddr::V4(_) => None,
    }
}

fn v4_id(address: SocketAddr) -> Option<ServerId> {
    let SocketAddr::V4(v4) = SocketAddr::new(address.ip().to_canonical(), address.port()) else {
        return None;
    };
    let [a, b, c, d] = v4.ip().octets();
    let [high, low] = v4.port().to_be_bytes();
    (a > 0 && v4.port() > 0).then_some(ServerId([a, b, c, d, high, low]))
}

#[cfg(test)]
mod tests;
