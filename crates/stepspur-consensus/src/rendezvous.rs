//! Weighted rendezvous hashing: a duty goes to the member whose number for it is highest, so that when a member goes
//! only what it held moves, and a member gets by its weight. After Thaler and Ravishankar 1998, weighted by
//! -weight / ln(hash) (Schindelhauer and Schomaker 2005).

use sha2::{Digest, Sha256};

use crate::duty::RoleName;
use crate::ids::MemberId;

/// The best of these members for a duty; none of none. Weights above 0 count; equal numbers go to the lower member.
pub fn highest_random_weight(
    duty: &RoleName,
    members: impl IntoIterator<Item = (MemberId, f64)>,
) -> Option<MemberId> {
    let able = members.into_iter().filter(|(_, weight)| *weight > 0.0 && weight.is_finite());
    let scored = able.map(|(member, weight)| (score(duty, member, weight), member));
    scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|(_, member)| member)
}

fn score(duty: &RoleName, member: MemberId, weight: f64) -> f64 {
    let hash = Sha256::new().chain_update(member.0.to_be_bytes()).chain_update(duty.as_str()).finalize();
    let head = hash.first_chunk::<8>().map_or(0, |head| u64::from_be_bytes(*head));
    // Between 0 and 1, neither of them.
    let unit = ((head >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

#[cfg(test)]
mod tests;
