//! Who may call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur_identity::tls::ClientCertificates;

use super::checks::{HOUR, between};
use super::{Listen, Tenant};

/// Who may call. `docs/identity.md` words it.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The folder of `identity.toml` and the files that it names.
    #[garde(skip)]
    pub folder: PathBuf,
    /// The tenant to which the settings' own fleet belongs.
    #[serde(default = "default_tenant")]
    #[garde(length(min = 1, max = 128))]
    pub tenant: String,
    /// Client certificates: required, optional or off.
    #[serde(default)]
    #[garde(skip)]
    pub certificates: ClientCertificates,
    /// True: a token is needed, too.
    #[serde(default)]
    #[garde(skip)]
    pub tokens_required: bool,
    /// Clocks may differ by so much.
    #[serde(default = "leeway", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(300))))]
    pub leeway: Duration,
    /// A token may live for so long at most.
    #[serde(default = "token_life", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(1), HOUR * 24 * 30)))]
    pub longest_token_life: Duration,
    /// The folder is looked at so often; a revocation ends streams within this and a half second.
    #[serde(default = "reload_every", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub reload_every: Duration,
    /// Handshake and first message are due in this time.
    #[serde(default = "handshake_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub handshake_timeout: Duration,
    /// Handshakes under way at once.
    #[serde(default = "handshakes")]
    #[garde(range(min = 2, max = 65_000))]
    pub handshakes_max: usize,
    /// Of them, those kept for sources that proved themselves in the last hour.
    #[serde(default = "handshakes_kept")]
    #[garde(range(min = 1, max = self.handshakes_max - 1))]
    pub handshakes_kept: usize,
    /// Of them, those of one source that has not.
    #[serde(default = "handshakes_of_source")]
    #[garde(range(min = 1, max = 65_000))]
    pub handshakes_of_source: usize,
    /// Where operators call, by HTTPS; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub operators: Option<SocketAddr>,
    /// The audit log, a line of JSON for each change and each refused call.
    #[garde(skip)]
    pub audit: PathBuf,
}

fn default_tenant() -> String {
    "default".into()
}
fn leeway() -> Duration {
    Duration::from_secs(30)
}
fn token_life() -> Duration {
    HOUR * 24
}
fn reload_every() -> Duration {
    Duration::from_secs(1)
}
fn handshake_timeout() -> Duration {
    Duration::from_secs(5)
}
fn handshakes() -> usize {
    512
}
fn handshakes_kept() -> usize {
    256
}
fn handshakes_of_source() -> usize {
    64
}

/// Callers are known, or nothing but loopback is listened on.
pub(super) fn known_or_plain(listen: &Listen) -> impl FnOnce(&Option<Identity>, &()) -> garde::Result + '_ {
    move |identity, ()| match identity.is_some() || listen.plain_on_loopback {
        true => Ok(()),
        false => Err(garde::Error::new("is needed, unless `listen.plain_on_loopback` is set")),
    }
}

/// A proxy's tenant is told by who it is.
pub(super) fn tenants_need_identity(
    identity: &Option<Identity>,
) -> impl FnOnce(&BTreeMap<String, Tenant>, &()) -> garde::Result + '_ {
    move |tenants, ()| match (tenants.is_empty(), identity) {
        (true, _) => Ok(()),
        (false, None) => Err(garde::Error::new("need `identity`: nothing else tells whose a proxy is")),
        (false, Some(own)) if tenants.contains_key(&own.tenant) => {
            Err(garde::Error::new(format!("`{}` is the settings' own tenant", own.tenant)))
        }
        _ => Ok(()),
    }
}
