//! What runners say of themselves in the heads of their answers. It is fresher than any list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};

use crate::names::RunnerId;
use crate::rate_limit::RequestRate;

/// Runners of which something is kept although they are not listed; more than leave in the seconds for which an entry may
/// be missing.
const MAX_UNLISTED: usize = 1_024;

/// What the head of one answer says of the runner that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// It leaves, and gets no new work.
    pub leaves: bool,
    /// What it takes from all daemons together, for as long as its answers say so.
    pub rate_limit: Option<RequestRate>,
    /// Time for which it wants nothing from the daemon that it has turned away.
    pub rest: Option<Duration>,
}

/// Whether a runner names a rate, and when that was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RateWord {
    rate: Option<RequestRate>,
    /// When an answer came that named a rate, or when the request was sent whose answer named none: that runner's head was
    /// made before the one moment, and after the other. So of two words the later one is the later one at the runner, too,
    /// though answers overtake one another.
    at: Timestamp,
}

/// What a daemon knows of one life of a runner by answers.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    leaves: bool,
    rate: Option<RateWord>,
    rests_until: Option<Timestamp>,
}

impl Known {
    /// Takes in a word of a rate. Returns whether the rate has changed by it.
    fn take_rate(&mut self, word: RateWord) -> bool {
        if self.rate.is_some_and(|known| known.at > word.at) {
            return false;
        }
        let before = self.rate.replace(word).and_then(|known| known.rate);
        before != word.rate
    }
}

/// What one daemon tells another of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedNotice {
    /// The runner.
    pub runner: RunnerId,
    /// It leaves.
    pub leaves: bool,
    /// Whether it names a rate; `None` if no answer was heard that tells.
    pub rate: Option<SharedRate>,
}

/// What one daemon tells another of the rate that a runner takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedRate {
    /// The rate; `None` if it names none any more.
    pub rate_limit: Option<RequestRate>,
    /// Time since that was known, in ms.
    pub age_ms: u32,
}

impl SharedRate {
    /// The word in a message that came between two moments: a rate counts as of the later, its end as of the earlier one. So
    /// a message that was held up ends no rate that was named after it.
    fn word(self, came_after: Timestamp, now: Timestamp) -> RateWord {
        let came = if self.rate_limit.is_some() {
            now
        } else {
            came_after
        };
        RateWord {
            rate: self.rate_limit,
            at: came - Duration::from_millis(u64::from(self.age_ms)),
        }
    }
}

/// From any daemon to the coordinator, and from that one to all others: what answers have told of runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerNotices {
    /// Where the sender listens.
    pub from: SocketAddr,
    /// What it knows.
    pub notices: Vec<SharedNotice>,
}

/// What another daemon's word comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It changes what is known.
    News,
    /// It does not.
    Known,
    /// Something later is known here.
    Outdated,
}

/// What a daemon knows of runners by answers, its own and those that others have told it of. Each belongs to one life of a
/// runner, and ends with it.
#[derive(Debug, Default)]
pub struct Notices {
    runners: HashMap<RunnerId, Known>,
    /// Runners that were found to leave.
    leave_count: u64,
}

impl Notices {
    /// Takes in what an answer says to a request that was sent at a time. Returns whether that is news.
    pub fn take_in(
        &mut self,
        runner: &RunnerId,
        notice: RunnerNotice,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if notice == RunnerNotice::default() && !self.runners.contains_key(runner) {
            return false;
        }
        let known = self.runners.entry(runner.clone()).or_default();
        let at = if notice.rate_limit.is_some() {
            now
        } else {
            sent_at
        };
        let rate = notice.rate_limit;
        let has_changed = known.take_rate(RateWord { rate, at });
        if let Some(rest) = notice.rest {
            let until = now + rest;
            known.rests_until = Some(known.rests_until.map_or(until, |known| known.max(until)));
        }
        let begins_to_leave = notice.leaves && self.note_leaving(runner);
        has_changed || begins_to_leave || notice.rest.is_some()
    }

    /// Returns whether that is news. No life of a runner stays after all.
    fn note_leaving(&mut self, runner: &RunnerId) -> bool {
        let known = self.runners.entry(runner.clone()).or_default();
        let is_news = !known.leaves;
        known.leaves = true;
        self.leave_count += u64::from(is_news);
        is_news
    }

    /// Takes in what another daemon tells, in a message that came between two moments.
    pub fn hear(&mut self, told: &SharedNotice, came_after: Timestamp, now: Timestamp) -> Heard {
        let begins_to_leave = told.leaves && self.note_leaving(&told.runner);
        let known = self.runners.entry(told.runner.clone()).or_default();
        let word = told.rate.map(|rate| rate.word(came_after, now));
        let knows_later = known.rate.is_some_and(|known| {
            let is_older = word.is_none_or(|word| word.at < known.at);
            is_older && word.and_then(|word| word.rate) != known.rate
        });
        let lacks_leave = known.leaves && !told.leaves;
        let has_changed = word.is_some_and(|word| known.take_rate(word));
        if has_changed || begins_to_leave {
            Heard::News
        } else if knows_later || lacks_leave {
            Heard::Outdated
        } else {
            Heard::Known
        }
    }

    /// What other daemons are to be told of a runner; `None` if that is nothing.
    pub fn shared(&self, runner: &RunnerId, now: Timestamp) -> Option<SharedNotice> {
        let known = self.runners.get(runner)?;
        let rate = known.rate.map(|word| SharedRate {
            rate_limit: word.rate,
            age_ms: u32::try_from(millis(now.since(word.at))).unwrap_or(u32::MAX),
        });
        (known.leaves || rate.is_some()).then(|| SharedNotice {
            runner: runner.clone(),
            leaves: known.leaves,
            rate,
        })
    }

    /// Whether a runner has said that it leaves.
    pub fn leaves(&self, runner: &RunnerId) -> bool {
        self.runners.get(runner).is_some_and(|known| known.leaves)
    }

    /// When a runner wants work from this daemon again, if it rests.
    pub fn rests_until(&self, runner: &RunnerId, now: Timestamp) -> Option<Timestamp> {
        let known = self.runners.get(runner)?;
        known.rests_until.filter(|&until| now < until)
    }

    /// All runners that rest, and until when.
    pub fn resting(&self, now: Timestamp) -> impl Iterator<Item = (&RunnerId, Timestamp)> {
        let runners = self.runners.keys();
        runners.filter_map(move |runner| Some((runner, self.rests_until(runner, now)?)))
    }

    /// All runners that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        let runners = self.runners.iter();
        let leaving = runners.filter(|(_, known)| known.leaves);
        leaving.map(|(runner, _)| runner)
    }

    /// How many runners were found to leave until now.
    pub fn leave_count(&self) -> u64 {
        self.leave_count
    }

    /// The rate that a runner takes from all daemons together, if it names one.
    pub fn rate_limit(&self, runner: &RunnerId) -> Option<RequestRate> {
        self.runners.get(runner)?.rate?.rate
    }

    /// Whether it is known that a runner has named a rate, now or before.
    pub fn has_named_rate(&self, runner: &RunnerId) -> bool {
        self.runners
            .get(runner)
            .is_some_and(|known| known.rate.is_some())
    }

    /// All runners that name a rate.
    pub fn limited(&self) -> impl Iterator<Item = &RunnerId> {
        let runners = self.runners.iter();
        let limited = runners.filter(|(_, known)| known.rate.is_some_and(|it| it.rate.is_some()));
        limited.map(|(runner, _)| runner)
    }

    /// Forgets runners that are not listed, once there are many: an entry may be missing for a while although its runner
    /// lives, and what it has said still binds then.
    pub fn retain(&mut self, is_listed: impl Fn(&RunnerId) -> bool) {
        let unlisted = self.runners.keys().filter(|id| !is_listed(id)).count();
        if unlisted > MAX_UNLISTED {
            self.runners.retain(|id, _| is_listed(id));
        }
    }
}
