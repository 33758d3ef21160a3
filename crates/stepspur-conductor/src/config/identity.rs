//! Settings of authentication: certificates, tokens, handshakes and the audit log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur_identity::tls::ClientCertificates;

use super::checks::{HOUR, between};
use super::listen::Listen;
use super::tenant::Tenant;

/// How callers are authenticated, see `docs/identity.md`.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Directory of `identity.toml` and of the files that it names.
    #[garde(skip)]
    pub folder: PathBuf,
    /// The tenant that owns the fleet of these settings; default `default`, 1 to 128 bytes.
    #[serde(default = "default_tenant")]
    #[garde(length(min = 1, max = 128))]
    pub tenant: String,
    /// Whether client certificates are required, optional or off.
    #[serde(default)]
    #[garde(skip)]
    pub certificates: ClientCertificates,
    /// True: a token is required as well; default false.
    #[serde(default)]
    #[garde(skip)]
    pub tokens_required: bool,
    /// Tolerated clock difference; default 30 s, up to 300 s.
    #[serde(default = "default_leeway", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(300))))]
    pub leeway: Duration,
    /// Longest lifetime of a token; default 24 h, 1 s to 30 days.
    #[serde(default = "default_longest_token_life", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(1), HOUR * 24 * 30)))]
    pub longest_token_life: Duration,
    /// Interval between checks of the directory; default 1 s, 10 ms to 1 h. A revocation closes streams
    /// within this time plus half a second.
    #[serde(default = "default_reload_every", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub reload_every: Duration,
    /// Time limit of the handshake and the first message together; default 5 s, 10 ms to 1 h.
    #[serde(default = "default_handshake_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub handshake_timeout: Duration,
    /// Concurrent handshakes; default 512, 2 to 65,000.
    #[serde(default = "default_handshakes_max")]
    #[garde(range(min = 2, max = 65_000))]
    pub handshakes_max: usize,
    /// Of them, those reserved for sources that authenticated within the last hour; default 256.
    #[serde(default = "default_handshakes_kept")]
    #[garde(range(min = 1, max = self.handshakes_max - 1))]
    pub handshakes_kept: usize,
    /// Of them, those of one source that has not; default 64, 1 to 65,000.
    #[serde(default = "default_handshakes_of_source")]
    #[garde(range(min = 1, max = 65_000))]
    pub handshakes_of_source: usize,
    /// Address of the operators' HTTPS API; default: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub operators: Option<SocketAddr>,
    /// Path of the audit log, which has a line of JSON for each change and each rejected call.
    #[garde(skip)]
    pub audit: PathBuf,
}

fn default_tenant() -> String {
    "default".into()
}

fn default_leeway() -> Duration {
    Duration::from_secs(30)
}

fn default_longest_token_life() -> Duration {
    HOUR * 24
}

fn default_reload_every() -> Duration {
    Duration::from_secs(1)
}

fn default_handshake_timeout() -> Duration {
    Duration::from_secs(5)
}

fn default_handshakes_max() -> usize {
    512
}

fn default_handshakes_kept() -> usize {
    256
}

fn default_handshakes_of_source() -> usize {
    64
}

/// Checks that callers are authenticated or only a loopback address is listened on.
pub(super) fn authenticated_or_loopback(
    listen: &Listen,
) -> impl FnOnce(&Option<Identity>, &()) -> garde::Result + '_ {
    move |identity, ()| {
        if identity.is_some() || listen.plain_on_loopback {
            Ok(())
        } else {
            Err(garde::Error::new("is needed, unless `listen.plain_on_loopback` is set"))
        }
    }
}

/// Checks that further tenants come with authentication, which tells a proxy's tenant, and have names of
/// their own.
pub(super) fn tenants_are_authenticated(
    identity: &Option<Identity>,
) -> impl FnOnce(&BTreeMap<String, Tenant>, &()) -> garde::Result + '_ {
    move |tenants, ()| {
        if tenants.is_empty() {
            return Ok(());
        }
        let Some(identity) = identity else {
            return Err(garde::Error::new("need `identity`: nothing else tells whose a proxy is"));
        };
        if tenants.contains_key(&identity.tenant) {
            return Err(garde::Error::new(format!("`{}` is the settings' own tenant", identity.tenant)));
        }
        Ok(())
    }
}
