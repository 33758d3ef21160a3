//! Tokens: JSON web tokens (RFC 7519) signed by Ed25519 (RFC 8037), and by nothing else.
//!
//! The header's `alg` must be `EdDSA`; it never chooses the algorithm. `kid` names a key of the set.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{Signature, Signer as _};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::keys::{KeyId, KeySet, Signer};
use crate::rights::Rights;

/// The longest token that is looked at, in bytes.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// What a token says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// Who issued it.
    pub iss: String,
    /// For whom.
    pub aud: String,
    /// The caller's name: of a proxy, the one that it joins with.
    pub sub: String,
    /// Its tenant.
    pub tenant: String,
    /// The zone that it may join in; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its rights.
    pub rights: Rights,
    /// Not before, seconds since 1970.
    pub nbf: u64,
    /// Not at or after, seconds since 1970.
    pub exp: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Header {
    alg: String,
    kid: String,
}

/// What is accepted.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Clocks may differ by so much.
    pub leeway: Micros,
    /// A token may live for so long at most.
    pub longest_life: Micros,
}

impl Default for Terms {
    fn default() -> Self {
        Self { leeway: 30_000_000, longest_life: 24 * 3600 * 1_000_000 }
    }
}

/// Why a token is refused. For logs: a caller is told nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Not three parts of base64, or too long.
    #[error("not a token")]
    Form,
    /// The header asks for another algorithm.
    #[error("another algorithm than EdDSA")]
    Algorithm,
    /// No such key, or it is revoked.
    #[error("the key is unknown or revoked")]
    Key,
    /// Not signed by that key.
    #[error("the signature is wrong")]
    Signature,
    /// Signed, and yet no claims.
    #[error("the claims cannot be read")]
    Claims,
    /// Of another issuer, or for another audience.
    #[error("another issuer or audience")]
    Party,
    /// Not valid yet.
    #[error("not valid yet")]
    Early,
    /// No longer valid.
    #[error("no longer valid")]
    Late,
    /// Its life is longer than accepted, or ends before it begins.
    #[error("its life is too long, or none")]
    Life,
}

/// A token that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// What it says.
    pub claims: Claims,
    /// The key that it rests on.
    pub key: KeyId,
    /// When it ends, without leeway: what rests on it ends then.
    pub until: Micros,
}

/// Makes a token.
pub fn issue(signer: &Signer, claims: &Claims) -> String {
    let header = Header { alg: "EdDSA".into(), kid: signer.id.to_string() };
    let json = |part: Result<String, serde_json::Error>| BASE64.encode(part.unwrap_or_default());
    let body = format!("{}.{}", json(serde_json::to_string(&header)), json(serde_json::to_string(claims)));
    let signature = signer.key().sign(body.as_bytes());
    format!("{body}.{}", BASE64.encode(signature.to_bytes()))
}

/// Reads a token without believing it: its key's name and its claims.
///
/// # Errors
/// [`TokenError::Form`] or [`TokenError::Claims`].
pub fn inspect(token: &[u8]) -> Result<(String, Claims), TokenError> {
    let (header, claims, _) = split(token)?;
    let header: Header = part(header).ok_or(TokenError::Form)?;
    Ok((header.kid, part(claims).ok_or(TokenError::Claims)?))
}

/// Verifies a token against a set of keys at a time.
///
/// # Errors
/// See [`TokenError`].
pub fn verify(token: &[u8], keys: &KeySet, terms: Terms, now: Micros) -> Result<Accepted, TokenError> {
    let (header, body, signature) = split(token)?;
    let Header { alg, kid } = part(header).ok_or(TokenError::Form)?;
    if alg != "EdDSA" {
        return Err(TokenError::Algorithm);
    }
    let key = KeyId::try_from(kid).map_err(|_| TokenError::Key)?;
    let verifier = keys.verifier(&key.to_string()).ok_or(TokenError::Key)?;
    let signature = BASE64.decode(signature).ok().and_then(|s| Signature::from_slice(&s).ok());
    let signed = &token[..header.len() + 1 + body.len()];
    let fits = verifier.verify_strict(signed, &signature.ok_or(TokenError::Form)?);
    fits.map_err(|_| TokenError::Signature)?;
    let claims: Claims = part(body).ok_or(TokenError::Claims)?;
    if claims.iss != keys.issuer || claims.aud != keys.audience {
        return Err(TokenError::Party);
    }
    let [from, until] = [claims.nbf, claims.exp].map(|s| s.saturating_mul(1_000_000));
    if until <= from || until - from > terms.longest_life {
        return Err(TokenError::Life);
    }
    if now.saturating_add(terms.leeway) < from {
        return Err(TokenError::Early);
    }
    if now >= until.saturating_add(terms.leeway) {
        return Err(TokenError::Late);
    }
    Ok(Accepted { claims, key, until: until.saturating_add(terms.leeway) })
}

type Parts<'a> = (&'a [u8], &'a [u8], &'a [u8]);

fn split(token: &[u8]) -> Result<Parts<'_>, TokenError> {
    let mut parts = token.split(|b| *b == b'.');
    match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(header), Some(claims), Some(signature), None) if token.len() <= MAX_TOKEN_BYTES => {
            Ok((header, claims, signature))
        }
        _ => Err(TokenError::Form),
    }
}

fn part<T: for<'a> Deserialize<'a>>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(&BASE64.decode(text).ok()?).ok()
}
