//! Simulated daemons that compete for the lease, with a store that loses and delays calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::lease::{
    LeaseAnswer, LeaseCall, LeaseChange, LeaseRecord, LeaseSettings, LeaseStateMachine,
    StoredLease, UnreadableLease,
};
use flaxward_routing::revision::StoreRevision;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;

pub const STEP: Duration = Duration::from_millis(50);
pub const FAULT_STEPS: usize = 600;
pub const RECOVERY_STEPS: usize = 240;

pub fn settings() -> LeaseSettings {
    LeaseSettings {
        duration: Duration::from_secs(3),
        renewal: Duration::from_millis(900),
        margin: Duration::from_millis(300),
        silence: Duration::from_millis(1_200),
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).unwrap()))
}

/// Outcome of one call.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    Answered,
    /// The call is neither applied nor answered.
    Lost,
    /// The call is applied at once, and its answer is lost.
    AnswerLost,
    /// The answer is lost, and the call is applied this many steps later, if its precondition still
    /// holds.
    Late(usize),
}

pub fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::AnswerLost),
        1 => (1_usize..120).prop_map(CallOutcome::Late),
    ]
}

#[derive(Default)]
pub struct Store {
    pub lease: Option<StoredLease>,
    /// Set once another writer has overwritten the lease.
    pub overwritten: Option<UnreadableLease>,
    pub revision: StoreRevision,
    late: Vec<(usize, LeaseCall)>,
    /// Content of the store after each step.
    snapshots: Vec<(Option<StoredLease>, StoreRevision)>,
}

impl Store {
    pub fn write(&mut self, record: &LeaseRecord) -> LeaseAnswer {
        self.revision.number += 1;
        let lease = StoredLease {
            record: record.clone(),
            revision: self.revision,
        };
        self.lease = Some(lease.clone());
        self.overwritten = None;
        LeaseAnswer::Written(lease)
    }

    /// Overwrites the lease with content in which at most the term can be decoded.
    pub fn overwrite(&mut self, keeps_term: bool) {
        let Some(lease) = &self.lease else {
            return;
        };
        self.revision.number += 1;
        self.overwritten = Some(UnreadableLease {
            revision: self.revision,
            term: keeps_term.then_some(lease.record.term),
        });
    }

    pub fn object_revision(&self) -> Option<u64> {
        let overwritten = self.overwritten.map(|it| it.revision.number);
        overwritten.or(self.lease.as_ref().map(|it| it.revision.number))
    }

    /// Saves a snapshot of the store after a step.
    pub fn save_snapshot(&mut self) {
        self.snapshots.push((self.lease.clone(), self.revision));
    }

    /// Restores the store from the snapshot of some steps ago.
    pub fn restore(&mut self, steps: usize) {
        let kept = self.snapshots.len().saturating_sub(steps + 1);
        let Some((lease, revision)) = self.snapshots.get(kept).cloned() else {
            return;
        };
        let era = StoreRevision::from_ordered(self.revision.era.start() + (1 << 40)).era;
        self.revision = StoreRevision { era, ..revision };
        self.lease = lease.map(|lease| StoredLease {
            revision: StoreRevision {
                era,
                ..lease.revision
            },
            ..lease
        });
    }

    pub fn found(&self) -> LeaseAnswer {
        if let Some(overwritten) = self.overwritten {
            return LeaseAnswer::Unreadable(overwritten);
        }
        match &self.lease {
            Some(lease) => LeaseAnswer::Found(lease.clone()),
            None => LeaseAnswer::Missing(self.revision.era),
        }
    }

    pub fn apply(&mut self, call: &LeaseCall) -> LeaseAnswer {
        match call {
            LeaseCall::Read => self.found(),
            LeaseCall::Create(record) if self.lease.is_none() => self.write(record),
            LeaseCall::Create(_) => self.found(),
            LeaseCall::Replace(record, revision) => {
                if self.object_revision() == Some(revision.number) {
                    self.write(record)
                } else {
                    self.found()
                }
            }
        }
    }

    pub fn apply_late_calls(&mut self, step: usize) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= step);
        self.late = later;
        for (_, call) in due {
            self.apply(&call);
        }
    }
}

pub struct World {
    pub store: Store,
    pub daemons: Vec<LeaseStateMachine>,
    pub paused: Vec<usize>,
    /// Step until which a daemon receives nothing from others.
    pub isolated: Vec<usize>,
    holders_of_terms: HashMap<u64, usize>,
    last_order: HashMap<usize, Timestamp>,
}

impl World {
    pub fn new(count: usize) -> Self {
        let daemon = |index: usize| {
            let name = format!("daemon-{index}");
            LeaseStateMachine::new(settings(), name, index as u64, address(index))
        };
        Self {
            store: Store::default(),
            daemons: (0..count).map(daemon).collect(),
            paused: vec![0; count],
            isolated: vec![0; count],
            holders_of_terms: HashMap::new(),
            last_order: HashMap::new(),
        }
    }

    pub fn time(&self, step: usize) -> Timestamp {
        Timestamp::ZERO + STEP * u32::try_from(step).unwrap()
    }

    /// Kills and restarts a daemon, which loses its state.
    pub fn restart(&mut self, index: usize, step: usize) {
        let incarnation = (step * self.daemons.len() + index) as u64 + 100;
        let name = format!("daemon-{index}");
        self.daemons[index] = LeaseStateMachine::new(settings(), name, incarnation, address(index));
    }

    pub fn step(&mut self, step: usize, outcomes: &mut impl Iterator<Item = CallOutcome>) {
        let now = self.time(step);
        self.store.apply_late_calls(step);
        self.heartbeats(step, outcomes);
        for index in 0..self.daemons.len() {
            if self.paused[index] > step {
                continue;
            }
            let (call, change) = self.daemons[index].poll(now);
            self.check(index, change.as_ref());
            let Some(call) = call else { continue };
            let answer = self.execute(
                &call,
                outcomes.next().unwrap_or(CallOutcome::Answered),
                step,
            );
            let change = self.daemons[index].handle_answer(answer, now);
            self.check(index, change.as_ref());
        }
        self.check_single_holder(now);
        self.store.save_snapshot();
    }

    /// The holder sends heartbeats to the others; each may be lost.
    pub fn heartbeats(&mut self, step: usize, outcomes: &mut impl Iterator<Item = CallOutcome>) {
        let now = self.time(step);
        let heartbeats: Vec<_> = self
            .daemons
            .iter()
            .filter_map(|it| it.heartbeat(now))
            .collect();
        for heartbeat in heartbeats {
            let is_lost = outcomes
                .next()
                .is_some_and(|outcome| !matches!(outcome, CallOutcome::Answered));
            let hearing = self.daemons.iter_mut().zip(&self.isolated);
            let hearing = hearing.filter(|(_, until)| !is_lost && **until <= step);
            for (daemon, _) in hearing {
                if daemon.heartbeat(now).is_none() {
                    daemon.handle_heartbeat(heartbeat, now);
                }
            }
        }
    }

    pub fn execute(&mut self, call: &LeaseCall, outcome: CallOutcome, step: usize) -> LeaseAnswer {
        match outcome {
            CallOutcome::Answered => self.store.apply(call),
            CallOutcome::Lost => LeaseAnswer::Unknown,
            CallOutcome::AnswerLost => {
                self.store.apply(call);
                LeaseAnswer::Unknown
            }
            CallOutcome::Late(steps) => {
                self.store.late.push((step + steps, call.clone()));
                LeaseAnswer::Unknown
            }
        }
    }

    pub fn check(&mut self, index: usize, change: Option<&LeaseChange>) {
        let Some(LeaseChange::Acquired { term, .. }) = change else {
            return;
        };
        let first = *self.holders_of_terms.entry(*term).or_insert(index);
        assert_eq!(first, index, "term {term} has two holders");
    }

    pub fn check_single_holder(&mut self, now: Timestamp) {
        let holders: Vec<usize> = (0..self.daemons.len())
            .filter(|&index| self.daemons[index].term(now).is_some())
            .collect();
        assert!(holders.len() <= 1, "two holders at {now}: {holders:?}");
        for holder in holders {
            self.last_order.insert(holder, now);
        }
    }
}
