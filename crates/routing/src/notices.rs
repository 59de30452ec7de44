//! Runner state reported in the response heads of runners. It is more recent than any list.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};

use crate::concurrency::ledger::ConcurrencyLedger;
use crate::concurrency::limits::RejectionLimits;
use crate::names::RunnerId;
use crate::rate_limit::RequestRate;
use crate::rejections::RejectionBudgets;

/// Maximum number of runners that are tracked although they are not listed. It exceeds the number of runners that leave
/// during the few seconds for which an entry may be missing.
const MAX_UNLISTED: usize = 1_024;

/// Time for which a runner counts as down after nothing listened at its port. It is longer than a crashed runner stays in
/// the list, and short enough for one that is back under the same identity.
const DOWN_TTL: Duration = Duration::from_secs(3);

/// What one response head says about the runner that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// The runner is leaving and gets no new work.
    pub leaves: bool,
    /// The rate limit for all daemons together, in force for as long as the runner's responses include it.
    pub rate_limit: Option<RequestRate>,
    /// Requests per second, of all daemons together, that the runner can reject without failing.
    pub rejection_limit: Option<RequestRate>,
    /// How long the runner wants no work from this daemon, whose request it has rejected.
    pub rest: Option<Duration>,
}

/// Whether a runner reports a rate, and when that was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RateObservation {
    rate: Option<RequestRate>,
    /// When a response with a rate arrived, or when the request was sent whose response had none. The runner wrote its
    /// head before the former moment and after the latter. The later of two observations is therefore also the later
    /// one at the runner, even if responses overtake one another.
    at: Timestamp,
}

/// What a daemon knows about one incarnation of a runner from responses.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerState {
    leaves: bool,
    rate: Option<RateObservation>,
    rests_until: Option<Timestamp>,
}

impl RunnerState {
    /// Applies an observation of the rate. Returns whether the rate has changed.
    fn apply_rate(&mut self, observation: RateObservation) -> bool {
        if self.rate.is_some_and(|known| known.at > observation.at) {
            return false;
        }
        let before = self.rate.replace(observation).and_then(|known| known.rate);
        before != observation.rate
    }
}

/// What one daemon tells another about a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedNotice {
    /// The runner.
    pub runner: RunnerId,
    /// The runner is leaving.
    pub leaves: bool,
    /// Whether the runner reports a rate; `None` if no response has shown it.
    pub rate: Option<SharedRate>,
}

/// What one daemon tells another about the rate limit of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedRate {
    /// The rate; `None` if the runner no longer reports one.
    pub rate_limit: Option<RequestRate>,
    /// Age of the observation, in ms.
    pub age_ms: u32,
}

impl SharedRate {
    /// The observation in a message that arrived between two moments: a rate is dated from the later one, its end from
    /// the earlier one. A delayed message therefore does not end a rate that was reported after it.
    fn observation(self, earliest_arrival: Timestamp, now: Timestamp) -> RateObservation {
        let arrived_at = if self.rate_limit.is_some() {
            now
        } else {
            earliest_arrival
        };
        RateObservation {
            rate: self.rate_limit,
            at: arrived_at - Duration::from_millis(u64::from(self.age_ms)),
        }
    }
}

/// From any daemon to the coordinator, and from the coordinator to all others: runner state observed in responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerNotices {
    /// Address on which the sender listens.
    pub from: SocketAddr,
    /// The notices.
    pub notices: Vec<SharedNotice>,
}

/// The result of merging another daemon's notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeUpdate {
    /// The known state has changed.
    Changed,
    /// The known state has not changed.
    Unchanged,
    /// The receiver knows something more recent than the sender.
    SenderOutdated,
}

/// What a daemon knows about runners from responses, its own and those that other daemons have reported. Each notice
/// belongs to one incarnation of a runner and ends with it.
#[derive(Debug, Default)]
pub struct Notices {
    runners: HashMap<RunnerId, RunnerState>,
    /// Services whose runners are brittle.
    pub rejection_limits: RejectionLimits,
    /// Permits for requests to brittle runners.
    pub concurrency: ConcurrencyLedger,
    /// Requests that brittle runners may have to reject, while there is no keeper that gives permits.
    pub rejections: RejectionBudgets,
    /// Number of runners that were found to be leaving.
    leave_count: u64,
    /// Until when runners at whose port nothing listens count as down.
    down_until: HashMap<RunnerId, Timestamp>,
}

impl Notices {
    /// Records that nothing listens at a runner's port, so that it has crashed: its entry stays in the list for seconds.
    /// Returns whether the runner was not known to be down.
    pub fn record_down(&mut self, runner: &RunnerId, now: Timestamp) -> bool {
        self.down_until.retain(|_, until| *until > now);
        let until = now + DOWN_TTL;
        self.down_until.insert(runner.clone(), until).is_none()
    }

    /// Whether nothing listened at a runner's port lately.
    pub fn is_down(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.down_until
            .get(runner)
            .is_some_and(|until| *until > now)
    }

    /// All runners at whose ports nothing listened lately.
    pub fn down(&self, now: Timestamp) -> BTreeSet<RunnerId> {
        let down = self.down_until.iter().filter(|(_, until)| **until > now);
        down.map(|(runner, _)| runner.clone()).collect()
    }

    /// Applies what a response says, to a request that was sent at `sent_at`. Returns whether that is new.
    pub fn apply_answer(
        &mut self,
        runner: &RunnerId,
        notice: RunnerNotice,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let limit = notice.rejection_limit;
        let has_new_limit = self.rejections.apply(runner, limit, sent_at, now);
        if notice == RunnerNotice::default() && !self.runners.contains_key(runner) {
            return has_new_limit;
        }
        let known = self.runners.entry(runner.clone()).or_default();
        let at = if notice.rate_limit.is_some() {
            now
        } else {
            sent_at
        };
        let rate = notice.rate_limit;
        let has_changed = known.apply_rate(RateObservation { rate, at });
        if let Some(rest) = notice.rest {
            let until = now + rest;
            known.rests_until = Some(known.rests_until.map_or(until, |known| known.max(until)));
        }
        let starts_leaving = notice.leaves && self.mark_leaving(runner);
        has_changed || has_new_limit || starts_leaving || notice.rest.is_some()
    }

    /// Returns whether that is new. An incarnation that is leaving never returns to service.
    fn mark_leaving(&mut self, runner: &RunnerId) -> bool {
        let known = self.runners.entry(runner.clone()).or_default();
        let is_news = !known.leaves;
        known.leaves = true;
        self.leave_count += u64::from(is_news);
        is_news
    }

    /// Merges a notice of another daemon from a message that arrived between two moments.
    pub fn merge(
        &mut self,
        shared: &SharedNotice,
        earliest_arrival: Timestamp,
        now: Timestamp,
    ) -> NoticeUpdate {
        let starts_leaving = shared.leaves && self.mark_leaving(&shared.runner);
        let known = self.runners.entry(shared.runner.clone()).or_default();
        let observation = shared
            .rate
            .map(|rate| rate.observation(earliest_arrival, now));
        let knows_newer = known.rate.is_some_and(|known| {
            let is_older = observation.is_none_or(|observation| observation.at < known.at);
            is_older && observation.and_then(|observation| observation.rate) != known.rate
        });
        let lacks_leaving = known.leaves && !shared.leaves;
        let has_changed = observation.is_some_and(|observation| known.apply_rate(observation));
        if has_changed || starts_leaving {
            NoticeUpdate::Changed
        } else if knows_newer || lacks_leaving {
            NoticeUpdate::SenderOutdated
        } else {
            NoticeUpdate::Unchanged
        }
    }

    /// The notice about a runner to send to other daemons; `None` if there is nothing to report.
    pub fn shared(&self, runner: &RunnerId, now: Timestamp) -> Option<SharedNotice> {
        let known = self.runners.get(runner)?;
        let rate = known.rate.map(|observation| SharedRate {
            rate_limit: observation.rate,
            age_ms: u32::try_from(millis(now.since(observation.at))).unwrap_or(u32::MAX),
        });
        (known.leaves || rate.is_some()).then(|| SharedNotice {
            runner: runner.clone(),
            leaves: known.leaves,
            rate,
        })
    }

    /// Whether a runner has reported that it is leaving.
    pub fn is_leaving(&self, runner: &RunnerId) -> bool {
        self.runners.get(runner).is_some_and(|known| known.leaves)
    }

    /// When a resting runner accepts work from this daemon again.
    pub fn rests_until(&self, runner: &RunnerId, now: Timestamp) -> Option<Timestamp> {
        let known = self.runners.get(runner)?;
        known.rests_until.filter(|&until| now < until)
    }

    /// All resting runners, and until when they rest.
    pub fn resting(&self, now: Timestamp) -> impl Iterator<Item = (&RunnerId, Timestamp)> {
        let runners = self.runners.keys();
        runners.filter_map(move |runner| Some((runner, self.rests_until(runner, now)?)))
    }

    /// All runners that have reported that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        let runners = self.runners.iter();
        let leaving = runners.filter(|(_, known)| known.leaves);
        leaving.map(|(runner, _)| runner)
    }

    /// Total number of runners that were found to be leaving.
    pub fn leave_count(&self) -> u64 {
        self.leave_count
    }

    /// The rate limit of a runner for all daemons together, if it reports one.
    pub fn rate_limit(&self, runner: &RunnerId) -> Option<RequestRate> {
        self.runners.get(runner)?.rate?.rate
    }

    /// Whether a runner is known to have reported a rate, now or earlier.
    pub fn has_reported_rate(&self, runner: &RunnerId) -> bool {
        self.runners
            .get(runner)
            .is_some_and(|known| known.rate.is_some())
    }

    /// All runners that report a rate.
    pub fn limited(&self) -> impl Iterator<Item = &RunnerId> {
        let runners = self.runners.iter();
        let limited = runners.filter(|(_, known)| known.rate.is_some_and(|it| it.rate.is_some()));
        limited.map(|(runner, _)| runner)
    }

    /// Removes runners that are not listed, once there are many of them. An entry may be missing for a while although
    /// its runner is alive, and its notices still apply then.
    pub fn retain(&mut self, is_listed: impl Fn(&RunnerId) -> bool) {
        let unlisted = self.runners.keys().filter(|id| !is_listed(id)).count();
        if unlisted > MAX_UNLISTED {
            self.runners.retain(|id, _| is_listed(id));
            self.rejections.retain(is_listed);
        }
    }
}
