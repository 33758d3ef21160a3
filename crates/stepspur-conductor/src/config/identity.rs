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
    /// Directory of `identity.toml` and of the certificates and keys that it names; required.
    #[garde(skip)]
    pub folder: PathBuf,
    /// Name of the tenant that the top-level settings belong to, default `default`, 1 to 128 bytes.
    #[serde(default = "default_tenant")]
    #[garde(length(min = 1, max = 128))]
    pub tenant: String,
    /// Whether client certificates are `required`, `optional` or `off`; default `required`.
    #[serde(default)]
    #[garde(skip)]
    pub certificates: ClientCertificates,
    /// If true, callers must present a token as well; default false.
    #[serde(default)]
    #[garde(skip)]
    pub tokens_required: bool,
    /// Tolerated difference between the clocks of issuers and this machine, default 30 s, up to 300 s.
    #[serde(default = "default_leeway", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(300))))]
    pub leeway: Duration,
    /// Maximum lifetime of a token, default 24 h, 1 s to 30 days.
    #[serde(default = "default_longest_token_life", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(1), HOUR * 24 * 30)))]
    pub longest_token_life: Duration,
    /// Interval between checks of the directory for changes, default 1 s, 10 ms to 1 h. A revocation closes
    /// streams within this time plus half a second.
    #[serde(default = "default_reload_every", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub reload_every: Duration,
    /// Time limit of the TLS handshake and the first message together, default 5 s, 10 ms to 1 h.
    #[serde(default = "default_handshake_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub handshake_timeout: Duration,
    /// Maximum number of concurrent handshakes, default 512, 2 to 65,000.
    #[serde(default = "default_handshakes_max")]
    #[garde(range(min = 2, max = 65_000))]
    pub handshakes_max: usize,
    /// Number of them that are reserved for source addresses that authenticated within the last hour; default
    /// 256, 1 to `handshakes_max` - 1.
    #[serde(default = "default_handshakes_kept")]
    #[garde(range(min = 1, max = self.handshakes_max - 1))]
    pub handshakes_kept: usize,
    /// Maximum number of concurrent handshakes of one source address that did not authenticate within the
    /// last hour; default 64, 1 to 65,000.
    #[serde(default = "default_handshakes_of_source")]
    #[garde(range(min = 1, max = 65_000))]
    pub handshakes_of_source: usize,
    /// Address of the operators' HTTPS API; default: none, and no such API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub operators: Option<SocketAddr>,
    /// Path of the audit log, which receives a line of JSON for each change and each rejected call; required.
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

/// Checks that callers are authenticated, or that plain connections on a loopback address are explicitly
/// allowed.
pub(super) fn authenticated_or_loopback(
    listen: &Listen,
) -> impl FnOnce(&Option<Identity>, &()) -> garde::Result + '_ {
    move |identity, ()| {
        if identity.is_some() || listen.plain_on_loopback {
            Ok(())
        } else {
            Err(garde::Error::new("is required unless `listen.plain_on_loopback` is set"))
        }
    }
}

/// Checks that further tenants are configured only together with authentication, which determines the tenant
/// of a proxy, and that none has the name of the top-level settings' tenant.
pub(super) fn tenants_are_authenticated(
    identity: &Option<Identity>,
) -> impl FnOnce(&BTreeMap<String, Tenant>, &()) -> garde::Result + '_ {
    move |tenants, ()| {
        if tenants.is_empty() {
            return Ok(());
        }
        let Some(identity) = identity else {
            return Err(garde::Error::new("require `identity`, which determines the tenant of a proxy"));
        };
        if tenants.contains_key(&identity.tenant) {
            return Err(garde::Error::new(format!(
                "`{}` is already the tenant of the top-level settings",
                identity.tenant
            )));
        }
        Ok(())
    }
}
