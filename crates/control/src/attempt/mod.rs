//! The life of one request towards its back ends: which attempt counts, when it is sent again, and
//! what the caller is told when it is not.
//!
//! Two rules stand above the others. A request that may not be repeated is not sent again once a
//! byte of it may have reached a back end. And "not run" is said only when it is certain for every
//! attempt of the request.

mod budget;
mod interface;
mod request;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use interface::{AttemptEnd, AttemptSettings, Delivered, RequestPolicy, Step};
pub use request::RequestMachine;
