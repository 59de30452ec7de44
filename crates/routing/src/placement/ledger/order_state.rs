//! An order to one runner, and how far it has come.

use flaxward_types::time::Timestamp;

use crate::homes::Requirement;
use crate::placement::{Order, Reason};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The runner's order count must be read before it is sent.
    Ready,
    /// It was sent at this time and has no answer yet.
    Sent(Timestamp),
    /// It was sent and got no answer; it is sent again at this time.
    Unanswered {
        /// When.
        retry_at: Timestamp,
    },
    /// The runner is carrying it out.
    Running,
    /// It was taken and should be done by this time, since no request holds it up. Nothing has shown it yet.
    Expected(Timestamp),
}

/// Where a runner takes the weights of a model from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Its own host memory.
    Memory,
    /// Its own disk.
    Disk,
    /// The weight store, which all runners share.
    Store,
}

/// An order that is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderState {
    /// The order.
    pub order: Order,
    /// Where the weights come from, if it loads a model.
    pub source: Option<WeightSource>,
    /// Why it was given.
    pub reason: Reason,
    /// How far it has come.
    pub progress: Progress,
    /// When it should be done.
    pub ready_at: Timestamp,
}

/// A load that waits until there is room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// What is to be loaded, and for which homes.
    pub requirement: Requirement,
    /// Why.
    pub reason: Reason,
}

/// What has become of an order that a report has settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The order as it was.
    pub state: OrderState,
    /// It was carried out.
    pub is_done: bool,
}
