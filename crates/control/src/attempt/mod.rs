//! The attempts of one request: which attempt is current, when the request is retried, and which
//! result the caller gets when it is not.
//!
//! Two invariants hold. A request that is not repeatable is not sent again once a byte of it may
//! have reached a back end. "Not run" is reported only if it is certain for every attempt of the
//! request.

mod budget;
mod interface;
mod request;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use interface::{AttemptEnd, AttemptSettings, Delivered, RequestPolicy, Step};
pub use request::RequestMachine;
