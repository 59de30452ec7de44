//! Recorded decisions in words, alike in the log and in `explain`.

use flaxward_control::coordinator::{Decision, DecisionKind, UnloadReason};
use flaxward_settings::logs::state_change;
use flaxward_types::RunnerName;

/// What was decided, in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionText<'a> {
    /// The machine concerned, if there is one.
    pub runner: Option<&'a RunnerName>,
    /// What was decided, in one word.
    pub decision: &'static str,
    /// Why, or what is known of it.
    pub reason: String,
}

impl<'a> DecisionText<'a> {
    /// Puts a decision into words.
    pub fn new(kind: &'a DecisionKind) -> Self {
        match kind {
            DecisionKind::Load {
                runner,
                estimate_ms,
            } => Self::at(
                runner,
                "load",
                format!("wanted; ready expected in {estimate_ms} ms"),
            ),
            DecisionKind::Ready { runner, took_ms } => {
                Self::at(runner, "ready", format!("loaded in {took_ms} ms"))
            }
            DecisionKind::Unload { runner, reason } => Self::at(runner, "unload", why(*reason)),
            DecisionKind::Unloaded { runner } => {
                Self::at(runner, "unloaded", "confirmed by the engine")
            }
            DecisionKind::LoadFailed { runner } => {
                Self::at(runner, "load-failed", "failed or stuck")
            }
            DecisionKind::Refuse(code) => Self {
                runner: None,
                decision: "refuse",
                reason: code.to_string(),
            },
        }
    }

    fn at(runner: &'a RunnerName, decision: &'static str, reason: impl Into<String>) -> Self {
        Self {
            runner: Some(runner),
            decision,
            reason: reason.into(),
        }
    }
}

/// Writes a decision to the log.
pub fn log(decision: &Decision) {
    let text = DecisionText::new(&decision.kind);
    let runner = text.runner.map(ToString::to_string).unwrap_or_default();
    state_change(
        "decision",
        &[
            ("artifact", &decision.artifact),
            ("decision", &text.decision),
            ("runner", &runner),
            ("reason", &text.reason),
        ],
    );
}

fn why(reason: UnloadReason) -> &'static str {
    match reason {
        UnloadReason::Idle => "idle for longer than its keep-alive time",
        UnloadReason::Evicted => "its memory is needed for something wanted more",
        UnloadReason::Rule => "the rule for copies allows fewer here",
        UnloadReason::Leaving => "its machine is leaving",
        UnloadReason::NoSlot => "it has no recorded slot there",
    }
}
