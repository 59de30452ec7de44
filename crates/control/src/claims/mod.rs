//! Claims ensure that a non-repeatable request with an idempotency key runs at most once, whichever
//! daemons its caller sends it to.
//!
//! A claim is a record in the object API under the caller's idempotency key. It is created before
//! the request is sent and holds the outcome afterwards. Daemons race only to create it, and the
//! store lets exactly one of them succeed. A claim is never taken over from another daemon, whether
//! crashed or not, unless the record states that the request did not run.

mod identity;
mod interface;
mod machine;
mod removal;

pub use identity::{claim_name, is_expired, request_digest};
pub use interface::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimRequest, ClaimSettings, ClaimWrite, RequestEnd,
    StoredClaim,
};
pub use machine::ClaimMachine;
pub use removal::{
    FoundClaim, REMOVAL_GROUP_FIELD, Removal, RemovalAction, RemovalGroup, RemovalSettings, SHARDS,
    Unavailable, shards_for_zone,
};
