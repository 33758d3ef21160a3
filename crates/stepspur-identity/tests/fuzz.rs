//! Fuzz targets for the parsers of unauthenticated input. `cargo test` runs them on random inputs;
//! `cargo bolero test -p stepspur-identity TARGET` runs a target with coverage guidance.

use stepspur_identity::cert;
use stepspur_identity::keys::{KeySet, Manifest, write_manifest};
use stepspur_identity::token::{TokenPolicy, decode_unverified, verify};

/// No input is accepted by a set of keys without signing keys, and none causes a panic.
#[test]
fn fuzz_token() {
    let folder = std::env::temp_dir().join(format!("stepspur-fuzz-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let manifest = Manifest { issuer: "i".into(), audience: "a".into(), ..Manifest::default() };
    write_manifest(&folder, &manifest).unwrap();
    let keys = KeySet::load(&folder).unwrap();
    bolero::check!().for_each(|bytes: &[u8]| {
        assert!(verify(bytes, &keys, TokenPolicy::default(), 1).is_err(), "no key is known");
        let _ = decode_unverified(bytes);
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// No input causes a panic.
#[test]
fn fuzz_certificate() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = cert::parse_caller(bytes);
    });
}
