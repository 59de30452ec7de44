//! What the daemons' requests wait for and use.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::messages::{USE_WINDOW_SECONDS, Usage, WaitingUnit};
use crate::names::{RunnerId, Unit, Zone};

/// Time in which the remembered rate of a unit falls to a third.
const RATE_MEMORY_SECONDS: f64 = 20.0;

/// One daemon, as the coordinator knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it hears the coordinator.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Term that `holdings_version` is about.
    pub term: u64,
    /// Version of the holdings that it knows.
    pub holdings_version: u64,
    /// Number of members that it knows.
    pub known_members: u32,
    /// What its requests wait for.
    pub waiting: Vec<WaitingUnit>,
    usage: Usage,
    heard_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Timestamp,
    last_used: Timestamp,
}

/// A unit that requests wait for.
#[derive(Clone, Debug)]
pub struct WantedUnit {
    /// The unit.
    pub unit: Unit,
    /// Requests that wait, at all daemons.
    pub requests: u32,
    /// The most urgent rank among them.
    pub priority: u8,
    /// Since when somebody has waited.
    pub since: Timestamp,
}

/// All demand that the coordinator has heard of.
#[derive(Debug)]
pub struct Demands {
    timeout: Duration,
    members: BTreeMap<String, Member>,
    rates: HashMap<Unit, Rate>,
    waiting_since: HashMap<Unit, Timestamp>,
}

impl Demands {
    /// No demand; members count until they have been silent for the time given.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            members: BTreeMap::new(),
            rates: HashMap::new(),
            waiting_since: HashMap::new(),
        }
    }

    /// Takes in a message of a member.
    pub fn update(&mut self, usage: Usage, now: Timestamp) {
        if usage.leaving {
            self.members.remove(&usage.from);
            return;
        }
        for waiting in &usage.waiting {
            self.waiting_since
                .entry(waiting.unit.clone())
                .or_insert(now);
        }
        let member = Member {
            address: usage.address,
            zone: usage.zone.clone(),
            term: usage.term,
            holdings_version: usage.holdings_version,
            known_members: usage.known_members,
            waiting: usage.waiting.clone(),
            heard_at: now,
            usage,
        };
        self.members.insert(member.usage.from.clone(), member);
        self.update_rates(now);
    }

    fn update_rates(&mut self, now: Timestamp) {
        let mut current: HashMap<&Unit, u32> = HashMap::new();
        for member in self.members.values() {
            for used in &member.usage.used {
                *current.entry(&used.unit).or_default() += used.requests;
            }
            for waiting in &member.waiting {
                *current.entry(&waiting.unit).or_default() += waiting.requests;
            }
        }
        for (unit, requests) in current {
            let per_second = f64::from(requests) / f64::from(USE_WINDOW_SECONDS);
            let remembered = self.rates.get(unit).map_or(0.0, |rate| decayed(rate, now));
            let rate = Rate {
                per_second: per_second.max(remembered),
                at: now,
                last_used: now,
            };
            self.rates.insert(unit.clone(), rate);
        }
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Names and addresses of the members that live.
    pub fn live_members(&self, now: Timestamp) -> Vec<(String, SocketAddr)> {
        self.live(now)
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    fn live(&self, now: Timestamp) -> impl Iterator<Item = (&String, &Member)> {
        let timeout = self.timeout;
        self.members
            .iter()
            .filter(move |(_, member)| now.since(member.heard_at) < timeout)
    }

    /// What requests wait for, the most urgent and then the longest first.
    pub fn wanted(&mut self, now: Timestamp) -> Vec<WantedUnit> {
        let mut wanted: BTreeMap<Unit, WantedUnit> = BTreeMap::new();
        let timeout = self.timeout;
        let live = self
            .members
            .values()
            .filter(|member| now.since(member.heard_at) < timeout);
        for waiting in live.flat_map(|member| &member.waiting) {
            let since = self.waiting_since.get(&waiting.unit).copied();
            let entry = wanted
                .entry(waiting.unit.clone())
                .or_insert_with(|| WantedUnit {
                    unit: waiting.unit.clone(),
                    requests: 0,
                    priority: waiting.priority,
                    since: since.unwrap_or(now),
                });
            entry.requests += waiting.requests;
            entry.priority = entry.priority.min(waiting.priority);
        }
        self.waiting_since
            .retain(|unit, _| wanted.contains_key(unit));
        let mut wanted: Vec<WantedUnit> = wanted.into_values().collect();
        wanted.sort_by_key(|wanted| (wanted.priority, wanted.since));
        wanted
    }

    /// Whether a request waits for a unit or, if it is a model, for an adapter of it.
    pub fn is_waited_for(&self, unit: &Unit) -> bool {
        self.members
            .values()
            .flat_map(|member| &member.waiting)
            .filter(|waiting| waiting.unit.model == unit.model)
            .any(|waiting| unit.adapter.is_none() || waiting.unit.adapter == unit.adapter)
    }

    /// Requests a second for a model and all its adapters.
    pub fn model_rate(&self, model: &Unit, now: Timestamp) -> f64 {
        self.rates
            .iter()
            .filter(|(unit, _)| unit.model == model.model && unit.service == model.service)
            .map(|(_, rate)| decayed(rate, now))
            .sum()
    }

    /// Time since a unit was last used or waited for; `None` if never.
    pub fn unused_for(&self, unit: &Unit, now: Timestamp) -> Option<Duration> {
        let rate = self.rates.get(unit)?;
        Some(now.since(rate.last_used))
    }

    /// Models in use, with their rates.
    pub fn busy_models(&self, now: Timestamp) -> Vec<(Unit, f64)> {
        let mut models: BTreeMap<Unit, f64> = BTreeMap::new();
        for (unit, rate) in &self.rates {
            *models.entry(unit.base()).or_default() += decayed(rate, now);
        }
        let mut models: Vec<(Unit, f64)> = models.into_iter().collect();
        models.sort_by(|left, right| right.1.total_cmp(&left.1));
        models
    }

    /// Requests in progress at each runner.
    pub fn running_by_runner(&self, now: Timestamp) -> HashMap<RunnerId, u32> {
        let mut requests: HashMap<RunnerId, u32> = HashMap::new();
        for (_, member) in self.live(now) {
            for running in &member.usage.running {
                *requests.entry(running.runner.clone()).or_default() += running.requests;
            }
        }
        requests
    }

    /// Requests in progress with a model or one of its adapters at a runner.
    pub fn running(&self, runner: &RunnerId, unit: &Unit, now: Timestamp) -> u32 {
        self.live(now)
            .flat_map(|(_, member)| &member.usage.running)
            .filter(|running| running.runner == *runner && running.unit.model == unit.model)
            .filter(|running| unit.adapter.is_none() || running.unit.adapter == unit.adapter)
            .map(|running| running.requests)
            .sum()
    }
}

fn decayed(rate: &Rate, now: Timestamp) -> f64 {
    let seconds = now.since(rate.at).as_secs_f64();
    rate.per_second * (-seconds / RATE_MEMORY_SECONDS).exp()
}
