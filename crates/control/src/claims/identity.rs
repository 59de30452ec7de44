//! How claims and requests are named, and how long a claim is kept.

use flaxward_types::records::{Claim, ClaimOutcome};
use xxhash_rust::xxh3::Xxh3;

/// Name of a claim in the object API. Keys are free text, so a digest of them stands in the name;
/// the target is part of it, so that two services' callers do not share keys.
pub fn claim_name(target: &str, key: &str) -> String {
    digest(&[target.as_bytes(), key.as_bytes()])
}

/// Digest of a request, by which a key that is used for another request is noticed. It guards
/// against mistakes of the caller's own, not against forgery.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    digest(&[method.as_bytes(), path.as_bytes(), body])
}

/// Whether a claim may be removed from the store (by compare-and-swap on the version read).
pub fn expired(claim: &Claim, now_unix: u64) -> bool {
    let may_still_run =
        claim.outcome == ClaimOutcome::InProgress && now_unix < claim.abandoned_unix;
    now_unix >= claim.expires_unix && !may_still_run
}

/// The same on every daemon and in every release; each part is preceded by its length.
fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    format!("{:032x}", hasher.digest128())
}
