//! Weighted rendezvous hashing: a role goes to the member with the highest score for it.
//!
//! When a member leaves, only its roles move, and each member gets a share by its weight. After Thaler and
//! Ravishankar 1998, weighted by -weight / ln(hash) (Schindelhauer and Schomaker 2005).

use sha2::{Digest, Sha256};

use crate::ids::MemberId;
use crate::roles::RoleName;

/// The bits of a hash that a score's fraction has.
const FRACTION_BITS: u32 = 53;

/// The member with the highest score for a role; none if no weight is positive and finite. Of members with
/// equal scores the lower one is taken.
pub(crate) fn highest_random_weight(
    role: &RoleName,
    members: impl IntoIterator<Item = (MemberId, f64)>,
) -> Option<MemberId> {
    let candidates = members.into_iter().filter(|(_, weight)| *weight > 0.0 && weight.is_finite());
    let scored = candidates.map(|(member, weight)| (score(role, member, weight), member));
    scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|(_, member)| member)
}

fn score(role: &RoleName, member: MemberId, weight: f64) -> f64 {
    let hash = Sha256::new().chain_update(member.0.to_be_bytes()).chain_update(role.as_str()).finalize();
    let hash = hash.first_chunk::<8>().map_or(0, |first| u64::from_be_bytes(*first));
    // Between 0 and 1, without both.
    let fraction = ((hash >> (64 - FRACTION_BITS)) as f64 + 0.5) / (1u64 << FRACTION_BITS) as f64;
    -weight / fraction.ln()
}

#[cfg(test)]
mod tests;
