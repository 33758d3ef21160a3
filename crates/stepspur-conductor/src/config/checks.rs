//! Bounds that several tables of the settings share.

use std::net::SocketAddr;
use std::time::Duration;

/// The longest span that most settings may have.
pub(super) const HOUR: Duration = Duration::from_secs(3600);

/// A span lies between two others, both counted in.
pub(super) fn between(least: Duration, most: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |span, ()| match *span >= least && *span <= most {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must lie between {least:?} and {most:?}"))),
    }
}

/// An address is of loopback.
pub(super) fn loopback(address: &SocketAddr, _: &()) -> garde::Result {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(garde::Error::new("must be a loopback address: callers are not known yet")),
    }
}

/// An address is of loopback where `plain` is set.
pub(super) fn loopback_if(plain: bool) -> impl FnOnce(&SocketAddr, &()) -> garde::Result {
    move |address, ()| if plain { loopback(address, &()) } else { Ok(()) }
}

/// A path of an HTTP request.
pub(super) fn rooted(path: &str, _: &()) -> garde::Result {
    let plain = path.bytes().all(|b| b.is_ascii_graphic());
    if path.starts_with('/') && plain { Ok(()) } else { Err(garde::Error::new("must be a path from `/`")) }
}

/// No name comes twice.
pub(super) fn unique(names: &[String], _: &()) -> garde::Result {
    let twice = names.iter().enumerate().find(|(k, name)| names[..*k].contains(name));
    twice.map_or(Ok(()), |(_, name)| Err(garde::Error::new(format!("names `{name}` twice"))))
}

/// A name, if there is one, is among these.
pub(super) fn one_of(names: &[String]) -> impl FnOnce(&Option<String>, &()) -> garde::Result + '_ {
    move |name, ()| match name {
        Some(name) if !names.contains(name) => Err(garde::Error::new(format!("`{name}` is no zone"))),
        _ => Ok(()),
    }
}
