//! An order to one runner and its progress.

use flaxward_types::time::Timestamp;

use crate::homes::Requirement;
use crate::placement::{Order, Reason};

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not sent yet; the runner's order count must be read first.
    Ready,
    /// Sent at this time, without an answer so far.
    Sent(Timestamp),
    /// Sent without an answer; it is sent again at this time.
    Unanswered {
        /// Time of the next attempt.
        retry_at: Timestamp,
    },
    /// Being executed by the runner.
    Running,
    /// Accepted, and assumed to be done by this time because no request blocks it; not confirmed
    /// yet.
    Expected(Timestamp),
}

/// Where a runner loads the weights of a model from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Its own host memory.
    Memory,
    /// Its own disk.
    Disk,
    /// The weight store, which all runners share.
    Store,
}

/// A pending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderState {
    /// The order.
    pub order: Order,
    /// Source of the weights, if it loads a model.
    pub source: Option<WeightSource>,
    /// Why it was issued.
    pub reason: Reason,
    /// Its progress.
    pub progress: Progress,
    /// When it should be done.
    pub ready_at: Timestamp,
}

/// A load that waits until there is room for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeferredLoad {
    /// What is loaded, and for which homes.
    pub requirement: Requirement,
    /// Why it is loaded.
    pub reason: Reason,
}

/// The outcome of an order that a report has settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The state of the order before it was settled.
    pub state: OrderState,
    /// Whether it was carried out.
    pub is_done: bool,
}
