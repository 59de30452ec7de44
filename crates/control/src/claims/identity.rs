//! Names of claims, digests of requests, and expiry of claims.

use flaxward_types::records::{Claim, ClaimOutcome};
use xxhash_rust::xxh3::Xxh3;

/// Name of a claim in the object API. Idempotency keys are free text, so the name is a digest. The
/// digest includes the target, so that callers of different services do not share keys.
pub fn claim_name(target: &str, key: &str) -> String {
    digest(&[target.as_bytes(), key.as_bytes()])
}

/// Digest of a request, used to detect that a key is reused for another request. It guards against
/// mistakes of the caller, not against forgery.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    digest(&[method.as_bytes(), path.as_bytes(), body])
}

/// Whether a claim may be removed from the store, on condition that the version is unchanged.
pub fn is_expired(claim: &Claim, now_unix: u64) -> bool {
    let may_still_run =
        claim.outcome == ClaimOutcome::InProgress && now_unix < claim.abandoned_unix;
    now_unix >= claim.expires_unix && !may_still_run
}

/// Stable across daemons and releases. Each part is prefixed with its length, so that the
/// boundaries between parts count.
fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    format!("{:032x}", hasher.digest128())
}
