//! A gateway: holds calls until a replica takes them, and tells what it wants.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_types::routing::{Demand, Outlook, Replica, RouteAnswer};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, DaemonName, ResultCode, RunnerName, Timestamp, ZoneName};

use super::batch::CallIndex;
use crate::calls::Call;

/// Least time between two moves of a demand to another zone.
const SWITCH_PAUSE: Duration = Duration::from_millis(500);

/// What a gateway holds of one artifact.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Calls that wait.
    pub waiting: VecDeque<CallIndex>,
    /// Calls sent to an engine.
    pub running: u32,
    /// Calls begun since the last demand.
    pub arrivals: u32,
    /// Replicas known.
    pub replicas: Vec<Replica>,
    /// The zone that is asked.
    pub asked: ZoneName,
    /// Whether a renewal of the demand is on its way.
    pub renewing: bool,
    switched: Option<Timestamp>,
}

/// What follows from an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reaction {
    /// Calls to refuse.
    pub refused: Vec<(CallIndex, ResultCode)>,
    /// Whether to send waiting calls to the replicas.
    pub dispatch: bool,
    /// The zone that was asked before, if another is asked now.
    pub left: Option<ZoneName>,
}

/// A gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Its name.
    pub name: DaemonName,
    zone: ZoneName,
    pending: BTreeMap<ArtifactId, Pending>,
}

impl Gateway {
    /// One in a zone.
    pub fn new(zone: &ZoneName) -> Self {
        Self {
            name: DaemonName::literal(&format!("gateway-{zone}")),
            zone: zone.clone(),
            pending: BTreeMap::new(),
        }
    }

    /// What it holds of an artifact.
    pub fn pending(&mut self, artifact: &ArtifactId) -> &mut Pending {
        let zone = &self.zone;
        self.pending
            .entry(artifact.clone())
            .or_insert_with(|| Pending {
                waiting: VecDeque::new(),
                running: 0,
                arrivals: 0,
                replicas: Vec::new(),
                asked: zone.clone(),
                renewing: false,
                switched: None,
            })
    }

    /// Whether a call of an artifact waits here.
    pub fn has_waiting(&self, artifact: &ArtifactId) -> bool {
        let pending = self.pending.get(artifact);
        pending.is_some_and(|pending| !pending.waiting.is_empty())
    }

    /// Forgets a replica that is not there.
    pub fn forget_replica(&mut self, artifact: &ArtifactId, runner: &RunnerName) {
        let replicas = &mut self.pending(artifact).replicas;
        replicas.retain(|replica| replica.runner != *runner);
    }

    /// Takes in an answer.
    pub fn answered(&mut self, answer: &RouteAnswer, calls: &[Call], now: Timestamp) -> Reaction {
        let pending = self.pending(&answer.artifact);
        pending.replicas.clone_from(&answer.ready);
        let mut reaction = Reaction {
            dispatch: !answer.ready.is_empty(),
            ..Reaction::default()
        };
        if reaction.dispatch {
            return reaction;
        }
        match &answer.outlook {
            Outlook::Ready => {}
            Outlook::Loading { estimate_ms } => {
                let ready = now + Duration::from_millis(*estimate_ms);
                let late = |call: &CallIndex| calls[*call].deadline < ready;
                let refused: Vec<CallIndex> =
                    pending.waiting.iter().copied().filter(late).collect();
                pending.waiting.retain(|call| !late(call));
                let refused = refused.into_iter();
                reaction.refused = refused
                    .map(|call| (call, ResultCode::DeadlineTooShort))
                    .collect();
            }
            Outlook::Refused { code, .. } => {
                let refused = pending.waiting.drain(..);
                reaction.refused = refused.map(|call| (call, *code)).collect();
            }
            Outlook::Elsewhere { zones } => {
                let rested = pending
                    .switched
                    .is_none_or(|at| now.since(at) >= SWITCH_PAUSE);
                if let Some(zone) = zones.first().filter(|_| rested) {
                    pending.switched = Some(now);
                    reaction.left = Some(std::mem::replace(&mut pending.asked, zone.clone()));
                }
            }
        }
        reaction
    }
}

impl Pending {
    /// Whether anything waits or runs.
    pub fn is_active(&self) -> bool {
        !self.waiting.is_empty() || self.running > 0
    }

    /// What to tell the zone that is asked.
    pub fn demand(
        &mut self,
        artifact: &ArtifactId,
        priority: u8,
        calls: &[Call],
        now: Timestamp,
    ) -> Demand {
        let deadlines = self.waiting.iter().map(|&call| calls[call].deadline);
        let earliest = deadlines.min().unwrap_or(now);
        let earliest = millis(earliest.since(now));
        Demand {
            artifact: artifact.clone(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            running: self.running,
            priority,
            earliest_deadline_ms: earliest,
            arrivals: std::mem::take(&mut self.arrivals),
            known: None,
        }
    }
}
