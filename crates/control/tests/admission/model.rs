//! Property tests of admission control against a model of its externally visible state: random
//! arrivals, answers of coordinators, returned requests, disconnecting callers and leaving runners,
//! in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_control::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, BackEndFault, RequestId,
};
use flaxward_types::routing::{Outlook, Replica, RouteAnswer};
use flaxward_types::{ArtifactId, Refusal, ResultCode, RunnerName, Term, Timestamp, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};

const TICK: u64 = 50;
const QUEUE_LIMIT: usize = 3;
const TOTAL_LIMIT: usize = 5;

fn config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(512),
        rng_seed: RngSeed::Fixed(0x0ad3_1551),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        total_limit: TOTAL_LIMIT,
        ..AdmissionSettings::default()
    }
}

fn zone(index: usize) -> ZoneName {
    ZoneName::literal(["scl-a", "scl-b", "scl-c"][index])
}

fn artifact(index: usize) -> ArtifactId {
    ["turbine@v1", "gearbox@v1"][index].parse().unwrap()
}

/// Runner names are unique across zones.
fn replica(zone: usize, index: usize) -> Replica {
    Replica {
        runner: RunnerName::literal(&format!("r{zone}{index}")),
        address: format!("127.0.0.{zone}:{index}"),
        outstanding: u32::try_from(index).unwrap(),
    }
}

#[derive(Clone, Debug)]
enum Input {
    Arrive {
        artifact: usize,
        priority: u8,
        deadline_ms: u64,
    },
    Route {
        zone: usize,
        artifact: usize,
        age: i64,
        ready: Vec<usize>,
        outlook: Outlook,
    },
    Finish {
        nth: usize,
    },
    Return {
        nth: usize,
        fault: BackEndFault,
    },
    Disconnect {
        nth: usize,
    },
    Heads(BTreeSet<usize>),
    Leaving(BTreeSet<(usize, usize)>),
    Wait {
        ms: u64,
    },
}

fn outlook() -> impl Strategy<Value = Outlook> {
    prop_oneof![
        3 => Just(Outlook::Ready),
        3 => (0_u64..20_000).prop_map(|estimate_ms| Outlook::Loading { estimate_ms }),
        2 => prop::collection::vec(0_usize..3, 0..3).prop_map(|zones| Outlook::Elsewhere {
            zones: zones.into_iter().map(zone).collect(),
        }),
        1 => Just(Outlook::Refused { code: ResultCode::NoMemory, retry_after_ms: 700 }),
    ]
}

fn input() -> impl Strategy<Value = Input> {
    let fault = prop_oneof![
        Just(BackEndFault::Refused),
        Just(BackEndFault::Unreachable),
        Just(BackEndFault::Broken),
    ];
    prop_oneof![
        6 => (0_usize..2, 0_u8..3, 0_u64..15_000).prop_map(|(artifact, priority, deadline_ms)| {
            Input::Arrive { artifact, priority, deadline_ms }
        }),
        4 => (0_usize..3, 0_usize..2, -2_i64..2, prop::collection::vec(0_usize..3, 0..3), outlook())
            .prop_map(|(zone, artifact, age, ready, outlook)| {
                let ready = match outlook {
                    Outlook::Ready => ready,
                    _ => Vec::new(),
                };
                Input::Route { zone, artifact, age, ready, outlook }
            }),
        2 => (0_usize..8).prop_map(|nth| Input::Finish { nth }),
        2 => (0_usize..8, fault).prop_map(|(nth, fault)| Input::Return { nth, fault }),
        1 => (0_usize..8).prop_map(|nth| Input::Disconnect { nth }),
        1 => prop::collection::btree_set(0_usize..3, 0..4).prop_map(Input::Heads),
        1 => prop::collection::btree_set((0_usize..3, 0_usize..3), 0..5).prop_map(Input::Leaving),
        4 => (0_u64..2_500).prop_map(|ms| Input::Wait { ms }),
    ]
}

/// An open request, as visible from outside.
#[derive(Clone)]
struct Open {
    arrival: Arrival,
    since: Timestamp,
    avoided: BTreeMap<RunnerName, Timestamp>,
}

/// The externally visible state.
struct Model {
    admission: Admission,
    settings: AdmissionSettings,
    now: Timestamp,
    next_tick: Timestamp,
    next_request: u64,
    waiting: BTreeMap<RequestId, Open>,
    running: BTreeMap<RequestId, (Open, RunnerName)>,
    /// The latest answer of each zone for each artifact.
    answers: BTreeMap<(ArtifactId, ZoneName), (Timestamp, RouteAnswer)>,
    sequence: i64,
    leaving: BTreeSet<RunnerName>,
    unreachable: BTreeMap<RunnerName, Timestamp>,
    heads: BTreeSet<ZoneName>,
    demanded: BTreeMap<(ArtifactId, ZoneName), Timestamp>,
    /// Artifacts requested at least once; answers about others are not stored.
    wanted: BTreeSet<ArtifactId>,
}

fn ensure(holds: bool, text: impl FnOnce() -> String) -> Result<(), TestCaseError> {
    if holds {
        Ok(())
    } else {
        Err(TestCaseError::fail(text()))
    }
}

impl Model {
    fn new() -> Self {
        let settings = settings();
        Self {
            admission: Admission::new(settings.clone(), (0..3).map(zone).collect(), 7),
            settings,
            now: Timestamp(1_000_000),
            next_tick: Timestamp(1_000_000),
            next_request: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            answers: BTreeMap::new(),
            sequence: 100,
            leaving: BTreeSet::new(),
            unreachable: BTreeMap::new(),
            heads: BTreeSet::new(),
            demanded: BTreeMap::new(),
            wanted: BTreeSet::new(),
        }
    }

    fn apply(&mut self, input: Input) -> Result<(), TestCaseError> {
        match input {
            Input::Arrive {
                artifact: index,
                priority,
                deadline_ms,
            } => {
                let arrival = Arrival {
                    request: RequestId(self.next_request),
                    artifact: artifact(index),
                    priority,
                    deadline: self.now + Duration::from_millis(deadline_ms),
                    queue_limit: QUEUE_LIMIT,
                    prefix: None,
                };
                self.next_request += 1;
                self.wanted.insert(arrival.artifact.clone());
                let open = Open {
                    arrival: arrival.clone(),
                    since: self.now,
                    avoided: BTreeMap::new(),
                };
                self.waiting.insert(arrival.request, open);
                self.event(AdmissionEvent::Arrive(arrival))
            }
            Input::Route {
                zone: index,
                artifact: wanted,
                age,
                ready,
                outlook,
            } => {
                self.sequence += 1;
                // Small negative ages make answers that are older than, or as old as, the latest.
                let sequence = u64::try_from(self.sequence + age * 2).unwrap();
                let answer = RouteAnswer {
                    artifact: artifact(wanted),
                    zone: zone(index),
                    term: Term(1),
                    sequence,
                    ready: ready.into_iter().map(|nth| replica(index, nth)).collect(),
                    outlook,
                };
                let key = (answer.artifact.clone(), answer.zone.clone());
                let is_older = self.answers.get(&key).is_some_and(|(_, last)| {
                    (answer.term, answer.sequence) < (last.term, last.sequence)
                });
                if !is_older && self.wanted.contains(&answer.artifact) {
                    self.answers.insert(key, (self.now, answer.clone()));
                }
                self.event(AdmissionEvent::Routes(answer))
            }
            Input::Finish { nth } => match self.nth_running(nth) {
                Some(request) => {
                    self.running.remove(&request);
                    self.event(AdmissionEvent::Finished(request))
                }
                None => Ok(()),
            },
            Input::Return { nth, fault } => match self.nth_running(nth) {
                Some(request) => self.return_request(request, fault),
                None => Ok(()),
            },
            Input::Disconnect { nth } => {
                let request = RequestId(nth as u64);
                self.waiting.remove(&request);
                self.running.remove(&request);
                self.event(AdmissionEvent::CallerGone(request))
            }
            Input::Heads(heads) => {
                self.heads = heads.into_iter().map(zone).collect();
                self.event(AdmissionEvent::Heads(self.heads.clone()))
            }
            Input::Leaving(leaving) => {
                let name = |(zone, index)| replica(zone, index).runner;
                self.leaving = leaving.into_iter().map(name).collect();
                self.event(AdmissionEvent::Leaving(self.leaving.clone()))
            }
            Input::Wait { ms } => self.wait(ms),
        }
    }

    fn nth_running(&self, nth: usize) -> Option<RequestId> {
        self.running.keys().nth(nth).copied()
    }

    fn return_request(
        &mut self,
        request: RequestId,
        fault: BackEndFault,
    ) -> Result<(), TestCaseError> {
        let (mut open, runner) = self.running.remove(&request).unwrap();
        let until = self.now + self.settings.avoid_period;
        if fault == BackEndFault::Unreachable {
            let until = self.now + self.settings.unreachable_period;
            self.unreachable.insert(runner.clone(), until);
        }
        open.avoided.insert(runner, until);
        open.since = self.now;
        let deadline = open.arrival.deadline;
        self.waiting.insert(request, open);
        self.event(AdmissionEvent::Returned {
            request,
            fault,
            deadline,
        })
    }

    fn wait(&mut self, ms: u64) -> Result<(), TestCaseError> {
        let end = self.now + Duration::from_millis(ms);
        while self.next_tick <= end {
            self.now = self.next_tick;
            self.next_tick = self.now + Duration::from_millis(TICK);
            self.event(AdmissionEvent::Tick)?;
            self.check_after_tick()?;
        }
        self.now = end;
        Ok(())
    }

    fn event(&mut self, event: AdmissionEvent) -> Result<(), TestCaseError> {
        let actions = self.admission.handle(self.now, event);
        for action in actions {
            match action {
                AdmissionAction::Dispatch {
                    request,
                    runner,
                    address,
                } => {
                    self.check_dispatch(request, runner, &address)?;
                }
                AdmissionAction::Refuse { request, refusal } => {
                    self.check_refusal(request, &refusal)?;
                }
                AdmissionAction::SendDemand { zone, demand } => {
                    self.check_demand(zone, demand.artifact)?;
                }
            }
        }
        ensure(self.admission.waiting() == self.waiting.len(), || {
            "number of waiting requests differs".into()
        })?;
        ensure(self.admission.running() == self.running.len(), || {
            "number of running requests differs".into()
        })?;
        ensure(self.waiting.len() <= TOTAL_LIMIT, || {
            "total limit exceeded".into()
        })?;
        for index in 0..2 {
            let count = self.waiting_for(&artifact(index)).count();
            ensure(count <= QUEUE_LIMIT, || "queue limit exceeded".into())?;
        }
        Ok(())
    }

    fn waiting_for<'a>(&'a self, artifact: &'a ArtifactId) -> impl Iterator<Item = &'a Open> {
        let wanted = move |open: &&Open| open.arrival.artifact == *artifact;
        self.waiting.values().filter(wanted)
    }

    fn accepts(&self, open: &Open, runner: &RunnerName) -> bool {
        let is_excluded = |until: Option<&Timestamp>| until.is_some_and(|until| *until > self.now);
        !self.leaving.contains(runner)
            && !is_excluded(open.avoided.get(runner))
            && !is_excluded(self.unreachable.get(runner))
    }

    fn replicas<'a>(&'a self, wanted: &'a ArtifactId) -> impl Iterator<Item = &'a Replica> {
        self.answers
            .iter()
            .filter(move |((artifact, _), _)| artifact == wanted)
            .flat_map(|(_, (_, answer))| &answer.ready)
    }

    fn check_dispatch(
        &mut self,
        request: RequestId,
        runner: RunnerName,
        address: &str,
    ) -> Result<(), TestCaseError> {
        let Some(open) = self.waiting.remove(&request) else {
            return Err(TestCaseError::fail("dispatched twice or not waiting"));
        };
        ensure(open.arrival.deadline > self.now, || {
            "dispatched after its deadline".into()
        })?;
        ensure(self.accepts(&open, &runner), || {
            format!("{runner} accepts no work")
        })?;
        let is_known = self
            .replicas(&open.arrival.artifact)
            .any(|replica| replica.runner == runner && replica.address == address);
        ensure(is_known, || {
            format!("{runner} is not in the latest answers")
        })?;
        // A waiting request of higher rank that the runner accepts must be dispatched first.
        let first = self.waiting_for(&open.arrival.artifact).find(|other| {
            other.since < self.now && rank(other) > rank(&open) && self.accepts(other, &runner)
        });
        ensure(first.is_none(), || "overtaken by a lower rank".into())?;
        self.running.insert(request, (open, runner));
        Ok(())
    }

    fn check_refusal(
        &mut self,
        request: RequestId,
        refusal: &Refusal,
    ) -> Result<(), TestCaseError> {
        let Some(open) = self.waiting.remove(&request) else {
            return Err(TestCaseError::fail("refused twice or not waiting"));
        };
        ensure(refusal.code.not_run(), || {
            "the code must state that the request did not run".into()
        })?;
        ensure(refusal.retry_after.is_some(), || "no retry time".into())?;
        let deadline = open.arrival.deadline;
        let loading = self.latest_estimate(&open.arrival.artifact);
        let waited = self.now.since(open.since);
        match refusal.code {
            ResultCode::DeadlinePassed => ensure(deadline <= self.now, || {
                "refused before its deadline".into()
            }),
            ResultCode::DeadlineTooShort => {
                let is_late = loading.is_some_and(|ready| ready > deadline);
                ensure(is_late, || "refused although an estimate is in time".into())
            }
            ResultCode::QueueFull => {
                let lower = self.waiting.values().find(|other| {
                    other.arrival.artifact == open.arrival.artifact && rank(other) < rank(&open)
                });
                ensure(lower.is_none(), || {
                    "a request of lower rank stays queued".into()
                })
            }
            ResultCode::NoCoordinator | ResultCode::NoQuota => {
                let grace = self.settings.coordinator_grace;
                ensure(waited >= grace, || {
                    "refused before the end of the grace period".into()
                })
            }
            ResultCode::NoMemory => Ok(()),
            code => Err(TestCaseError::fail(format!("unexpected {code}"))),
        }
    }

    /// The latest time at which any zone's latest answer expects a replica.
    fn latest_estimate(&self, wanted: &ArtifactId) -> Option<Timestamp> {
        let answers = self
            .answers
            .iter()
            .filter(|((artifact, _), _)| artifact == wanted);
        answers
            .filter_map(|(_, (received, answer))| match answer.outlook {
                Outlook::Loading { estimate_ms } => {
                    Some(*received + Duration::from_millis(estimate_ms))
                }
                _ => None,
            })
            .max()
    }

    fn check_demand(&mut self, zone: ZoneName, artifact: ArtifactId) -> Result<(), TestCaseError> {
        ensure(self.heads.contains(&zone), || {
            format!("{zone} has no coordinator")
        })?;
        let last = self.demanded.insert((artifact, zone), self.now);
        let period = self.settings.demand_period;
        let is_due = last.is_none_or(|last| self.now.since(last) >= period);
        ensure(is_due, || "two demands in a period".into())
    }

    /// Checks the invariants that hold after each tick.
    fn check_after_tick(&self) -> Result<(), TestCaseError> {
        for open in self.waiting.values() {
            let arrival = &open.arrival;
            ensure(arrival.deadline > self.now, || {
                "waits past its deadline".into()
            })?;
            let could_run = self
                .replicas(&arrival.artifact)
                .any(|replica| self.accepts(open, &replica.runner));
            ensure(!could_run, || {
                "waits although a ready replica accepts it".into()
            })?;
            self.check_wait_limit(open)?;
            self.check_is_demanded(&arrival.artifact)?;
        }
        Ok(())
    }

    /// No request waits longer than the grace period without an outlook from any zone.
    fn check_wait_limit(&self, open: &Open) -> Result<(), TestCaseError> {
        let grace = self.settings.coordinator_grace;
        let artifact = &open.arrival.artifact;
        let received = self
            .answers
            .iter()
            .filter(|((wanted, _), _)| wanted == artifact)
            .map(|(_, (received, _))| *received)
            .max();
        let last_update = received.map_or(open.since, |received| received.max(open.since));
        // An answer is valid for the grace period; after that the grace period of the request
        // starts.
        let limit = grace * 2 + Duration::from_millis(TICK);
        ensure(self.now.since(last_update) <= limit, || {
            "waits too long without an outlook".into()
        })
    }

    /// While requests wait and a coordinator is known, demands are sent periodically.
    fn check_is_demanded(&self, artifact: &ArtifactId) -> Result<(), TestCaseError> {
        if self.heads.is_empty() {
            return Ok(());
        }
        let oldest = self.waiting_for(artifact).map(|open| open.since).min();
        let demanded = self
            .demanded
            .iter()
            .filter(|((wanted, _), _)| wanted == artifact);
        let latest = demanded.map(|(_, time)| *time).max();
        let since = latest.max(oldest).unwrap_or(self.now);
        let limit = self.settings.demand_period * 2 + Duration::from_millis(TICK);
        ensure(self.now.since(since) <= limit, || {
            "waits although no demand is sent".into()
        })
    }
}

/// Rank of a request; the greatest is served first.
fn rank(
    open: &Open,
) -> (
    u8,
    std::cmp::Reverse<Timestamp>,
    std::cmp::Reverse<RequestId>,
) {
    let arrival = &open.arrival;
    let deadline = std::cmp::Reverse(arrival.deadline);
    (
        arrival.priority,
        deadline,
        std::cmp::Reverse(arrival.request),
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_request_is_sent_or_refused_in_time(
        inputs in prop::collection::vec(input(), 1..80),
    ) {
        let mut model = Model::new();
        for input in inputs {
            model.apply(input)?;
        }
        // No request is left after the longest deadline.
        model.wait(16_000)?;
        prop_assert!(model.waiting.is_empty());
    }
}
