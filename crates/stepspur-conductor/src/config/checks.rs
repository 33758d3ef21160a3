//! Checks that several groups of settings share.

use std::net::SocketAddr;
use std::time::Duration;

/// The upper bound of most durations.
pub(super) const HOUR: Duration = Duration::from_secs(3600);

/// Checks that a duration lies between two others, both inclusive.
pub(super) fn between(min: Duration, max: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |duration, ()| {
        if (min..=max).contains(duration) {
            Ok(())
        } else {
            Err(garde::Error::new(format!("must lie between {min:?} and {max:?}")))
        }
    }
}

/// Checks that an address is a loopback address.
pub(super) fn loopback(address: &SocketAddr, _: &()) -> garde::Result {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(garde::Error::new("must be a loopback address: callers are not known yet"))
    }
}

/// Checks that an address is a loopback address where `plain` is set.
pub(super) fn loopback_if(plain: bool) -> impl FnOnce(&SocketAddr, &()) -> garde::Result {
    move |address, ()| if plain { loopback(address, &()) } else { Ok(()) }
}

/// Checks that a text is an absolute path of an HTTP request.
pub(super) fn absolute_path(path: &str, _: &()) -> garde::Result {
    let is_graphic = path.bytes().all(|byte| byte.is_ascii_graphic());
    if path.starts_with('/') && is_graphic {
        Ok(())
    } else {
        Err(garde::Error::new("must be a path from `/`"))
    }
}

/// Checks that no name occurs twice.
pub(super) fn unique(names: &[String], _: &()) -> garde::Result {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            return Err(garde::Error::new(format!("names `{name}` twice")));
        }
    }
    Ok(())
}

/// Checks that a zone, if one is given, is among these.
pub(super) fn known_zone(zones: &[String]) -> impl FnOnce(&Option<String>, &()) -> garde::Result + '_ {
    move |name, ()| match name {
        Some(name) if !zones.contains(name) => Err(garde::Error::new(format!("`{name}` is no zone"))),
        _ => Ok(()),
    }
}
