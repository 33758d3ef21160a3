//! Weighted rendezvous hashing (highest random weight): each role goes to the member with the highest score
//! for it.
//!
//! Each member gets a share of the roles proportional to its weight. When a member leaves, only its roles
//! move. The method is that of Thaler and Ravishankar (1998), with the score -weight / ln(hash) of
//! Schindelhauer and Schomaker (2005).

use sha2::{Digest, Sha256};

use crate::ids::MemberId;
use crate::roles::RoleName;

/// The number of hash bits in the fraction of a score: the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// Returns the member with the highest score for a role; `None` if no weight is positive and finite. Of
/// members with equal scores it is the one with the lowest id.
pub(crate) fn highest_random_weight(
    role: &RoleName,
    members: impl IntoIterator<Item = (MemberId, f64)>,
) -> Option<MemberId> {
    let candidates = members.into_iter().filter(|(_, weight)| *weight > 0.0 && weight.is_finite());
    let scored = candidates.map(|(member, weight)| (score(role, member, weight), member));
    scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|(_, member)| member)
}

/// Returns the score of a member for a role, which is positive: -weight / ln(u), where u is a hash
/// of both, scaled to between 0 and 1.
fn score(role: &RoleName, member: MemberId, weight: f64) -> f64 {
    let hash = Sha256::new().chain_update(member.0.to_be_bytes()).chain_update(role.as_str()).finalize();
    let hash = hash.first_chunk::<8>().map_or(0, |first| u64::from_be_bytes(*first));
    // Adding a half keeps the fraction above 0, where the logarithm is infinite.
    let fraction = ((hash >> (64 - FRACTION_BITS)) as f64 + 0.5) / (1u64 << FRACTION_BITS) as f64;
    -weight / fraction.ln()
}

#[cfg(test)]
mod tests;
