//! Grants from certificates and tokens.

mod common;

use common::{Folder, NOW, SECOND, claims, one_key};
use stepspur_identity::cert::{CertCaller, Role};
use stepspur_identity::grant::{Denied, EXPIRY_NOTICE, Grant, GrantStatus};
use stepspur_identity::keys::{KeySet, Manifest, Signer};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::token::{Claims, TokenPolicy, VerifiedToken, issue, verify};

/// The end of the grants from [`common::claims`], in microseconds since 1970: its leeway is included.
const END: u64 = NOW + 630 * SECOND;

/// Keys, and tokens that one of them signs.
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

    /// A token with changed claims.
    fn token(&self, change: impl Fn(&mut Claims)) -> VerifiedToken {
        let mut claims = claims();
        change(&mut claims);
        let token = issue(&self.signer, &claims);
        verify(token.as_bytes(), &self.keys, TokenPolicy::default(), NOW).unwrap()
    }

    fn grant_of_token(&self, change: impl Fn(&mut Claims)) -> Grant {
        Grant::new(None, Some(self.token(change)), &self.keys).unwrap()
    }

    /// The grant of a caller that shows a certificate, too.
    fn grant_of_both(&self, change: impl Fn(&mut Claims)) -> Result<Grant, Denied> {
        Grant::new(Some(certificate("a")), Some(self.token(change)), &self.keys)
    }
}

fn only(right: Right) -> Rights {
    [right].into_iter().collect()
}

fn certificate(zone: &str) -> CertCaller {
    let role = Role::Proxy { zone: zone.into(), name: "p-1".into() };
    CertCaller { tenant: "north".into(), role, serial: vec![7], expires_at: NOW + 900 * SECOND }
}

#[test]
fn may_with_each_single_right_allows_that_right_alone_until_the_end() {
    let issuer = Issuer::new("grant-rights");
    for held in Right::ALL {
        let grant = issuer.grant_of_token(|claims| claims.rights = only(held));
        for required in Right::ALL {
            assert_eq!(grant.may(required, NOW).is_ok(), held == required, "{held:?} {required:?}");
        }
        assert_eq!(grant.may(held, END), Err(Denied::Expired));
    }
}

#[test]
fn may_join_allows_only_own_name_and_zone() {
    let issuer = Issuer::new("grant-join");
    let both = issuer.grant_of_both(|_| {}).unwrap();
    assert_eq!(both.may_join("p-1", "a", NOW), Ok(()));
    assert_eq!(both.may_join("p-2", "a", NOW), Err(Denied::Name));
    assert_eq!(both.may_join("p-1", "b", NOW), Err(Denied::Name), "a certificate for another zone");
    let reader = issuer.grant_of_both(|claims| claims.rights = only(Right::ReadStatus)).unwrap();
    assert_eq!(reader.may_join("p-1", "a", NOW), Err(Denied::MissingRight));
}

#[test]
fn new_with_token_of_another_caller_or_nothing_is_denied() {
    let issuer = Issuer::new("grant-mismatch");
    let mismatch = Err(Denied::CallerMismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.tenant = "south".into()), mismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.sub = "p-2".into()), mismatch);
    assert_eq!(issuer.grant_of_both(|claims| claims.zone = Some("b".into())), mismatch);
    assert_eq!(Grant::new(None, None, &issuer.keys), Err(Denied::NoCredentials));
}

/// The end comes with notice. A clock that jumps forward ends the grant; one that jumps back does not extend
/// it.
#[test]
fn status_before_and_at_the_end_announces_it_whatever_the_clock_does() {
    let issuer = Issuer::new("grant-status");
    let grant = issuer.grant_of_both(|_| {}).unwrap();
    let valid = GrantStatus::Valid { renew_at: END - EXPIRY_NOTICE };
    assert_eq!(grant.status(&issuer.keys, NOW), valid);
    assert_eq!(grant.status(&issuer.keys, END - 5), GrantStatus::Expiring { remaining: 5 });
    assert_eq!(grant.status(&issuer.keys, END), GrantStatus::Ended(Denied::Expired));
    assert_eq!(grant.status(&issuer.keys, 0), valid);
}

#[test]
fn renew_with_newer_token_extends_the_grant_of_the_same_caller_alone() {
    let issuer = Issuer::new("grant-renew");
    let mut grant = issuer.grant_of_both(|_| {}).unwrap();
    grant.renew(issuer.grant_of_token(|claims| claims.exp += 600)).unwrap();
    assert!(grant.may(Right::Join, END).is_ok());
    assert_eq!(grant.caller().zone.as_deref(), Some("a"));
    let of_another = issuer.grant_of_token(|claims| claims.sub = "p-2".into());
    assert_eq!(grant.renew(of_another), Err(Denied::CallerMismatch));
}

#[test]
fn status_with_revoked_serial_in_any_notation_ends_the_grant() {
    let mut issuer = Issuer::new("grant-revoked");
    let grant = issuer.grant_of_both(|_| {}).unwrap();
    issuer.manifest.revoked_serials = vec!["00:07".into()];
    issuer.folder.write(&issuer.manifest);
    let keys = issuer.folder.load();
    assert_eq!(grant.status(&keys, NOW), GrantStatus::Ended(Denied::Revoked));
    assert_eq!(Grant::new(Some(certificate("a")), None, &keys), Err(Denied::Revoked));
}
