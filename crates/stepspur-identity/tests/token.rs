//! Tests of tokens: validity period, signatures and malformed input.

mod common;

use common::{Folder, NOW, SECOND, claims, id, manifest, one_key};
use proptest::prelude::*;
use stepspur_identity::cert;
use stepspur_identity::keys::{KeySet, Signer};
use stepspur_identity::token::{
    Claims, TokenError, TokenPolicy, UnverifiedToken, decode_unverified, issue, verify,
};

/// The validity period, with the leeway for clocks, is exact to the microsecond. Tokens of a different issuer
/// or audience, and tokens with a longer lifetime than allowed, are rejected.
#[test]
fn verify_accepts_only_within_leeway_and_for_own_issuer_and_audience() {
    let (folder, _, signer) = one_key("validity");
    let keys = folder.load();
    let policy = TokenPolicy::default();
    let expiry = |change: &dyn Fn(&mut Claims), at: u64| {
        let mut claims = claims();
        change(&mut claims);
        verify(issue(&signer, &claims).as_bytes(), &keys, policy, at).map(|token| token.expires_at)
    };
    let unchanged = |_: &mut Claims| {};
    let expires_at = NOW + 630 * SECOND;
    assert_eq!(expiry(&unchanged, NOW), Ok(expires_at));
    assert_eq!(expiry(&unchanged, expires_at - 1), Ok(expires_at), "within the leeway for clocks");
    assert_eq!(expiry(&unchanged, expires_at), Err(TokenError::Expired));
    assert_eq!(expiry(&unchanged, NOW - 40 * SECOND), Ok(expires_at));
    assert_eq!(expiry(&unchanged, NOW - 40 * SECOND - 1), Err(TokenError::NotYetValid));
    assert_eq!(expiry(&|c| c.iss = "other".into(), NOW), Err(TokenError::IssuerOrAudience));
    assert_eq!(expiry(&|c| c.aud = "other".into(), NOW), Err(TokenError::IssuerOrAudience));
    assert_eq!(expiry(&|c| c.exp = c.nbf, NOW), Err(TokenError::Lifetime));
    assert_eq!(expiry(&|c| c.exp = c.nbf + 25 * 3600, NOW), Err(TokenError::Lifetime));
    assert_eq!(expiry(&|c| c.exp = u64::MAX, NOW), Err(TokenError::Lifetime));
}

/// The attacker controls the header: it may state no algorithm, HMAC with the public key as its secret, or a
/// different key id. None of them may be accepted.
#[test]
fn verify_with_forged_header_rejects_other_algorithms_and_keys() {
    use base64::Engine;
    let b64 = base64::engine::general_purpose::URL_SAFE_NO_PAD;
    let (folder, _, signer) = one_key("header");
    let keys = folder.load();
    let token = issue(&signer, &claims());
    let (_, rest) = token.split_once('.').unwrap();
    let with = |header: &str| {
        let token = format!("{}.{rest}", b64.encode(header));
        verify(token.as_bytes(), &keys, TokenPolicy::default(), NOW).unwrap_err()
    };
    for alg in ["none", "HS256", "ES256", "EdDSA ", "eddsa", ""] {
        assert_eq!(with(&format!(r#"{{"alg":"{alg}","kid":"k1"}}"#)), TokenError::Algorithm, "{alg}");
    }
    for kid in ["", "k2", "../k1", "/etc/passwd", "k1/../k1", "k1\u{0}", ".k1"] {
        let header = serde_json::json!({"alg": "EdDSA", "kid": kid}).to_string();
        assert_eq!(with(&header), TokenError::Key, "{kid}");
    }
    assert_eq!(with(r#"{"alg":"EdDSA"}"#), TokenError::Malformed);
    // A different key under a known id, and an empty signature.
    let other = Signer::new(id("k1"));
    let forged = issue(&other, &claims());
    assert_eq!(verify(forged.as_bytes(), &keys, TokenPolicy::default(), NOW), Err(TokenError::Signature));
    let unsigned = format!("{}.", token.rsplit_once('.').unwrap().0);
    assert_eq!(verify(unsigned.as_bytes(), &keys, TokenPolicy::default(), NOW), Err(TokenError::Malformed));
    let expected = UnverifiedToken { key: "k1".to_owned(), claims: claims() };
    assert_eq!(decode_unverified(token.as_bytes()), Ok(expected));
}

/// Any flipped bit, and truncation at any byte, must invalidate a token.
#[test]
fn verify_with_flipped_bit_or_truncation_rejects_token() {
    let (folder, _, signer) = one_key("bits");
    let (keys, token) = (folder.load(), issue(&signer, &claims()).into_bytes());
    let accepted = |token: &[u8]| verify(token, &keys, TokenPolicy::default(), NOW).is_ok();
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

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Arbitrary bytes of an unauthenticated caller lead to an error and never to a panic.
    #[test]
    fn arbitrary_bytes_are_rejected_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        dots in "[A-Za-z0-9_.-]{0,200}",
    ) {
        let keys = proptest_keys();
        for text in [&bytes[..], dots.as_bytes()] {
            prop_assert!(verify(text, &keys, TokenPolicy::default(), NOW).is_err());
            let _ = decode_unverified(text);
            let _ = cert::parse_caller(text);
        }
    }
}

fn proptest_keys() -> KeySet {
    let folder = Folder::new(&format!("fuzz-{:?}", std::thread::current().id()));
    folder.write(&manifest());
    folder.load()
}
