//! What must always hold, by name.

use std::fmt;

use crate::time::VirtualTime;

/// What must always hold, and what must hold again once all faults have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No more replicas of a model or adapter are on engines than its rule allows.
    ReplicasWithinRule,
    /// No engine holds more than its memory, nor has to refuse an order of its present coordinator
    /// for want of it.
    MemoryWithinSize,
    /// Every request is answered or refused by its deadline.
    EveryRequestAnswered,
    /// A caller receives the whole answer to its own request, in order.
    WholeAnswer,
    /// A request refused as not run did not run, and does not run later.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A back end that is leaving receives no new work after a few seconds.
    NoNewWorkOnLeaving,
    /// A planned stop cuts off no request in progress.
    PlannedStopCutsNothing,
    /// The configuration in force never goes back, and is that of the store at its revision; an
    /// accepted change is in force at every reachable daemon within seconds.
    ConfigurationMonotonic,
    /// Nothing goes round in circles.
    BoundedWork,
    /// After the faults, each zone has one coordinator.
    OneCoordinator,
    /// After the faults, each model that may be loaded wakes.
    ModelsWake,
}

impl Invariant {
    /// The name, as printed.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReplicasWithinRule => "replicas_within_rule",
            Self::MemoryWithinSize => "memory_within_size",
            Self::EveryRequestAnswered => "every_request_answered",
            Self::WholeAnswer => "whole_answer",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::AtMostOnce => "at_most_once",
            Self::NoNewWorkOnLeaving => "no_new_work_on_leaving",
            Self::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Self::ConfigurationMonotonic => "configuration_monotonic",
            Self::BoundedWork => "bounded_work",
            Self::OneCoordinator => "one_coordinator",
            Self::ModelsWake => "models_wake",
        }
    }
}

/// An invariant that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// When.
    pub at: VirtualTime,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.at.0 / 1_000;
        write!(
            formatter,
            "{} at {millis} ms: {}",
            self.invariant.name(),
            self.detail
        )
    }
}
