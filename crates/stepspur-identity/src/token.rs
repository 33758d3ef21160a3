//! Tokens: JSON web tokens (RFC 7519) signed by Ed25519 (RFC 8037), and by nothing else.
//!
//! The header's `alg` must be `EdDSA`; it never chooses the algorithm. `kid` names a key of the set.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{Signature, Signer as _};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::keys::{KeyId, KeySet, Signer};
use crate::rights::Rights;
use crate::{MICROS_PER_SECOND, Micros};

/// The longest token that is accepted, in bytes.
pub const MAX_TOKEN_BYTES: usize = 4096;
/// The only algorithm that is accepted.
const ALGORITHM: &str = "EdDSA";

/// The claims of a token (RFC 7519, 4.1), and the caller's tenant, zone and rights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// The issuer.
    pub iss: String,
    /// The audience.
    pub aud: String,
    /// The subject: the caller's name; a proxy joins by it.
    pub sub: String,
    /// The caller's tenant.
    pub tenant: String,
    /// The zone that it may join in; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The caller's rights.
    pub rights: Rights,
    /// Not valid before this time, in seconds since 1970.
    pub nbf: u64,
    /// Not valid at or after this time, in seconds since 1970.
    pub exp: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Header {
    alg: String,
    kid: String,
}

/// The bounds within which tokens are accepted.
#[derive(Clone, Copy, Debug)]
pub struct TokenPolicy {
    /// The tolerated difference between clocks, in microseconds.
    pub leeway: Micros,
    /// The longest time from `nbf` to `exp`, in microseconds.
    pub max_lifetime: Micros,
}

impl Default for TokenPolicy {
    /// 30 seconds of leeway and a lifetime of a day.
    fn default() -> Self {
        Self { leeway: 30 * MICROS_PER_SECOND, max_lifetime: 24 * 3600 * MICROS_PER_SECOND }
    }
}

/// Why a token is rejected. It is for logs: the caller does not get it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Not three parts of base64, or too long.
    #[error("not a token")]
    Malformed,
    /// The header names another algorithm.
    #[error("another algorithm than EdDSA")]
    Algorithm,
    /// The key is unknown or revoked.
    #[error("the key is unknown or revoked")]
    Key,
    /// The signature is not that key's.
    #[error("the signature is wrong")]
    Signature,
    /// The signature is right, but the claims cannot be parsed.
    #[error("the claims cannot be read")]
    Claims,
    /// The issuer or audience is another.
    #[error("another issuer or audience")]
    IssuerOrAudience,
    /// The token is not valid yet.
    #[error("not valid yet")]
    NotYetValid,
    /// The token has expired.
    #[error("no longer valid")]
    Expired,
    /// The token's lifetime is longer than accepted, or ends before it begins.
    #[error("its life is too long, or none")]
    Lifetime,
}

/// A token whose signature and claims were verified.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedToken {
    /// The token's claims.
    pub claims: Claims,
    /// The key that signed it.
    pub key: KeyId,
    /// When grants that rest on it end, in microseconds since 1970: the token's end and the leeway.
    pub expires_at: Micros,
}

/// The content of a token, without any verification.
#[derive(Clone, Debug, PartialEq)]
pub struct UnverifiedToken {
    /// The name of the key that signed it, as its header states.
    pub key: String,
    /// The token's claims.
    pub claims: Claims,
}

/// Issues a token.
pub fn issue(signer: &Signer, claims: &Claims) -> String {
    let header = Header { alg: ALGORITHM.into(), kid: signer.id.to_string() };
    let signed = format!("{}.{}", encode_part(&header), encode_part(claims));
    let signature = signer.key().sign(signed.as_bytes());
    format!("{signed}.{}", BASE64.encode(signature.to_bytes()))
}

/// Decodes a token without verifying it.
///
/// # Errors
/// [`TokenError::Malformed`] or [`TokenError::Claims`].
pub fn decode_unverified(token: &[u8]) -> Result<UnverifiedToken, TokenError> {
    let parts = TokenParts::split(token)?;
    let header: Header = decode_part(parts.header).ok_or(TokenError::Malformed)?;
    let claims = decode_part(parts.claims).ok_or(TokenError::Claims)?;
    Ok(UnverifiedToken { key: header.kid, claims })
}

/// Verifies a token by a set of keys, at a time in microseconds since 1970.
///
/// # Errors
/// See [`TokenError`].
pub fn verify(
    token: &[u8],
    keys: &KeySet,
    policy: TokenPolicy,
    now: Micros,
) -> Result<VerifiedToken, TokenError> {
    let parts = TokenParts::split(token)?;
    let key = verify_signature(&parts, keys)?;
    let claims: Claims = decode_part(parts.claims).ok_or(TokenError::Claims)?;
    if claims.iss != keys.issuer || claims.aud != keys.audience {
        return Err(TokenError::IssuerOrAudience);
    }
    let expires_at = verify_validity(&claims, policy, now)?;
    Ok(VerifiedToken { claims, key, expires_at })
}

/// Verifies the signature and returns the name of the key.
fn verify_signature(parts: &TokenParts<'_>, keys: &KeySet) -> Result<KeyId, TokenError> {
    let header: Header = decode_part(parts.header).ok_or(TokenError::Malformed)?;
    if header.alg != ALGORITHM {
        return Err(TokenError::Algorithm);
    }
    let id = KeyId::try_from(header.kid).map_err(|_| TokenError::Key)?;
    let key = keys.accepted_key(&id).ok_or(TokenError::Key)?;
    let signature = BASE64.decode(parts.signature).map_err(|_| TokenError::Malformed)?;
    let signature = Signature::from_slice(&signature).map_err(|_| TokenError::Malformed)?;
    key.verify_strict(parts.signed, &signature).map_err(|_| TokenError::Signature)?;
    Ok(id)
}

/// Verifies the times and returns the end of the validity with the leeway.
fn verify_validity(claims: &Claims, policy: TokenPolicy, now: Micros) -> Result<Micros, TokenError> {
    let not_before = claims.nbf.saturating_mul(MICROS_PER_SECOND);
    let expires_at = claims.exp.saturating_mul(MICROS_PER_SECOND);
    if expires_at <= not_before || expires_at - not_before > policy.max_lifetime {
        return Err(TokenError::Lifetime);
    }
    if now.saturating_add(policy.leeway) < not_before {
        return Err(TokenError::NotYetValid);
    }
    let expires_at = expires_at.saturating_add(policy.leeway);
    if now >= expires_at { Err(TokenError::Expired) } else { Ok(expires_at) }
}

/// The parts of a token, still in base64.
struct TokenParts<'a> {
    header: &'a [u8],
    claims: &'a [u8],
    signature: &'a [u8],
    /// The bytes that the signature covers.
    signed: &'a [u8],
}

impl<'a> TokenParts<'a> {
    fn split(token: &'a [u8]) -> Result<Self, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let parts: Vec<&[u8]> = token.split(|byte| *byte == b'.').collect();
        let [header, claims, signature] = parts[..] else { return Err(TokenError::Malformed) };
        let signed = &token[..header.len() + 1 + claims.len()];
        Ok(Self { header, claims, signature, signed })
    }
}

/// Encodes a part of a token. Its types always serialize: they have no maps with keys other than strings.
fn encode_part(part: &impl Serialize) -> String {
    BASE64.encode(serde_json::to_string(part).unwrap_or_default())
}

fn decode_part<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(&BASE64.decode(text).ok()?).ok()
}
