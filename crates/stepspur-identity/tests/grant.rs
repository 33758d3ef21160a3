//! Tests of grants from certificates and tokens.

mod common;

use common::{Folder, NOW, SECOND, claims, one_key};
use stepspur_identity::cert::{CertCaller, Role};
use stepspur_identity::grant::{Denied, EXPIRY_NOTICE, Grant, GrantStatus};
use stepspur_identity::keys::{KeySet, Manifest, Signer};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::token::{Claims, TokenPolicy, VerifiedToken, issue, verify};

/// When grants from [`common::claims`] expire, in microseconds since 1970, including the leeway.
const EXPIRES_AT: u64 = NOW + 630 * SECOND;

/// A folder of keys, and the signer of tokens that they accept.
struct Issuer {
    folder: Folder,
    manifest: Manifest,
    signer: Signer,
    keys: KeySet,
}

impl Issuer {
    fn new(test: &str) -> Self {
        let (folder, manifest, signer) = one_key(test);
        let keys = folder.load();
        Self { folder, manifest, signer, keys }
    }

    /// Issues and verifies a token, whose claims are those of [`claims`] after `change`.
    fn token(&self, change: impl Fn(&mut Claims)) -> VerifiedToken {
        let mut claims = claims();
        change(&mut claims);
        let token = issue(&self.signer, &claims);
        verify(token.as_bytes(), &self.keys, TokenPolicy::default(), NOW).unwrap()
    }

    /// The grant of a caller that presents only a token.
    fn grant_of_token(&self, change: impl Fn(&mut Claims)) -> Grant {
        Grant::new(None, Some(self.token(change)), &self.keys).unwrap()
    }

    /// The grant of a caller that presents a certificate and a token.
    fn grant_of_both(&self, change: impl Fn(&mut Claims)) -> Result<Grant, Denied> {
        Grant::new(Some(certificate("a")), Some(self.token(change)), &self.keys)
    }
}

fn only(right: Right) -> Rights {
    [right].into_iter().collect()
}

/// The certificate of the proxy `p-1` in this zone.
fn certificate(zone: &str) -> CertCaller {
    let role = Role::Proxy { zone: zone.into(), name: "p-1".into() };
    CertCaller { tenant: "north".into(), role, serial: vec![7], expires_at: NOW + 900 * SECOND }
}

/// A right must not imply another one, and no right outlives the grant.
#[test]
fn may_with_each_single_right_allows_only_that_right_until_expiry() {
    let issuer = Issuer::new("grant-rights");
    for held in Right::ALL {
        let grant = issuer.grant_of_token(|claims| claims.rights = only(held));
        for required in Right::ALL {
            assert_eq!(grant.check(required, NOW).is_ok(), held == required, "{held:?} {required:?}");
        }
        assert_eq!(grant.check(held, EXPIRES_AT), Err(Denied::Expired));
    }
}

/// A proxy must not join under the name or in the zone of another proxy.
#[test]
fn may_join_allows_only_own_name_and_zone() {
    let issuer = Issuer::new("grant-join");
    let both = issuer.grant_of_both(|_| {}).unwrap();
    assert_eq!(both.check_join("p-1", "a", NOW), Ok(()));
    assert_eq!(both.check_join("p-2", "a", NOW), Err(Denied::NameOrZone));
    assert_eq!(both.check_join("p-1", "b", NOW), Err(Denied::NameOrZone), "a certificate for another zone");
    let reader = issuer.grant_of_both(|claims| claims.rights = only(Right::ReadStatus)).unwrap();
    assert_eq!(reader.check_join("p-1", "a", NOW), Err(Denied::MissingRight));
}

/// A stolen token must not be usable with the certificate of a different caller.
#[test]
fn new_with_token_of_different_caller_or_without_credentials_is_denied() {
    let issuer = Issuer::new("grant-mismatch");
    let mismatch = Err(Denied::CallerMismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.tenant = "south".into()), mismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.sub = "p-2".into()), mismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.zone = Some("b".into())), mismatch);
    assert_eq!(Grant::new(None, None, &issuer.keys), Err(Denied::NoCredentials));
}

/// The expiry is announced before it takes effect. A clock that jumps forward ends the grant, and a clock
/// that jumps back does not extend it.
#[test]
fn status_announces_expiry_and_does_not_depend_on_clock_jumps() {
    let issuer = Issuer::new("grant-status");
    let grant = issuer.grant_of_both(|_| {}).unwrap();
    let valid = GrantStatus::Valid { renew_at: EXPIRES_AT - EXPIRY_NOTICE };
    assert_eq!(grant.status(&issuer.keys, NOW), valid);
    assert_eq!(grant.status(&issuer.keys, EXPIRES_AT - 5), GrantStatus::Expiring { remaining: 5 });
    assert_eq!(grant.status(&issuer.keys, EXPIRES_AT), GrantStatus::Ended(Denied::Expired));
    assert_eq!(grant.status(&issuer.keys, 0), valid);
}

/// A grant must not be renewed by the token of a different caller.
#[test]
fn renew_with_newer_token_extends_grant_of_same_caller_only() {
    let issuer = Issuer::new("grant-renew");
    let mut grant = issuer.grant_of_both(|_| {}).unwrap();
    grant.renew(issuer.grant_of_token(|claims| claims.exp += 600)).unwrap();
    assert!(grant.check(Right::Join, EXPIRES_AT).is_ok());
    assert_eq!(grant.caller().zone.as_deref(), Some("a"));
    let of_other_caller = issuer.grant_of_token(|claims| claims.sub = "p-2".into());
    assert_eq!(grant.renew(of_other_caller), Err(Denied::CallerMismatch));
}

/// A revocation takes effect on grants that exist already. The manifest may write the serial number with
/// colons and leading zeros, although the certificate has none.
#[test]
fn status_with_revoked_serial_in_any_notation_ends_grant() {
    let mut issuer = Issuer::new("grant-revoked");
    let grant = issuer.grant_of_both(|_| {}).unwrap();
    issuer.manifest.revoked_serials = vec!["00:07".into()];
    issuer.folder.write(&issuer.manifest);
    let keys = issuer.folder.load();
    assert_eq!(grant.status(&keys, NOW), GrantStatus::Ended(Denied::Revoked));
    assert_eq!(Grant::new(Some(certificate("a")), None, &keys), Err(Denied::Revoked));
}
