//! Faults of an engine stand-in.

use std::collections::BTreeSet;

use flaxward_types::ArtifactId;
use serde::{Deserialize, Serialize};

use crate::fault::{Dice, Strikes};

/// Faults of an engine stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Everything is answered with 503 and does not run.
    pub down: bool,
    /// New connections are closed at once, and requests on open ones are not run.
    pub refuse_connections: bool,
    /// Whether it is leaving.
    pub leaving: Leaving,
    /// Every order waits so many milliseconds before it is looked at.
    pub delay_orders_ms: u64,
    /// Orders that are carried out and whose connection is then closed without an answer.
    pub lose_order_answers: Strikes,
    /// Loads that fail.
    pub fail_loads: Strikes,
    /// Artifacts whose loads fail.
    pub fail_artifacts: BTreeSet<ArtifactId>,
    /// Loads that never end.
    pub stick_loads: Strikes,
    /// Artifacts whose loads never end.
    pub stick_artifacts: BTreeSet<ArtifactId>,
    /// Cache events that are lost.
    pub lose_events: Strikes,
    /// Faults of answers to requests.
    pub streams: Vec<StreamFaultRule>,
}

/// Whether an engine is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leaving {
    /// It is not.
    #[default]
    No,
    /// It says so, and still runs requests that reach it.
    Announced,
    /// It says so, and refuses requests.
    Refusing,
}

/// A fault of answers, and whom it strikes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFaultRule {
    /// The fault.
    pub fault: StreamFault,
    /// How often it strikes.
    pub strikes: Strikes,
    /// The artifact whose requests it strikes; all if not given.
    #[serde(default)]
    pub artifact: Option<ArtifactId>,
}

/// A fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// The connection breaks after so many tokens.
    BreakAfter(u32),
    /// The answer ends in good order, but after so many tokens and without its end marks.
    TruncateAfter(u32),
    /// The request runs, and its connection is then closed without an answer.
    LoseAnswer,
    /// The first token comes so many milliseconds later.
    DelayFirstToken(u64),
    /// The token at this place is sent twice.
    DoubleToken(u32),
    /// The token at this place is sent after the next one.
    SwapTokens(u32),
    /// A cancel has no effect.
    IgnoreCancel,
}

/// All faults that strike one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamPlan {
    pub(crate) break_after: Option<u32>,
    pub(crate) truncate_after: Option<u32>,
    pub(crate) lose_answer: bool,
    pub(crate) delay_ms: u64,
    pub(crate) double: Option<u32>,
    pub(crate) swap: Option<u32>,
    pub(crate) ignore_cancel: bool,
}

impl EngineFaults {
    /// Draws the faults of an answer for an artifact.
    pub(crate) fn plan(&mut self, artifact: &ArtifactId, dice: &Dice) -> StreamPlan {
        let mut plan = StreamPlan::default();
        for rule in &mut self.streams {
            let concerned = rule.artifact.as_ref().is_none_or(|named| named == artifact);
            if concerned && rule.strikes.strike(dice) {
                plan.add(rule.fault);
            }
        }
        plan
    }
}

impl StreamPlan {
    fn add(&mut self, fault: StreamFault) {
        match fault {
            StreamFault::BreakAfter(tokens) => self.break_after = Some(tokens),
            StreamFault::TruncateAfter(tokens) => self.truncate_after = Some(tokens),
            StreamFault::LoseAnswer => self.lose_answer = true,
            StreamFault::DelayFirstToken(millis) => self.delay_ms = millis,
            StreamFault::DoubleToken(place) => self.double = Some(place),
            StreamFault::SwapTokens(place) => self.swap = Some(place),
            StreamFault::IgnoreCancel => self.ignore_cancel = true,
        }
    }

    /// The index of the token sent at a place, of `first..end`; `None` at the end.
    pub(crate) fn token_at(&self, place: u32, first: u32, end: u32) -> Option<u32> {
        let mut index = first + place;
        if self
            .double
            .is_some_and(|double| double < end && index > double)
        {
            index -= 1;
        }
        if index >= end {
            return None;
        }
        match self.swap {
            Some(swap) if swap + 1 < end && index == swap => Some(swap + 1),
            Some(swap) if swap >= first && index == swap + 1 => Some(swap),
            _ => Some(index),
        }
    }
}
