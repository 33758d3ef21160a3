//! Tokens, keys and grants through their public door.

use std::path::PathBuf;

use proptest::prelude::*;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType, SerialNumber};
use stepspur_identity::cert::{self, CertCaller, CertError, Role};
use stepspur_identity::door::{HandshakeLimiter, HandshakeLimits, HandshakeRejected};
use stepspur_identity::grant::{Denied, EXPIRY_NOTICE, Grant, GrantStatus};
use stepspur_identity::keys::{
    KeyId, KeySet, KeyState, MANIFEST, Manifest, Signer, read_manifest, write_manifest,
};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::token::{Claims, Terms, TokenError, inspect, issue, verify};

const SECOND: u64 = 1_000_000;
const NOW: u64 = 1_800_000_000 * SECOND;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("stepspur-identity-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, manifest: &Manifest) {
        write_manifest(&self.0, manifest).unwrap();
    }

    fn load(&self) -> KeySet {
        KeySet::load(&self.0).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn id(name: &str) -> KeyId {
    KeyId::try_from(name.to_owned()).unwrap()
}

fn manifest() -> Manifest {
    Manifest { issuer: "desk".into(), audience: "conductors".into(), ..Manifest::default() }
}

/// A set with one active key.
fn one_key(test: &str) -> (Folder, Manifest, Signer) {
    let (folder, mut manifest, signer) = (Folder::new(test), manifest(), Signer::new(id("k1")));
    manifest.rotate(Some(&signer));
    folder.write(&manifest);
    (folder, manifest, signer)
}

fn claims() -> Claims {
    Claims {
        iss: "desk".into(),
        aud: "conductors".into(),
        sub: "p-1".into(),
        tenant: "north".into(),
        zone: Some("a".into()),
        rights: Rights::PROXY,
        nbf: NOW / SECOND - 10,
        exp: NOW / SECOND + 600,
    }
}

#[test]
fn a_token_holds_from_its_begin_to_its_end_and_for_its_parties() {
    let (folder, _, signer) = one_key("terms");
    let (keys, terms) = (folder.load(), Terms::default());
    let told = |change: &dyn Fn(&mut Claims), at: u64| {
        let mut claims = claims();
        change(&mut claims);
        verify(issue(&signer, &claims).as_bytes(), &keys, terms, at).map(|a| a.until)
    };
    let as_it_is = |_: &mut Claims| {};
    let end = NOW + 630 * SECOND;
    assert_eq!(told(&as_it_is, NOW), Ok(end));
    assert_eq!(told(&as_it_is, end - 1), Ok(end), "leeway for clocks");
    assert_eq!(told(&as_it_is, end), Err(TokenError::Late));
    assert_eq!(told(&as_it_is, NOW - 40 * SECOND), Ok(end));
    assert_eq!(told(&as_it_is, NOW - 40 * SECOND - 1), Err(TokenError::Early));
    assert_eq!(told(&|c| c.iss = "other".into(), NOW), Err(TokenError::Party));
    assert_eq!(told(&|c| c.aud = "other".into(), NOW), Err(TokenError::Party));
    assert_eq!(told(&|c| c.exp = c.nbf, NOW), Err(TokenError::Life));
    assert_eq!(told(&|c| c.exp = c.nbf + 25 * 3600, NOW), Err(TokenError::Life));
    assert_eq!(told(&|c| c.exp = u64::MAX, NOW), Err(TokenError::Life));
}

/// None, HMAC with the public key, a swapped name: the header chooses nothing.
#[test]
fn the_header_never_chooses_the_algorithm_or_a_file() {
    use base64::Engine;
    let b64 = base64::engine::general_purpose::URL_SAFE_NO_PAD;
    let (folder, _, signer) = one_key("header");
    let keys = folder.load();
    let token = issue(&signer, &claims());
    let (_, rest) = token.split_once('.').unwrap();
    let with = |header: &str| {
        let token = format!("{}.{rest}", b64.encode(header));
        verify(token.as_bytes(), &keys, Terms::default(), NOW).unwrap_err()
    };
    for alg in ["none", "HS256", "ES256", "EdDSA ", "eddsa", ""] {
        assert_eq!(with(&format!(r#"{{"alg":"{alg}","kid":"k1"}}"#)), TokenError::Algorithm, "{alg}");
    }
    for kid in ["", "k2", "../k1", "/etc/passwd", "k1/../k1", "k1\u{0}", ".k1"] {
        let header = serde_json::json!({"alg": "EdDSA", "kid": kid}).to_string();
        assert_eq!(with(&header), TokenError::Key, "{kid}");
    }
    assert_eq!(with(r#"{"alg":"EdDSA"}"#), TokenError::Form);
    // Another's key under a known name; no signature at all.
    let other = Signer::new(id("k1"));
    let forged = issue(&other, &claims());
    assert_eq!(verify(forged.as_bytes(), &keys, Terms::default(), NOW), Err(TokenError::Signature));
    let bare = format!("{}.", token.rsplit_once('.').unwrap().0);
    assert_eq!(verify(bare.as_bytes(), &keys, Terms::default(), NOW), Err(TokenError::Form));
    assert_eq!(inspect(token.as_bytes()).unwrap(), ("k1".to_owned(), claims()));
}

/// Every bit and every cut of a token, whole: none but the token itself is accepted.
#[test]
fn no_flipped_bit_and_no_cut_is_accepted() {
    let (folder, _, signer) = one_key("bits");
    let (keys, token) = (folder.load(), issue(&signer, &claims()).into_bytes());
    let accepted = |token: &[u8]| verify(token, &keys, Terms::default(), NOW).is_ok();
    assert!(accepted(&token));
    for at in 0..token.len() {
        for bit in 0..8 {
            let mut flipped = token.clone();
            flipped[at] ^= 1 << bit;
            assert!(!accepted(&flipped), "byte {at}, bit {bit}");
        }
        assert!(!accepted(&token[..at]) && !accepted(&token[at + 1..]));
    }
    assert!(!accepted(&[&token[..], b"A"].concat()) && !accepted(&[&token[..], &token[..]].concat()));
}

/// A key's life: next, active, retiring, revoked; tokens hold through a rotation and end with the revocation.
#[test]
fn a_rotation_refuses_nobody_and_a_revocation_ends_what_rests_on_the_key() {
    let (folder, mut manifest, old) = one_key("rotation");
    let states = |m: &Manifest| m.signing.iter().map(|k| k.state).collect::<Vec<_>>();
    let (new, token) = (Signer::new(id("k2")), issue(&old, &claims()));
    let grant = Grant::new(
        None,
        verify(token.as_bytes(), &folder.load(), Terms::default(), NOW).ok(),
        &folder.load(),
    );
    let grant = grant.unwrap();
    let accepted = |signer: &Signer| {
        verify(issue(signer, &claims()).as_bytes(), &folder.load(), Terms::default(), NOW).is_ok()
    };
    assert!(!accepted(&new));
    manifest.rotate(Some(&new));
    assert_eq!(states(&manifest), [KeyState::Active, KeyState::Next]);
    folder.write(&manifest);
    assert!(accepted(&old) && accepted(&new), "known before it is used");
    manifest.rotate(None);
    assert_eq!(
        (states(&manifest), manifest.active()),
        (vec![KeyState::Retiring, KeyState::Active], Some(&id("k2")))
    );
    folder.write(&manifest);
    assert!(accepted(&old) && accepted(&new));
    assert!(matches!(grant.status(&folder.load(), NOW), GrantStatus::Holds { .. }));
    manifest.signing[0].state = KeyState::Revoked;
    folder.write(&manifest);
    assert!(!accepted(&old) && accepted(&new));
    assert_eq!(grant.status(&folder.load(), NOW), GrantStatus::Over(Denied::Revoked));
}

#[test]
fn a_bad_set_is_refused_whole_with_the_fault_named() {
    let (folder, manifest, signer) = one_key("faults");
    let path = folder.0.join(MANIFEST);
    let text = std::fs::read_to_string(&path).unwrap();
    let public = signer.public();
    let cases = [
        (text.replace("issuer = \"desk\"", "issuer = \"\""), "issuer"),
        (text.replace("state = \"active\"", "state = \"fresh\""), "fresh"),
        (text.replace(&public, &public[1..]), "k1"),
        (text.replace("id = \"k1\"", "id = \"../k1\""), "key id"),
        (format!("{text}\n[[anchor]]\nfile = \"ca.pem\"\nstate = \"active\""), "ca.pem"),
        (format!("{text}\n[[anchor]]\nfile = \"../ca.pem\"\nstate = \"active\""), "folder"),
        (text[..text.len() / 2].to_owned(), "identity.toml"),
        (format!("revoked_serials = [\"xyz\"]\n{text}"), "xyz"),
        (format!("{text}\n[[signing]]\nid = \"k1\"\nstate = \"next\"\npublic = \"{public}\""), "twice"),
    ];
    for (text, named) in cases {
        std::fs::write(&path, &text).unwrap();
        let fault = KeySet::load(&folder.0).unwrap_err().to_string();
        assert!(fault.contains(named), "{named}: {fault}");
    }
    std::fs::remove_file(&path).unwrap();
    assert!(KeySet::load(&folder.0).unwrap_err().to_string().contains(MANIFEST));
    assert!(read_manifest(&folder.0).unwrap().signing.is_empty());
    folder.write(&manifest);
    assert!(folder.load().verifier("k1").is_some());
}

#[test]
fn private_keys_are_for_their_owner_alone_and_never_written_over() {
    use std::os::unix::fs::PermissionsExt;
    let (folder, _, signer) = one_key("private");
    signer.save(&folder.0).unwrap();
    let mode = std::fs::metadata(folder.0.join("k1.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(Signer::new(id("k1")).save(&folder.0).is_err());
    assert_eq!(Signer::load(&folder.0, id("k1")).unwrap().public(), signer.public());
    let secret = std::fs::read_to_string(folder.0.join("k1.key")).unwrap();
    assert!(!format!("{signer:?}").contains(secret.trim()));
}

fn a_cert(uris: &[&str]) -> Vec<u8> {
    let ca = KeyPair::generate().unwrap();
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = Issuer::from_params(&params, &ca);
    let mut leaf = CertificateParams::default();
    leaf.serial_number = Some(SerialNumber::from(vec![0x0a, 0x1b]));
    leaf.subject_alt_names = uris.iter().map(|uri| SanType::URI((*uri).try_into().unwrap())).collect();
    let key = KeyPair::generate().unwrap();
    leaf.signed_by(&key, &issuer).unwrap().der().to_vec()
}

#[test]
fn names_in_certificates_map_by_the_stated_rule() {
    let proxy = Role::Proxy { zone: "a".into(), name: "p-1".into() };
    let known = cert::caller(&a_cert(&["https://elsewhere/", "stepspur://north/proxy/a/p-1"])).unwrap();
    assert_eq!((known.tenant.as_str(), &known.role, &known.serial[..]), ("north", &proxy, &[0x0a, 0x1b][..]));
    let operator = cert::caller(&a_cert(&["stepspur://north/operator/ann"])).unwrap();
    assert_eq!(operator.role, Role::Operator { name: "ann".into() });
    for uris in [
        &["stepspur://north/proxy/a"][..],
        &["stepspur://north/proxy/a/p-1/x"],
        &["stepspur:///proxy/a/p-1"],
        &["stepspur://north/proxy/a/p%2d1"],
        &["stepspur://north/king/ann"],
        &["stepspur://north/operator/ann", "stepspur://south/operator/ann"],
        &["https://elsewhere/"],
        &[],
    ] {
        assert_eq!(cert::caller(&a_cert(uris)), Err(CertError::Name), "{uris:?}");
    }
    assert_eq!(cert::caller(b"no certificate"), Err(CertError::Form));
}

fn of_cert(zone: &str) -> CertCaller {
    let role = Role::Proxy { zone: zone.into(), name: "p-1".into() };
    CertCaller { tenant: "north".into(), role, serial: vec![7], until: NOW + 900 * SECOND }
}

/// Every right against every call; names and zones; ends; revocation by serial; a clock that jumps.
#[test]
fn rights_bind_on_every_call_and_end_with_what_they_rest_on() {
    let (folder, mut manifest, signer) = one_key("grants");
    let keys = folder.load();
    let token = |change: &dyn Fn(&mut Claims)| {
        let mut claims = claims();
        change(&mut claims);
        verify(issue(&signer, &claims).as_bytes(), &keys, Terms::default(), NOW).unwrap()
    };
    for held in Right::ALL {
        let grant =
            Grant::new(None, Some(token(&|c| c.rights = [held].into_iter().collect())), &keys).unwrap();
        for asked in Right::ALL {
            assert_eq!(grant.may(asked, NOW).is_ok(), held == asked, "{held:?} {asked:?}");
        }
        assert_eq!(grant.may(held, NOW + 630 * SECOND), Err(Denied::Ended));
    }
    let both = Grant::new(Some(of_cert("a")), Some(token(&|_| {})), &keys).unwrap();
    assert_eq!(both.may_join("p-1", "a", NOW), Ok(()));
    assert_eq!(both.may_join("p-2", "a", NOW), Err(Denied::Name));
    assert_eq!(both.may_join("p-1", "b", NOW), Err(Denied::Name), "a certificate for another zone");
    let reads = Grant::new(
        Some(of_cert("a")),
        Some(token(&|c| c.rights = [Right::ReadStatus].into_iter().collect())),
        &keys,
    );
    assert_eq!(reads.unwrap().may_join("p-1", "a", NOW), Err(Denied::Right));
    for change in [
        &(|c: &mut Claims| c.tenant = "south".into()) as &dyn Fn(&mut Claims),
        &|c| c.sub = "p-2".into(),
        &|c| c.zone = Some("b".into()),
    ] {
        assert_eq!(Grant::new(Some(of_cert("a")), Some(token(change)), &keys), Err(Denied::Mismatch));
    }
    assert_eq!(Grant::new(None, None, &keys), Err(Denied::Nobody));
    // Its end comes with notice; a clock that jumps forward ends it, one that jumps back gives nothing new.
    let end = NOW + 630 * SECOND;
    assert_eq!(both.status(&keys, NOW), GrantStatus::Holds { until: end - EXPIRY_NOTICE });
    assert_eq!(both.status(&keys, end - 5), GrantStatus::Renew { left: 5 });
    assert_eq!(both.status(&keys, end), GrantStatus::Over(Denied::Ended));
    assert_eq!(both.status(&keys, 0), GrantStatus::Holds { until: end - EXPIRY_NOTICE });
    // Renewed in the stream by its own newer token alone.
    let mut renewed = both.clone();
    let later = token(&|c| c.exp += 600);
    renewed.renew(Grant::new(None, Some(later), &keys).unwrap()).unwrap();
    assert!(renewed.may(Right::Join, end).is_ok() && renewed.caller().zone.as_deref() == Some("a"));
    assert_eq!(
        renewed.renew(Grant::new(None, Some(token(&|c| c.sub = "p-2".into())), &keys).unwrap()),
        Err(Denied::Mismatch)
    );
    // By serial, however it is written.
    manifest.revoked_serials = vec!["00:07".into()];
    folder.write(&manifest);
    assert_eq!(both.status(&folder.load(), NOW), GrantStatus::Over(Denied::Revoked));
    assert_eq!(Grant::new(Some(of_cert("a")), None, &folder.load()), Err(Denied::Revoked));
}

/// Without the kept share strangers would take every place.
#[test]
fn strangers_never_take_the_places_of_known_sources() {
    let ip = |k: u8| std::net::IpAddr::from([127, 0, 0, k]);
    let limits = HandshakeLimits { all: 10, kept: 4, per_stranger: 3, known_for: 100, known_most: 2 };
    let mut door = HandshakeLimiter::new(limits);
    let place = door.enter(ip(1), 0).unwrap();
    door.leave(place, true, 0);
    let places: Vec<_> = (0..3).map(|_| door.enter(ip(2), 1).unwrap()).collect();
    assert_eq!(door.enter(ip(2), 1), Err(HandshakeRejected::Source));
    let more: Vec<_> = (3..6).map(|k| door.enter(ip(k), 1).unwrap()).collect();
    assert_eq!(door.enter(ip(9), 1), Err(HandshakeRejected::All), "strangers have six places");
    let known: Vec<_> = (0..4).map(|_| door.enter(ip(1), 1).unwrap()).collect();
    assert_eq!((door.under_way(), door.enter(ip(1), 1)), ((6, 4), Err(HandshakeRejected::All)));
    places.into_iter().chain(more).chain(known).for_each(|p| door.leave(p, false, 2));
    assert_eq!(door.under_way(), (0, 0));
    let late: Vec<_> = (0..3).map(|_| door.enter(ip(1), 101).unwrap()).collect();
    assert_eq!(
        door.enter(ip(1), 101),
        Err(HandshakeRejected::Source),
        "what was proved long ago is forgotten"
    );
    drop(late);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Whatever a stranger sends is an error, never a panic.
    #[test]
    fn strangers_bytes_are_only_ever_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), dots in "[A-Za-z0-9_.-]{0,200}") {
        let keys = proptest_keys();
        for text in [&bytes[..], dots.as_bytes()] {
            prop_assert!(verify(text, &keys, Terms::default(), NOW).is_err());
            let _ = inspect(text);
            let _ = cert::caller(text);
        }
    }
}

fn proptest_keys() -> KeySet {
    let folder = Folder::new(&format!("fuzz-{:?}", std::thread::current().id()));
    folder.write(&manifest());
    folder.load()
}
