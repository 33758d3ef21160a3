//! Tests of folders of keys: rotation, invalid manifests and private files.

mod common;

use common::{NOW, claims, id, one_key};
use stepspur_identity::grant::{Denied, Grant, GrantStatus};
use stepspur_identity::keys::{KeySet, KeyState, MANIFEST, Manifest, Signer, read_manifest};
use stepspur_identity::token::{TokenPolicy, issue, verify};

/// Tokens of both keys stay valid throughout a rotation (next, active, retiring). Revoking the old key ends
/// its grants. A rotation in the wrong order would reject tokens that are still in use.
#[test]
fn rotate_in_two_steps_accepts_all_tokens_and_revocation_ends_grants() {
    let (folder, mut manifest, old) = one_key("rotation");
    let states = |m: &Manifest| m.signing.iter().map(|k| k.state).collect::<Vec<_>>();
    let (new, token) = (Signer::new(id("k2")), issue(&old, &claims()));
    let grant = Grant::new(
        None,
        verify(token.as_bytes(), &folder.load(), TokenPolicy::default(), NOW).ok(),
        &folder.load(),
    );
    let grant = grant.unwrap();
    let accepted = |signer: &Signer| {
        verify(issue(signer, &claims()).as_bytes(), &folder.load(), TokenPolicy::default(), NOW).is_ok()
    };
    assert!(!accepted(&new));
    manifest.rotate(Some(&new));
    assert_eq!(states(&manifest), [KeyState::Active, KeyState::Next]);
    folder.write(&manifest);
    assert!(accepted(&old) && accepted(&new), "the new key is accepted before it signs");
    manifest.rotate(None);
    assert_eq!(
        (states(&manifest), manifest.active()),
        (vec![KeyState::Retiring, KeyState::Active], Some(&id("k2")))
    );
    folder.write(&manifest);
    assert!(accepted(&old) && accepted(&new));
    assert!(matches!(grant.status(&folder.load(), NOW), GrantStatus::Valid { .. }));
    manifest.signing[0].state = KeyState::Revoked;
    folder.write(&manifest);
    assert!(!accepted(&old) && accepted(&new));
    assert_eq!(grant.status(&folder.load(), NOW), GrantStatus::Ended(Denied::Revoked));
}

/// An invalid manifest is rejected as a whole, and the error names the faulty value or file, so that an
/// operator can correct it.
#[test]
fn load_with_invalid_manifest_names_the_fault() {
    let (folder, manifest, signer) = one_key("faults");
    let path = folder.0.join(MANIFEST);
    let text = std::fs::read_to_string(&path).unwrap();
    let public = signer.public_key();
    let cases = [
        (text.replace("issuer = \"issuer\"", "issuer = \"\""), "issuer"),
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
    assert!(folder.load().accepted_key(&id("k1")).is_some());
}

/// A private key must be neither readable by other users nor lost by overwriting nor printed.
#[test]
fn save_private_key_is_owner_only_and_never_overwrites() {
    use std::os::unix::fs::PermissionsExt;
    let (folder, _, signer) = one_key("private");
    signer.save(&folder.0).unwrap();
    let mode = std::fs::metadata(folder.0.join("k1.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(Signer::new(id("k1")).save(&folder.0).is_err());
    assert_eq!(Signer::load(&folder.0, id("k1")).unwrap().public_key(), signer.public_key());
    let secret = std::fs::read_to_string(folder.0.join("k1.key")).unwrap();
    assert!(!format!("{signer:?}").contains(secret.trim()));
}
