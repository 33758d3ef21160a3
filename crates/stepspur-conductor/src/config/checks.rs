//! Checks of values that several groups of settings share.

use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of nearly all durations in the settings.
pub(super) const HOUR: Duration = Duration::from_secs(3600);

/// Checks that a duration is at least `min` and at most `max`.
pub(super) fn between(min: Duration, max: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |duration, ()| {
        if (min..=max).contains(duration) {
            Ok(())
        } else {
            Err(garde::Error::new(format!("must be between {min:?} and {max:?}")))
        }
    }
}

/// Checks that an address is a loopback address, for endpoints that do not authenticate their callers.
pub(super) fn loopback(address: &SocketAddr, _: &()) -> garde::Result {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(garde::Error::new("must be a loopback address: callers are not authenticated"))
    }
}

/// Checks that an address is a loopback address if `plain` is set.
pub(super) fn loopback_if(plain: bool) -> impl FnOnce(&SocketAddr, &()) -> garde::Result {
    move |address, ()| if plain { loopback(address, &()) } else { Ok(()) }
}

/// Checks that a string is an absolute path of an HTTP request, of printable ASCII characters without spaces.
pub(super) fn absolute_path(path: &str, _: &()) -> garde::Result {
    let is_graphic = path.bytes().all(|byte| byte.is_ascii_graphic());
    if path.starts_with('/') && is_graphic {
        Ok(())
    } else {
        Err(garde::Error::new("must be a path that starts with `/`, of printable ASCII characters"))
    }
}

/// Checks that no name occurs twice in a list.
pub(super) fn unique(names: &[String], _: &()) -> garde::Result {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            return Err(garde::Error::new(format!("contains `{name}` twice")));
        }
    }
    Ok(())
}

/// Checks that a zone, if one is set, is one of `zones`.
pub(super) fn known_zone(zones: &[String]) -> impl FnOnce(&Option<String>, &()) -> garde::Result + '_ {
    move |name, ()| match name {
        Some(name) if !zones.contains(name) => Err(garde::Error::new(format!("`{name}` is not a zone"))),
        _ => Ok(()),
    }
}
