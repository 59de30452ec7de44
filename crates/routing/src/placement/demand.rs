//! Demand at the daemons: the units that their requests wait for, use and run on.
//!
//! Messages of members are only stored on arrival. [`DemandTracker::refresh`] aggregates them once
//! per plan, so that a query is one look-up regardless of the number of members and units.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::homes::{Homes, Requirement};
use crate::locality::Regions;
use crate::messages::{KnownState, USE_WINDOW_SECONDS, Usage, WaitNotice, WaitingUnit};
use crate::names::{RunnerId, Unit, Zone};
use crate::standby::Candidate;
use crate::strength::MachineStrength;

use super::origins::Origins;

/// Time constant of the decay of a unit's remembered rate: it falls to 1/e, about a third, in this
/// time.
const RATE_DECAY_SECONDS: f64 = 20.0;
/// Interval between computations of the rates.
const RATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without use after which a unit's rate is discarded.
const RATE_EXPIRY: Duration = Duration::from_mins(2);

/// Factor between the weights of requests of two successive priority ranks. The worth of a request
/// is not known; the service rules make it expensive to serve a kind of request less often than a
/// less urgent one.
const RANK_WEIGHT: f64 = 3.0;
/// Weight of a request that will miss its deadline in any case, relative to one that can still meet
/// it. If more is asked for than can be loaded, serving the oldest requests first would make all of
/// them late.
const LATE_WEIGHT: f64 = 0.25;
/// Time over which expected arrivals count like waiting requests, in seconds: about the duration of
/// a load from disk.
const FORECAST_SECONDS: f64 = 1.0;
/// Waiting time after which the weight of a unit has doubled, in seconds.
const AGING_SECONDS: f64 = 2.0;

/// Rate in requests per second above which some requests for a model count as unrestricted: half a
/// request per usage window, so that rounding errors of the sums do not count as a request.
const MIN_UNRESTRICTED_RATE: f64 = 0.5 / USE_WINDOW_SECONDS as f64;

/// Converts a number of requests per usage window to requests per second.
fn requests_per_second(requests: u32) -> f64 {
    f64::from(requests) / f64::from(USE_WINDOW_SECONDS)
}

/// A daemon as the coordinator knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address at which it receives the coordinator's messages.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// What it knows of the coordinator's state.
    pub known: KnownState,
    /// Units that its requests wait for.
    pub waiting: Vec<WaitingUnit>,
    usage: Usage,
    last_message_at: Timestamp,
}

impl Member {
    /// The units that its requests wait for, with the numbers of requests.
    pub(super) fn waiting_requests(&self) -> impl Iterator<Item = (&Requirement, u32)> {
        self.waiting.iter().map(|it| (&it.requirement, it.requests))
    }

    /// The units that its requests recently used or wait for, with the numbers of requests.
    pub(super) fn recent_requests(&self) -> impl Iterator<Item = (&Requirement, u32)> {
        let used = self.usage.used.iter();
        let used = used.map(|it| (&it.requirement, it.requests));
        used.chain(self.waiting_requests())
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    current_per_second: f64,
    at: Timestamp,
    last_used: Timestamp,
}

impl Rate {
    /// Requests per second in the latest usage window.
    fn current_rate(&self, now: Timestamp) -> f64 {
        if now.since(self.last_used) < RATE_INTERVAL * 2 {
            self.current_per_second
        } else {
            0.0
        }
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let seconds = now.since(self.at).as_secs_f64();
        self.per_second * (-seconds / RATE_DECAY_SECONDS).exp()
    }
}

/// Use of a model including all its adapters.
#[derive(Clone, Debug)]
struct ModelUse {
    per_second: f64,
    /// The same in the latest usage window alone.
    current_per_second: f64,
    last_used: Timestamp,
    /// Requests per second in the latest usage window by their homes, for requests that are
    /// restricted to homes.
    restricted: BTreeMap<Homes, f64>,
    /// Whether requests in the latest usage window may be served anywhere.
    has_unrestricted: bool,
}

impl ModelUse {
    fn new(last_used: Timestamp) -> Self {
        Self {
            per_second: 0.0,
            current_per_second: 0.0,
            last_used,
            restricted: BTreeMap::new(),
            has_unrestricted: false,
        }
    }

    /// The homes under which the model is used, with the rate in the latest usage window that its
    /// copies within them must serve. Requests that may be served anywhere share all copies with
    /// the others.
    fn by_homes(&self) -> impl Iterator<Item = (&Homes, f64)> {
        let is_shared = self.has_unrestricted || self.restricted.is_empty();
        let anywhere = is_shared.then_some((&Homes::Anywhere, self.current_per_second));
        let restricted = self.restricted.iter().map(|(homes, rate)| (homes, *rate));
        restricted.chain(anywhere)
    }
}

/// A unit that requests wait for.
#[derive(Clone, Debug)]
pub struct WantedUnit {
    /// The unit, and the homes of the requests.
    pub requirement: Requirement,
    /// Number of waiting requests at all daemons.
    pub requests: u32,
    /// Number of them that will miss their deadline in any case.
    pub late: u32,
    /// The most urgent priority rank among them.
    pub priority: u8,
    /// Time since which requests have waited for it.
    pub since: Timestamp,
    /// Requests per second in the latest usage window.
    pub rate: f64,
}

impl WantedUnit {
    /// Benefit of loading the unit, by which loads are ordered: the requests that wait and those
    /// expected during a swap, weighted by priority rank. It grows with the time waited, which
    /// prevents starvation.
    fn urgency(&self, now: Timestamp) -> f64 {
        let in_time = f64::from(self.requests.saturating_sub(self.late));
        let requests = in_time + f64::from(self.late) * LATE_WEIGHT + self.rate * FORECAST_SECONDS;
        let age = now.since(self.since).as_secs_f64() / AGING_SECONDS;
        requests * RANK_WEIGHT.powi(-i32::from(self.priority)) * (1.0 + age)
    }
}

/// Requests in progress on one runner. A model's count includes those of its adapters.
#[derive(Debug, Default)]
struct RunnerUse {
    requests: u32,
    units: HashMap<Unit, u32>,
}

/// Demand reported by all members.
#[derive(Debug)]
pub struct DemandTracker {
    timeout: Duration,
    members: BTreeMap<String, Member>,
    waiting_since: HashMap<Requirement, Timestamp>,
    rates: HashMap<Unit, Rate>,
    rates_at: Option<Timestamp>,
    /// Use by model.
    models: HashMap<Unit, ModelUse>,
    /// Units with waiting requests, and the models of adapters among them.
    awaited: HashSet<Unit>,
    wanted: Vec<WantedUnit>,
    running: HashMap<RunnerId, RunnerUse>,
    /// Requests in progress by model, including those of its adapters.
    running_models: HashMap<Unit, u32>,
    origins: Origins,
}

impl DemandTracker {
    /// No demand. Members are removed after the given time without a message.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            members: BTreeMap::new(),
            waiting_since: HashMap::new(),
            rates: HashMap::new(),
            rates_at: None,
            models: HashMap::new(),
            awaited: HashSet::new(),
            wanted: Vec::new(),
            running: HashMap::new(),
            running_models: HashMap::new(),
            origins: Origins::default(),
        }
    }

    /// Sets the regions of the zones.
    #[must_use]
    pub fn in_regions(mut self, regions: Regions) -> Self {
        self.origins = Origins::new(regions);
        self
    }

    /// The regions from which the requests come.
    pub(super) fn origins(&self) -> &Origins {
        &self.origins
    }

    /// Applies a usage message of a member.
    pub fn update(&mut self, usage: Usage, now: Timestamp) {
        self.note_waiting(&usage.waiting, now);
        let member = Member {
            address: usage.address,
            zone: usage.zone.clone(),
            known: usage.known,
            waiting: usage.waiting.clone(),
            last_message_at: now,
            usage,
        };
        self.members.insert(member.usage.from.clone(), member);
    }

    /// Applies what the requests of a known member wait for.
    pub fn update_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        self.note_waiting(&notice.waiting, now);
        if let Some(member) = self.members.get_mut(&notice.from) {
            member.known = notice.known;
            member.waiting = notice.waiting;
            member.last_message_at = now;
        }
    }

    fn note_waiting(&mut self, waiting: &[WaitingUnit], now: Timestamp) {
        for waiting in waiting {
            let since = self.waiting_since.entry(waiting.requirement.clone());
            since.or_insert(now);
        }
    }

    /// Aggregates the members' messages. The queries below answer as of this time.
    pub fn refresh(&mut self, now: Timestamp) {
        let timeout = self.timeout;
        self.members
            .retain(|_, member| now.since(member.last_message_at) < timeout);
        self.refresh_wanted(now);
        self.refresh_running();
        self.origins.count_waiting(self.members.values());
        let is_due = |at: Timestamp| now.since(at) >= RATE_INTERVAL;
        if self.rates_at.is_none_or(is_due) {
            self.rates_at = Some(now);
            self.refresh_rates(now);
            self.origins.count_recent(self.members.values());
        }
    }

    fn refresh_wanted(&mut self, now: Timestamp) {
        let mut wanted: BTreeMap<&Requirement, WantedUnit> = BTreeMap::new();
        for waiting in self.members.values().flat_map(|member| &member.waiting) {
            let requirement = &waiting.requirement;
            let entry = wanted.entry(requirement).or_insert_with(|| WantedUnit {
                requirement: requirement.clone(),
                requests: 0,
                late: 0,
                priority: waiting.priority,
                since: self.waiting_since.get(requirement).copied().unwrap_or(now),
                rate: self
                    .rates
                    .get(&requirement.unit)
                    .map_or(0.0, |rate| rate.current_rate(now)),
            });
            entry.requests += waiting.requests;
            entry.late += waiting.late;
            entry.priority = entry.priority.min(waiting.priority);
        }
        self.wanted = wanted.into_values().collect();
        self.wanted.sort_by(|left, right| {
            let by_urgency = right.urgency(now).total_cmp(&left.urgency(now));
            by_urgency.then_with(|| left.requirement.cmp(&right.requirement))
        });
        self.awaited.clear();
        let mut known: HashSet<&Requirement> = HashSet::new();
        for wanted in &self.wanted {
            let unit = &wanted.requirement.unit;
            self.awaited.insert(unit.base());
            self.awaited.insert(unit.clone());
            known.insert(&wanted.requirement);
        }
        self.waiting_since
            .retain(|requirement, _| known.contains(requirement));
    }

    fn refresh_running(&mut self) {
        self.running.clear();
        self.running_models.clear();
        let running = self.members.values().flat_map(|it| &it.usage.running);
        for running in running {
            let runner = self.running.entry(running.runner.clone()).or_default();
            runner.requests += running.requests;
            let model = running.unit.base();
            *self.running_models.entry(model.clone()).or_default() += running.requests;
            *runner.units.entry(model).or_default() += running.requests;
            if running.unit.adapter.is_some() {
                *runner.units.entry(running.unit.clone()).or_default() += running.requests;
            }
        }
    }

    fn refresh_rates(&mut self, now: Timestamp) {
        let mut requests: HashMap<&Unit, u32> = HashMap::new();
        let mut by_homes: HashMap<(Unit, &Homes), u32> = HashMap::new();
        for (requirement, count) in self.members.values().flat_map(Member::recent_requests) {
            *requests.entry(&requirement.unit).or_default() += count;
            if requirement.homes != Homes::Anywhere {
                let model = requirement.unit.base();
                *by_homes.entry((model, &requirement.homes)).or_default() += count;
            }
        }
        for (unit, requests) in requests {
            let per_second = requests_per_second(requests);
            let remembered = self.rates.get(unit).map_or(0.0, |rate| rate.decayed(now));
            let rate = Rate {
                per_second: per_second.max(remembered),
                current_per_second: per_second,
                at: now,
                last_used: now,
            };
            self.rates.insert(unit.clone(), rate);
        }
        self.rates
            .retain(|_, rate| now.since(rate.last_used) < RATE_EXPIRY);
        self.models.clear();
        for (unit, rate) in &self.rates {
            let model = self.models.entry(unit.base());
            let model = model.or_insert_with(|| ModelUse::new(rate.last_used));
            model.per_second += rate.decayed(now);
            model.current_per_second += rate.current_rate(now);
            model.last_used = model.last_used.max(rate.last_used);
        }
        for ((model, homes), requests) in by_homes {
            if let Some(model) = self.models.get_mut(&model) {
                model
                    .restricted
                    .insert(homes.clone(), requests_per_second(requests));
            }
        }
        for model in self
            .models
            .values_mut()
            .filter(|it| !it.restricted.is_empty())
        {
            let restricted: f64 = model.restricted.values().sum();
            model.has_unrestricted = model.current_per_second - restricted > MIN_UNRESTRICTED_RATE;
        }
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The members that have not timed out, by name.
    pub fn live_members(&self, now: Timestamp) -> impl Iterator<Item = (&String, &Member)> {
        let timeout = self.timeout;
        self.members
            .iter()
            .filter(move |(_, member)| now.since(member.last_message_at) < timeout)
    }

    /// The strength of the strongest member machine.
    pub fn strongest(&self) -> MachineStrength {
        let strengths = self.members.values().map(|it| it.usage.strength);
        strengths.max().unwrap_or_default()
    }

    /// Members that have not timed out and are not stopping, except for the one at the given
    /// address.
    pub fn standby_candidates(&self, own: SocketAddr, now: Timestamp) -> Vec<Candidate> {
        let members = self.live_members(now);
        let others = members.filter(|(_, it)| it.address != own && !it.usage.is_stopping);
        others
            .map(|(name, member)| Candidate {
                name: name.clone(),
                zone: member.zone.clone(),
                strength: member.usage.strength,
            })
            .collect()
    }

    /// Units that requests wait for, the most urgent first.
    pub fn wanted(&self) -> &[WantedUnit] {
        &self.wanted
    }

    /// Whether a request waits for the unit or, if it is a model, for one of its adapters.
    pub fn is_waited_for(&self, unit: &Unit) -> bool {
        self.awaited.contains(unit)
    }

    /// Requests per second for a model and all its adapters.
    pub fn model_rate(&self, model: &Unit) -> f64 {
        self.models.get(model).map_or(0.0, |it| it.per_second)
    }

    /// Time since a model or one of its adapters was last used or waited for; `None` if never.
    pub fn model_unused_for(&self, model: &Unit, now: Timestamp) -> Option<Duration> {
        let model = self.models.get(model)?;
        Some(now.since(model.last_used))
    }

    /// Time since a unit was last used or waited for; `None` if never.
    pub fn unused_for(&self, unit: &Unit, now: Timestamp) -> Option<Duration> {
        let rate = self.rates.get(unit)?;
        Some(now.since(rate.last_used))
    }

    /// The homes under which a model is used, with the rate in the latest usage window that its
    /// copies within them must serve.
    pub fn model_rates_by_homes(&self, model: &Unit) -> impl Iterator<Item = (&Homes, f64)> {
        let model = self.models.get(model);
        model.into_iter().flat_map(ModelUse::by_homes)
    }

    /// Models used at or above the given rate, by the homes of the requests, the busiest first.
    pub fn busy_models(&self, min_rate: f64) -> Vec<(Requirement, f64)> {
        let busy = self.models.iter().flat_map(|(model, it)| {
            let rates = it.by_homes().filter(|(_, rate)| *rate >= min_rate);
            rates.map(|(homes, rate)| {
                let requirement = Requirement {
                    unit: model.clone(),
                    homes: homes.clone(),
                    software_version: None,
                };
                (requirement, rate)
            })
        });
        let mut busy: Vec<(Requirement, f64)> = busy.collect();
        busy.sort_by(|left, right| {
            let by_rate = right.1.total_cmp(&left.1);
            by_rate.then_with(|| left.0.cmp(&right.0))
        });
        busy
    }

    /// Number of requests in progress on a runner.
    pub fn running_at(&self, runner: &RunnerId) -> u32 {
        self.running.get(runner).map_or(0, |it| it.requests)
    }

    /// Number of requests in progress with a model on all runners.
    pub fn running_model(&self, model: &Unit) -> u32 {
        self.running_models.get(model).copied().unwrap_or(0)
    }

    /// Number of requests in progress with a unit on a runner; those of a model include its
    /// adapters'.
    pub fn running(&self, runner: &RunnerId, unit: &Unit) -> u32 {
        let runner = self.running.get(runner);
        let requests = runner.and_then(|runner| runner.units.get(unit));
        requests.copied().unwrap_or(0)
    }
}
