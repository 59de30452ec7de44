//! The callers' side of a daemon, joined from the pure machines in the way of the HTTP gateway:
//! one run per request, from its arrival to its answer and the record of its claim.

mod interface;
mod run;
mod service_pool;

use std::collections::BTreeMap;
use std::sync::Arc;

use flaxward_control::admission::{Admission, AdmissionAction, AdmissionEvent};
use flaxward_control::attempt::{Delivered, RetryBudget};
use flaxward_control::configuration::Configuration;
use flaxward_control::stream::{FrameVerdict, StreamEnd};
use flaxward_types::{AttemptId, DaemonName, Refusal, ResultCode, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use interface::{Attempt, GatewayAction, GatewayEvent, GatewaySettings, News};
use run::{Phase, Run};
use service_pool::ServicePool;

use crate::weakness::DaemonWeakness;

/// The gateway of one process.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    me: DaemonName,
    admission: Admission,
    pool: ServicePool,
    budget: RetryBudget,
    configuration: Arc<Configuration>,
    runs: BTreeMap<u64, Run>,
    attempts: BTreeMap<AttemptId, u64>,
    is_stopping: bool,
    random: ChaCha8Rng,
    actions: Vec<GatewayAction>,
    now: Timestamp,
    now_unix: u64,
}

impl Gateway {
    /// A gateway that has just started; `zones` are those known, its own first.
    pub fn new(
        settings: GatewaySettings,
        me: DaemonName,
        zones: Vec<ZoneName>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            pool: ServicePool::new(zones[0].clone(), random.random()),
            admission: Admission::new(settings.admission.clone(), zones, random.random()),
            budget: RetryBudget::new(settings.retries, now),
            settings,
            me,
            configuration: Arc::default(),
            runs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            is_stopping: false,
            random,
            actions: Vec::new(),
            now,
            now_unix: 0,
        }
    }

    /// Takes in an event and says what to do.
    pub fn handle(
        &mut self,
        event: GatewayEvent,
        now: Timestamp,
        now_unix: u64,
    ) -> Vec<GatewayAction> {
        self.now = now;
        self.now_unix = now_unix;
        let ignores_leaving = self.settings.weakness == DaemonWeakness::IgnoresLeaving;
        match event {
            GatewayEvent::Arrive(request) => self.arrive(request),
            GatewayEvent::News(attempt, news) => self.take_news(attempt, news),
            GatewayEvent::ClaimWritten(number, result) => self.claim_written(number, result),
            GatewayEvent::Routes(answers) => {
                for answer in answers {
                    self.admit(AdmissionEvent::Routes(answer));
                }
            }
            GatewayEvent::RoutesHeld(held) => self.admit(AdmissionEvent::RoutesHeld(held)),
            GatewayEvent::Heads(heads) => self.admit(AdmissionEvent::Heads(heads)),
            GatewayEvent::Leaving(_) if ignores_leaving => {}
            GatewayEvent::Leaving(leaving) => {
                self.pool.set_leaving(leaving.clone());
                self.admit(AdmissionEvent::Leaving(leaving));
            }
            GatewayEvent::Services(mut machines) => {
                for machine in &mut machines {
                    machine.leaving &= !ignores_leaving;
                }
                self.pool.set_machines(machines);
            }
            GatewayEvent::Configuration(configuration) => self.configuration = configuration,
            GatewayEvent::Tick => self.tick(),
            GatewayEvent::Stop => self.is_stopping = true,
        }
        self.serve_waiting();
        std::mem::take(&mut self.actions)
    }

    /// Requests in progress, claims whose outcome is being recorded included.
    pub fn in_progress(&self) -> usize {
        self.runs.len()
    }

    /// The requests whose callers wait for an answer.
    pub fn unanswered(&self) -> impl Iterator<Item = u64> {
        let waits = |(_, run): &(&u64, &Run)| run.phase != Phase::Settling;
        self.runs.iter().filter(waits).map(|(number, _)| *number)
    }

    /// Whether a claimed attempt is in progress here.
    pub fn holds_claim(&self, attempt: AttemptId) -> bool {
        self.runs
            .values()
            .any(|run| run.claim.is_some() && run.first_attempt == attempt)
    }

    /// The configuration that requests are served by.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// This daemon.
    pub fn me(&self) -> &DaemonName {
        &self.me
    }

    fn deliver_refusal(&mut self, number: u64, refusal: Refusal) {
        let delivery = crate::caller::Delivery::Refusal(refusal);
        self.actions.push(GatewayAction::Deliver(number, delivery));
    }

    fn admit(&mut self, event: AdmissionEvent) {
        let mut demands: BTreeMap<ZoneName, Vec<_>> = BTreeMap::new();
        for action in self.admission.handle(self.now, event) {
            match action {
                AdmissionAction::Dispatch {
                    request, runner, ..
                } => self.dispatch(request.0, &runner),
                AdmissionAction::Refuse { request, refusal } => self.give_up(request.0, refusal),
                AdmissionAction::SendDemand { zone, demand } => {
                    demands.entry(zone).or_default().push(demand);
                }
            }
        }
        for (zone, demands) in demands {
            self.actions.push(GatewayAction::Demands(zone, demands));
        }
    }

    fn serve_waiting(&mut self) {
        while let Some((number, runner)) = self.pool.next() {
            self.dispatch(number, &runner);
        }
    }

    fn tick(&mut self) {
        self.admit(AdmissionEvent::Tick);
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            self.check_timers(number);
        }
    }

    fn take_news(&mut self, attempt: AttemptId, news: News) {
        use flaxward_control::attempt::AttemptEnd;
        let Some(&number) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let is_current = run.is_at(attempt);
        if is_current && let Phase::Streaming { last } = &mut run.phase {
            *last = self.now;
        }
        let end = match news {
            News::Token(index, frame) => return self.take_token(number, attempt, index, frame),
            News::Terminator => return self.take_terminator(number, attempt),
            _ if !is_current => return,
            News::NotSent => AttemptEnd::NotSent,
            News::NotRun => AttemptEnd::RefusedBeforeRunning,
            News::Head => {
                run.phase = if run.request.stream {
                    Phase::Streaming { last: self.now }
                } else {
                    Phase::Reading
                };
                return;
            }
            News::Body(status, body) => return self.take_body(number, status, body),
            News::Broken => run.broken(),
        };
        self.end(number, end);
    }

    fn take_token(
        &mut self,
        number: u64,
        attempt: AttemptId,
        index: u64,
        frame: crate::caller::Frame,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let verdict = match self.settings.weakness {
            DaemonWeakness::PassesEveryFrame => FrameVerdict::Deliver,
            _ => run.checker.feed(attempt, index),
        };
        match verdict {
            FrameVerdict::Deliver => {
                let delivered = Delivered::Frames(run.checker.next_index());
                run.machine.record_delivered(attempt, delivered);
                let delivery = crate::caller::Delivery::Frame(frame);
                self.actions.push(GatewayAction::Deliver(number, delivery));
            }
            FrameVerdict::Duplicate | FrameVerdict::Stale => {}
            FrameVerdict::Gap { .. } => {
                self.end(number, flaxward_control::attempt::AttemptEnd::Truncated);
            }
        }
    }

    fn take_terminator(&mut self, number: u64, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.checker.feed_terminator(attempt, None);
        match run.checker.finish(attempt) {
            StreamEnd::Complete => self.complete(number),
            StreamEnd::Truncated => {
                self.end(number, flaxward_control::attempt::AttemptEnd::Truncated);
            }
            StreamEnd::Stale => {}
        }
    }

    fn refuse_arrival(&mut self, number: u64, code: ResultCode) {
        self.deliver_refusal(number, Refusal::new(code));
    }
}
