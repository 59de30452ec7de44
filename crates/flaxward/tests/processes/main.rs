//! Whole regions: daemons as processes of their own against stand-ins in this process, whose records
//! tell what really happened.

mod bad_inputs;
mod burst;
mod claim_removal;
mod cuts;
mod idempotency;
mod kills;
mod leaving;
mod operators;
mod outages;
mod stalled_callers;
mod stops;
mod support;
