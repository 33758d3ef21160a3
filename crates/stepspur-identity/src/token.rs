//! Tokens: JSON web tokens (RFC 7519) that are signed with Ed25519 (RFC 8037).
//!
//! No other algorithm is supported: the header's `alg` must be `EdDSA` and never selects the algorithm. `kid`
//! is the id of a key in the set of keys.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{Signature, Signer as _};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::keys::{KeyId, KeySet, Signer};
use crate::rights::Rights;
use crate::{MICROS_PER_SECOND, Micros};

/// The largest size of an accepted token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 4096;
/// The only accepted value of the header's `alg`.
const ALGORITHM: &str = "EdDSA";

/// The claims of a token: the registered claims (RFC 7519, section 4.1), and the caller's tenant, zone and
/// rights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// The issuer, which must be that of the manifest.
    pub iss: String,
    /// The audience, which must be that of the manifest.
    pub aud: String,
    /// The subject, which is the name of the caller. A proxy joins by this name.
    pub sub: String,
    /// The caller's tenant.
    pub tenant: String,
    /// The zone in which the caller may join; none if it may join in any zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The caller's rights.
    pub rights: Rights,
    /// The token is not valid before this time, in seconds since 1970.
    pub nbf: u64,
    /// The token is not valid at or after this time, in seconds since 1970.
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
    /// The tolerated difference between the clocks of issuer and verifier, in microseconds.
    pub leeway: Micros,
    /// The longest time from `nbf` to `exp`, in microseconds.
    pub max_lifetime: Micros,
}

impl Default for TokenPolicy {
    /// A leeway of 30 seconds and a lifetime of at most a day.
    fn default() -> Self {
        Self { leeway: 30 * MICROS_PER_SECOND, max_lifetime: 24 * 3600 * MICROS_PER_SECOND }
    }
}

/// Why a token is rejected. The reason is logged and never sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The token does not consist of three parts in base64, or is too long.
    #[error("malformed token")]
    Malformed,
    /// The header states an algorithm other than EdDSA.
    #[error("the algorithm is not EdDSA")]
    Algorithm,
    /// The signing key is unknown or revoked.
    #[error("the signing key is unknown or revoked")]
    Key,
    /// The signature does not verify with the key.
    #[error("the signature is invalid")]
    Signature,
    /// The signature is valid, but the claims cannot be parsed.
    #[error("the claims cannot be parsed")]
    Claims,
    /// The issuer or the audience is not that of the manifest.
    #[error("the issuer or audience does not match")]
    IssuerOrAudience,
    /// The token is not valid yet.
    #[error("the token is not valid yet")]
    NotYetValid,
    /// The token has expired.
    #[error("the token has expired")]
    Expired,
    /// The lifetime of the token is not positive, or longer than the policy allows.
    #[error("the token's lifetime is not positive or too long")]
    Lifetime,
}

/// A token whose signature and claims were verified.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedToken {
    /// The verified claims.
    pub claims: Claims,
    /// The id of the key that signed the token.
    pub key: KeyId,
    /// When grants from this token expire, in microseconds since 1970: the expiry of the token plus the
    /// leeway.
    pub expires_at: Micros,
}

/// The content of a token, without any verification.
#[derive(Clone, Debug, PartialEq)]
pub struct UnverifiedToken {
    /// The id of the signing key, as stated in the header.
    pub key: String,
    /// The claims, which are not verified.
    pub claims: Claims,
}

/// Issues a token with these claims, signed by `signer`.
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

/// Verifies a token against a set of keys, at time `now` in microseconds since 1970.
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

/// Verifies the signature and returns the id of the signing key.
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

/// Verifies the validity period and returns its end plus the leeway.
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

/// Encodes a part of a token. Serialization cannot fail, because the types have no maps with non-string keys.
fn encode_part(part: &impl Serialize) -> String {
    BASE64.encode(serde_json::to_string(part).unwrap_or_default())
}

fn decode_part<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(&BASE64.decode(text).ok()?).ok()
}
