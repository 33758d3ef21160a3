//! Assigns the ids by which the decision module identifies servers.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use stepspur::interface::ServerId;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Text before the bytes of a [`ServerId`] in the decision module's log lines, which contain its `Debug`
/// form.
const SERVER_ID_DEBUG_PREFIX: &str = "ServerId([";
/// Text after the bytes of a [`ServerId`] in the decision module's log lines.
const SERVER_ID_DEBUG_SUFFIX: &str = "])";

/// Maps servers' names and addresses to ids and back.
///
/// The id of an IPv4 server is its address and port. The id of an IPv6 server is a 0 byte, which no IPv4
/// server's id starts with, followed by a sequence number. If the endpoint list names servers, the id is a
/// hash of the name.
#[derive(Debug, Default)]
pub struct ServerIds {
    /// Ids of IPv6 servers without a name.
    v6_ids: BTreeMap<SocketAddrV6, ServerId>,
    v6_addresses: BTreeMap<ServerId, SocketAddrV6>,
    /// Sequence number of the newest IPv6 id; numbers are not reused.
    last_v6_number: u64,
    named: BTreeMap<ServerId, NamedServer>,
    /// Ids of named servers by their current address.
    named_at: BTreeMap<SocketAddr, ServerId>,
}

/// Name and current address of a server that the endpoint list identifies by name.
#[derive(Debug)]
struct NamedServer {
    name: String,
    address: SocketAddr,
}

/// Returns the id of a server with this name: its 64-bit FNV-1a hash, folded to 48 bits. It is the same at
/// every conductor and after every restart.
pub fn named_id(name: &str) -> ServerId {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    let [_, _, id @ ..] = (hash ^ hash >> 48).to_be_bytes();
    ServerId(id)
}

impl ServerIds {
    /// Returns the id of a server that is listed by name and records its current address; `None` if another
    /// name has the same hash.
    pub(crate) fn intern_named(&mut self, name: &str, address: SocketAddr) -> Option<ServerId> {
        let id = named_id(name);
        if let Some(known) = self.named.get_mut(&id) {
            if known.name != name {
                return None;
            }
            if known.address != address {
                if self.named_at.get(&known.address) == Some(&id) {
                    self.named_at.remove(&known.address);
                }
                known.address = address;
            }
        } else {
            self.named.insert(id, NamedServer { name: name.to_owned(), address });
        }
        self.named_at.insert(address, id);
        Some(id)
    }

    /// Returns the id of a server that is listed by address, assigning one if necessary; `None` for an
    /// address that no server can have (port 0, or an IPv4 address in 0.0.0.0/8).
    pub(crate) fn intern(&mut self, address: SocketAddr) -> Option<ServerId> {
        if let Some(id) = self.get(address) {
            return Some(id);
        }
        let v6 = canonical_v6(address).filter(|v6| v6.port() > 0)?;
        self.last_v6_number += 1;
        let [_, _, _, number @ ..] = self.last_v6_number.to_be_bytes();
        let id = ServerId([0, number[0], number[1], number[2], number[3], number[4]]);
        self.v6_ids.insert(v6, id);
        self.v6_addresses.insert(id, v6);
        Some(id)
    }

    /// Returns the id of the server at this address. An IPv4 address has an id whether or not it was listed.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<ServerId> {
        if let Some(id) = self.named_at.get(&address) {
            return Some(*id);
        }
        match canonical_v6(address) {
            Some(v6) => self.v6_ids.get(&v6).copied(),
            None => v4_id(address),
        }
    }

    /// Returns the name of a server; `None` if the endpoint list identifies it by address, or it is unknown.
    pub fn name(&self, id: ServerId) -> Option<&str> {
        self.named.get(&id).map(|named| named.name.as_str())
    }

    /// Returns the current address of a server; `None` if it is unknown.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        if let Some(named) = self.named.get(&id) {
            return Some(named.address);
        }
        let [a, b, c, d, port_high, port_low] = id.0;
        if a > 0 {
            let port = u16::from_be_bytes([port_high, port_low]);
            return Some(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port).into());
        }
        self.v6_addresses.get(&id).map(|v6| (*v6).into())
    }

    /// Forgets a removed server. The sequence number of an IPv6 id is not reused.
    pub(crate) fn remove(&mut self, id: ServerId) {
        if let Some(v6) = self.v6_addresses.remove(&id) {
            self.v6_ids.remove(&v6);
        }
        if let Some(named) = self.named.remove(&id)
            && self.named_at.get(&named.address) == Some(&id)
        {
            self.named_at.remove(&named.address);
        }
    }

    /// Returns a log line of the decision module with server ids replaced by names or addresses.
    pub(crate) fn with_readable_ids(&self, line: &str) -> String {
        let mut readable = String::with_capacity(line.len());
        let mut remaining = line;
        while let Some((before, after)) = remaining.split_once(SERVER_ID_DEBUG_PREFIX) {
            let Some((bytes, after)) = after.split_once(SERVER_ID_DEBUG_SUFFIX) else { break };
            readable.push_str(before);
            readable.push_str(&self.display_name(bytes));
            remaining = after;
        }
        readable + remaining
    }

    /// Returns the name or address of the server with this id, given as printed bytes; `?` if it is unknown.
    fn display_name(&self, printed_bytes: &str) -> String {
        let bytes: Vec<u8> = printed_bytes.split(", ").filter_map(|byte| byte.parse().ok()).collect();
        let Ok(bytes) = <[u8; 6]>::try_from(bytes) else { return "?".to_owned() };
        let id = ServerId(bytes);
        match self.name(id) {
            Some(name) => name.to_owned(),
            None => self.address(id).map_or_else(|| "?".to_owned(), |address| address.to_string()),
        }
    }
}

/// Returns an IPv6 address without flow label and scope; `None` for IPv4 and IPv4-mapped addresses.
fn canonical_v6(address: SocketAddr) -> Option<SocketAddrV6> {
    match SocketAddr::new(address.ip().to_canonical(), address.port()) {
        SocketAddr::V6(v6) => Some(SocketAddrV6::new(Ipv6Addr::from(v6.ip().octets()), v6.port(), 0, 0)),
        SocketAddr::V4(_) => None,
    }
}

/// Returns the id of an IPv4 or IPv4-mapped address; `None` for other addresses, 0.0.0.0/8 and port 0.
fn v4_id(address: SocketAddr) -> Option<ServerId> {
    let SocketAddr::V4(v4) = SocketAddr::new(address.ip().to_canonical(), address.port()) else {
        return None;
    };
    let [a, b, c, d] = v4.ip().octets();
    let [port_high, port_low] = v4.port().to_be_bytes();
    (a > 0 && v4.port() > 0).then_some(ServerId([a, b, c, d, port_high, port_low]))
}

#[cfg(test)]
mod tests;
