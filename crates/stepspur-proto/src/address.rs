//! Converts server addresses to and from their messages.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;

use crate::v1::Server;

/// Why a message is not a valid server address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAddress {
    /// The IP address has neither 4 nor 16 bytes, but this many.
    #[error("an address of {0} bytes is neither IPv4 nor IPv6")]
    Length(usize),
    /// The port is 0 or above 65535.
    #[error("{0} is no port")]
    Port(u32),
    /// The message field is absent.
    #[error("no server is named")]
    Missing,
}

impl From<SocketAddr> for Server {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip().to_canonical() {
            IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
            IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
        };
        Self { ip, port: u32::from(address.port()) }
    }
}

impl TryFrom<&Server> for SocketAddr {
    type Error = InvalidAddress;

    fn try_from(server: &Server) -> Result<Self, InvalidAddress> {
        let ip: IpAddr = if let Ok(v4) = <[u8; 4]>::try_from(&server.ip[..]) {
            v4.into()
        } else if let Ok(v6) = <[u8; 16]>::try_from(&server.ip[..]) {
            v6.into()
        } else {
            return Err(InvalidAddress::Length(server.ip.len()));
        };
        let port = u16::try_from(server.port).ok().filter(|port| *port > 0);
        Ok(SocketAddr::new(ip.to_canonical(), port.ok_or(InvalidAddress::Port(server.port))?))
    }
}

/// The address in a message field that may be absent.
///
/// # Errors
/// [`InvalidAddress::Missing`] if the field is absent, or the error of the conversion.
pub fn server_address(server: &Option<Server>) -> Result<SocketAddr, InvalidAddress> {
    server.as_ref().ok_or(InvalidAddress::Missing)?.try_into()
}
