//! Claims: how a request that may not be repeated runs at most once, whichever daemons its caller
//! sends it to.
//!
//! A claim is a record in the object API under the caller's idempotency key. It is created before
//! the request is sent and holds the outcome afterwards. Creating is the one step at which daemons
//! race, and the store lets one of them win. A claim is never taken from another daemon, dead or
//! not, unless the record itself says that the request did not run.

mod identity;
mod interface;
mod machine;
mod removal;

pub use identity::{claim_name, expired, request_digest};
pub use interface::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimRequest, ClaimSettings, ClaimWrite, RequestEnd,
    StoredClaim,
};
pub use machine::ClaimMachine;
pub use removal::{
    FoundClaim, REMOVAL_GROUP_FIELD, Removal, RemovalAction, RemovalGroup, RemovalSettings, SHARDS,
    Unavailable, shards_of,
};
