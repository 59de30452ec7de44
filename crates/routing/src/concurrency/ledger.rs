//! A daemon's side: its permits in use, what it reports of them, and whether the keeper answers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::{ConcurrencyReport, EndedPermit, HeldPermits, PermitOutcome, REPORT_INTERVAL};
use crate::names::{RunnerId, ServiceName};

/// Number of questions in a row without an answer after which the keeper counts as silent: one message may get lost.
const MAX_UNANSWERED: u32 = 2;
/// Time for which a silent keeper is not asked. It doubles up to the longest one: a coordinator of an earlier build
/// never answers, and each question to it delays requests.
const MIN_SILENCE: Duration = Duration::from_secs(1);
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Time for which it counts what the keeper has said of the load of a service.
const LOAD_TTL: Duration = Duration::from_secs(5);
/// Time without word of a keeper after which there is no keeper to wait for: a successor takes over within a few seconds.
/// Coordinators of earlier builds never answer.
const FAILOVER_TIME: Duration = Duration::from_secs(10);
/// Number of permits in one report, so that it fits a datagram.
const MAX_PERMITS_PER_REPORT: usize = 64;

/// What the keeper has said of the runners of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceLoad {
    is_busy: bool,
    at: Timestamp,
}

impl ServiceLoad {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.at) < LOAD_TTL
    }
}

/// The concurrency permits of one daemon.
#[derive(Debug, Default)]
pub struct ConcurrencyLedger {
    held: HashMap<RunnerId, BTreeSet<u64>>,
    /// Runners of which the last full report listed permits.
    reported: BTreeSet<RunnerId>,
    ended: Vec<EndedPermit>,
    /// The ended permits of the last report, to be sent once more.
    repeated: Vec<EndedPermit>,
    /// Number of the last request that was decided.
    last_number: u64,
    keeper: Option<SocketAddr>,
    /// When all permits in use were last reported.
    fully_reported_at: Timestamp,
    /// Questions without an answer since the last answer, and when the last of them was given up.
    unanswered: u32,
    unanswered_at: Option<Timestamp>,
    silent_until: Option<Timestamp>,
    /// When a keeper was last heard.
    heard_at: Option<Timestamp>,
    loads: HashMap<ServiceName, ServiceLoad>,
}

impl ConcurrencyLedger {
    /// Whether the keeper should be asked: it has answered lately, or not been asked.
    pub fn hears_keeper(&self, now: Timestamp) -> bool {
        self.silent_until.is_none_or(|until| now >= until)
    }

    /// Whether requests may be sent to a service while the keeper is silent, within this daemon's own share of
    /// rejections. Until a successor takes over, only services that are known to have room get requests.
    pub fn may_use_own_share(&self, service: &ServiceName, now: Timestamp) -> bool {
        let is_failover = self
            .heard_at
            .is_some_and(|at| now.since(at) < FAILOVER_TIME);
        let load = self.loads.get(service).filter(|load| load.is_current(now));
        !is_failover || load.is_some_and(|load| !load.is_busy)
    }

    /// Records what the keeper has announced of the runners of a service.
    pub fn record_announcement(&mut self, service: &ServiceName, is_busy: bool, now: Timestamp) {
        self.heard_at = Some(now);
        self.record_load(service, is_busy, now);
    }

    /// One busy runner makes the service busy.
    fn record_load(&mut self, service: &ServiceName, is_busy: bool, now: Timestamp) {
        let known = self.loads.get(service);
        let was_busy = known.is_some_and(|load| load.is_busy && load.is_current(now));
        if is_busy || !was_busy {
            let load = ServiceLoad { is_busy, at: now };
            self.loads.insert(service.clone(), load);
        }
    }

    /// Records that the keeper has not answered a question. Several that were pending at the same time count as one, since
    /// they may have been in one message.
    pub fn record_unanswered(&mut self, asked_at: Timestamp, now: Timestamp) {
        if self.unanswered_at.is_some_and(|at| asked_at <= at) {
            return;
        }
        self.unanswered_at = Some(now);
        self.unanswered += 1;
        if self.unanswered >= MAX_UNANSWERED {
            let doublings = (self.unanswered - MAX_UNANSWERED).min(u32::BITS - 1);
            let silence = MIN_SILENCE.saturating_mul(1 << doublings);
            self.silent_until = Some(now + silence.min(MAX_SILENCE));
        }
    }

    /// Records that the keeper has given a permit.
    pub fn record_permit(
        &mut self,
        number: u64,
        runner: &RunnerId,
        service: &ServiceName,
        is_busy: bool,
        now: Timestamp,
    ) {
        self.record_answer(number, now);
        self.record_load(service, is_busy, now);
        let held = self.held.entry(runner.clone()).or_default();
        held.insert(number);
    }

    /// Records that the keeper has refused a permit.
    pub fn record_refusal(&mut self, number: u64, service: &ServiceName, now: Timestamp) {
        self.record_answer(number, now);
        self.record_load(service, true, now);
    }

    fn record_answer(&mut self, number: u64, now: Timestamp) {
        self.heard_at = Some(now);
        self.unanswered = 0;
        self.silent_until = None;
        self.last_number = self.last_number.max(number);
    }

    /// Records that a permit is no longer in use.
    pub fn end(&mut self, number: u64, runner: &RunnerId, outcome: PermitOutcome) {
        if let Some(held) = self.held.get_mut(runner) {
            held.remove(&number);
            if held.is_empty() {
                self.held.remove(runner);
            }
        }
        self.ended.push(EndedPermit {
            number,
            runner: runner.clone(),
            outcome,
        });
    }

    /// When the next report is due; `None` if there is nothing to report.
    fn next_report(&self) -> Option<Timestamp> {
        if !self.ended.is_empty() {
            return Some(Timestamp::ZERO);
        }
        let is_used =
            !self.repeated.is_empty() || !self.held.is_empty() || !self.reported.is_empty();
        is_used.then(|| self.fully_reported_at + REPORT_INTERVAL)
    }

    /// The reports that are due to the keeper: the permits that have ended and, from time to time and to a new keeper,
    /// all that are in use.
    pub fn due_reports(
        &mut self,
        from: SocketAddr,
        keeper: SocketAddr,
        now: Timestamp,
    ) -> Vec<ConcurrencyReport> {
        self.set_keeper(keeper);
        if self.next_report().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let is_full = now.since(self.fully_reported_at) >= REPORT_INTERVAL;
        let held = if is_full {
            self.fully_reported_at = now;
            self.all_held()
        } else {
            Vec::new()
        };
        let ended = std::mem::take(&mut self.ended);
        let mut all_ended = std::mem::replace(&mut self.repeated, ended.clone());
        all_ended.extend(ended);
        split_report(from, &all_ended, &held)
    }

    /// A new keeper may answer, and does not know which permits are in use.
    fn set_keeper(&mut self, keeper: SocketAddr) {
        if self.keeper.replace(keeper) != Some(keeper) {
            self.unanswered = 0;
            self.silent_until = None;
            self.fully_reported_at = Timestamp::ZERO;
        }
    }

    /// The permits in use, also for the runners where they have just ended.
    fn all_held(&mut self) -> Vec<HeldPermits> {
        let runners: BTreeSet<RunnerId> = self.held.keys().cloned().collect();
        let before = std::mem::replace(&mut self.reported, runners);
        let listed = self.reported.union(&before);
        listed
            .map(|runner| HeldPermits {
                runner: runner.clone(),
                up_to: self.last_number,
                numbers: self
                    .held
                    .get(runner)
                    .into_iter()
                    .flatten()
                    .copied()
                    .collect(),
            })
            .collect()
    }
}

/// Splits a report so that each part fits a datagram.
fn split_report(
    from: SocketAddr,
    ended: &[EndedPermit],
    held: &[HeldPermits],
) -> Vec<ConcurrencyReport> {
    let of_ended = ended
        .chunks(MAX_PERMITS_PER_REPORT)
        .map(|ended| ConcurrencyReport {
            from,
            ended: ended.to_vec(),
            held: Vec::new(),
        });
    let of_held = held
        .chunks(MAX_PERMITS_PER_REPORT)
        .map(|held| ConcurrencyReport {
            from,
            ended: Vec::new(),
            held: held.to_vec(),
        });
    of_held.chain(of_ended).collect()
}
