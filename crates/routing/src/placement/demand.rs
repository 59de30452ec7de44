//! What the daemons' requests wait for and use.
//!
//! Messages of members are only kept as they come; [`Demands::refresh`] adds them up once for a plan, so
//! that a question costs one look-up however many members and units there are.

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

/// Time in which the remembered rate of a unit falls to a third.
const RATE_MEMORY_SECONDS: f64 = 20.0;
/// Time between two computations of the rates.
const RATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without use after which a unit's rate is forgotten.
const RATE_FORGOTTEN: Duration = Duration::from_mins(2);

/// How much more a request counts than one of the next rank. Nobody tells what requests are worth; the rules
/// make it dear to serve a kind less often than a less urgent one.
const RANK_WEIGHT: f64 = 3.0;
/// How much a request counts that will be late in any case, beside one that can still be in time. If more is asked
/// for than can be loaded, the oldest first would make all of them late.
const LATE_WEIGHT: f64 = 0.25;
/// Time over which requests that come count like those that wait, in seconds: about a load from disk.
const FORESEEN_SECONDS: f64 = 1.0;
/// Time of waiting after which a unit counts twice, in seconds.
const AGE_SECONDS: f64 = 2.0;

/// Requests a second above which some requests for a model may be served anywhere: half of one request in the window of
/// the messages, so that the sums of fractions do not count as one.
const LEAST_UNBOUND_RATE: f64 = 0.5 / USE_WINDOW_SECONDS as f64;

/// Requests a second, of requests in the window of the messages.
fn a_second(requests: u32) -> f64 {
    f64::from(requests) / f64::from(USE_WINDOW_SECONDS)
}

/// One daemon, as the coordinator knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it hears the coordinator.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// What it knows.
    pub known: KnownState,
    /// What its requests wait for.
    pub waiting: Vec<WaitingUnit>,
    usage: Usage,
    heard_at: Timestamp,
}

impl Member {
    /// What its requests wait for, and how many they are.
    pub(super) fn waits_for(&self) -> impl Iterator<Item = (&Requirement, u32)> {
        self.waiting.iter().map(|it| (&it.requirement, it.requests))
    }

    /// What its requests have used lately or wait for, and how many they are.
    pub(super) fn recent(&self) -> impl Iterator<Item = (&Requirement, u32)> {
        let used = self.usage.used.iter();
        let used = used.map(|it| (&it.requirement, it.requests));
        used.chain(self.waits_for())
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    per_second_now: f64,
    at: Timestamp,
    last_used: Timestamp,
}

impl Rate {
    /// Requests a second in the last seconds.
    fn rate_now(&self, now: Timestamp) -> f64 {
        if now.since(self.last_used) < RATE_INTERVAL * 2 {
            self.per_second_now
        } else {
            0.0
        }
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let seconds = now.since(self.at).as_secs_f64();
        self.per_second * (-seconds / RATE_MEMORY_SECONDS).exp()
    }
}

/// Use of a model with all its adapters.
#[derive(Clone, Debug)]
struct ModelUse {
    per_second: f64,
    /// The same in the last seconds alone.
    per_second_now: f64,
    last_used: Timestamp,
    /// Requests a second in the last seconds by their homes, as far as these are not anywhere.
    bound: BTreeMap<Homes, f64>,
    /// A request in the last seconds may be served anywhere.
    has_unbound: bool,
}

impl ModelUse {
    fn new(last_used: Timestamp) -> Self {
        Self {
            per_second: 0.0,
            per_second_now: 0.0,
            last_used,
            bound: BTreeMap::new(),
            has_unbound: false,
        }
    }

    /// The homes under which the model is used, with the requests a second in the last seconds that its copies there
    /// must bear. Those that may be served anywhere share all copies with the others.
    fn by_homes(&self) -> impl Iterator<Item = (&Homes, f64)> {
        let is_shared = self.has_unbound || self.bound.is_empty();
        let anywhere = is_shared.then_some((&Homes::Anywhere, self.per_second_now));
        let bound = self.bound.iter().map(|(homes, rate)| (homes, *rate));
        bound.chain(anywhere)
    }
}

/// A unit that requests wait for.
#[derive(Clone, Debug)]
pub struct WantedUnit {
    /// The unit, within the homes of the requests.
    pub requirement: Requirement,
    /// Requests that wait, at all daemons.
    pub requests: u32,
    /// Those of them that will be late in any case.
    pub late: u32,
    /// The most urgent rank among them.
    pub priority: u8,
    /// Since when somebody has waited.
    pub since: Timestamp,
    /// Requests a second in the last seconds.
    pub rate: f64,
}

impl WantedUnit {
    /// How much a load of the unit brings, by which loads are ordered: the requests that wait and those that
    /// come in the time of a swap, weighed by their rank. It rises with the time waited, so that nothing waits
    /// for ever.
    fn urgency(&self, now: Timestamp) -> f64 {
        let in_time = f64::from(self.requests.saturating_sub(self.late));
        let requests = in_time + f64::from(self.late) * LATE_WEIGHT + self.rate * FORESEEN_SECONDS;
        let age = now.since(self.since).as_secs_f64() / AGE_SECONDS;
        requests * RANK_WEIGHT.powi(-i32::from(self.priority)) * (1.0 + age)
    }
}

/// Requests in progress at one runner. A model's count includes those of its adapters.
#[derive(Debug, Default)]
struct RunnerUse {
    requests: u32,
    units: HashMap<Unit, u32>,
}

/// All demand that the coordinator has heard of.
#[derive(Debug)]
pub struct Demands {
    timeout: Duration,
    members: BTreeMap<String, Member>,
    waiting_since: HashMap<Requirement, Timestamp>,
    rates: HashMap<Unit, Rate>,
    rates_at: Option<Timestamp>,
    /// By model.
    models: HashMap<Unit, ModelUse>,
    /// What is waited for, and the models of adapters that are.
    waited: HashSet<Unit>,
    wanted: Vec<WantedUnit>,
    running: HashMap<RunnerId, RunnerUse>,
    /// Requests in progress by model, those of its adapters included.
    running_models: HashMap<Unit, u32>,
    origins: Origins,
}

impl Demands {
    /// No demand; members count until they have been silent for the time given.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            members: BTreeMap::new(),
            waiting_since: HashMap::new(),
            rates: HashMap::new(),
            rates_at: None,
            models: HashMap::new(),
            waited: HashSet::new(),
            wanted: Vec::new(),
            running: HashMap::new(),
            running_models: HashMap::new(),
            origins: Origins::default(),
        }
    }

    /// The same where zones lie in these regions.
    #[must_use]
    pub fn in_regions(mut self, regions: Regions) -> Self {
        self.origins = Origins::new(regions);
        self
    }

    /// From which regions the requests come.
    pub(super) fn origins(&self) -> &Origins {
        &self.origins
    }

    /// Takes in a message of a member.
    pub fn update(&mut self, usage: Usage, now: Timestamp) {
        self.note_waiting(&usage.waiting, now);
        let member = Member {
            address: usage.address,
            zone: usage.zone.clone(),
            known: usage.known,
            waiting: usage.waiting.clone(),
            heard_at: now,
            usage,
        };
        self.members.insert(member.usage.from.clone(), member);
    }

    /// Takes in what the requests of a known member wait for.
    pub fn update_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        self.note_waiting(&notice.waiting, now);
        if let Some(member) = self.members.get_mut(&notice.from) {
            member.known = notice.known;
            member.waiting = notice.waiting;
            member.heard_at = now;
        }
    }

    fn note_waiting(&mut self, waiting: &[WaitingUnit], now: Timestamp) {
        for waiting in waiting {
            let since = self.waiting_since.entry(waiting.requirement.clone());
            since.or_insert(now);
        }
    }

    /// Adds up what the members have said. The other questions are answered as of this time.
    pub fn refresh(&mut self, now: Timestamp) {
        let timeout = self.timeout;
        self.members
            .retain(|_, member| now.since(member.heard_at) < timeout);
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
                    .map_or(0.0, |rate| rate.rate_now(now)),
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
        self.waited.clear();
        let mut known: HashSet<&Requirement> = HashSet::new();
        for wanted in &self.wanted {
            let unit = &wanted.requirement.unit;
            self.waited.insert(unit.base());
            self.waited.insert(unit.clone());
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
        for (requirement, count) in self.members.values().flat_map(Member::recent) {
            *requests.entry(&requirement.unit).or_default() += count;
            if requirement.homes != Homes::Anywhere {
                let model = requirement.unit.base();
                *by_homes.entry((model, &requirement.homes)).or_default() += count;
            }
        }
        for (unit, requests) in requests {
            let per_second = a_second(requests);
            let remembered = self.rates.get(unit).map_or(0.0, |rate| rate.decayed(now));
            let rate = Rate {
                per_second: per_second.max(remembered),
                per_second_now: per_second,
                at: now,
                last_used: now,
            };
            self.rates.insert(unit.clone(), rate);
        }
        self.rates
            .retain(|_, rate| now.since(rate.last_used) < RATE_FORGOTTEN);
        self.models.clear();
        for (unit, rate) in &self.rates {
            let model = self.models.entry(unit.base());
            let model = model.or_insert_with(|| ModelUse::new(rate.last_used));
            model.per_second += rate.decayed(now);
            model.per_second_now += rate.rate_now(now);
            model.last_used = model.last_used.max(rate.last_used);
        }
        for ((model, homes), requests) in by_homes {
            if let Some(model) = self.models.get_mut(&model) {
                model.bound.insert(homes.clone(), a_second(requests));
            }
        }
        for model in self.models.values_mut().filter(|it| !it.bound.is_empty()) {
            let bound: f64 = model.bound.values().sum();
            model.has_unbound = model.per_second_now - bound > LEAST_UNBOUND_RATE;
        }
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Names of the members that live, with what is known of them.
    pub fn live_members(&self, now: Timestamp) -> impl Iterator<Item = (&String, &Member)> {
        let timeout = self.timeout;
        self.members
            .iter()
            .filter(move |(_, member)| now.since(member.heard_at) < timeout)
    }

    /// The strongest machine of a member.
    pub fn strongest(&self) -> MachineStrength {
        let strengths = self.members.values().map(|it| it.usage.strength);
        strengths.max().unwrap_or_default()
    }

    /// The members that live and do not stop, but for the one at an address.
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

    /// What requests wait for, the most urgent first.
    pub fn wanted(&self) -> &[WantedUnit] {
        &self.wanted
    }

    /// Whether a request waits for a unit or, if it is a model, for an adapter of it.
    pub fn is_waited_for(&self, unit: &Unit) -> bool {
        self.waited.contains(unit)
    }

    /// Requests a second for a model and all its adapters.
    pub fn model_rate(&self, model: &Unit) -> f64 {
        self.models.get(model).map_or(0.0, |it| it.per_second)
    }

    /// Time since a model or an adapter of it was last used or waited for; `None` if never.
    pub fn model_unused_for(&self, model: &Unit, now: Timestamp) -> Option<Duration> {
        let model = self.models.get(model)?;
        Some(now.since(model.last_used))
    }

    /// Time since a unit was last used or waited for; `None` if never.
    pub fn unused_for(&self, unit: &Unit, now: Timestamp) -> Option<Duration> {
        let rate = self.rates.get(unit)?;
        Some(now.since(rate.last_used))
    }

    /// The homes under which a model is used, with the requests a second in the last seconds that its copies there must
    /// bear.
    pub fn model_rates_by_homes(&self, model: &Unit) -> impl Iterator<Item = (&Homes, f64)> {
        let model = self.models.get(model);
        model.into_iter().flat_map(ModelUse::by_homes)
    }

    /// Models in use at a rate or above it, by the homes of the requests, the busiest first.
    pub fn busy_models(&self, least: f64) -> Vec<(Requirement, f64)> {
        let busy = self.models.iter().flat_map(|(model, it)| {
            let rates = it.by_homes().filter(|(_, rate)| *rate >= least);
            rates.map(|(homes, rate)| {
                let requirement = Requirement {
                    unit: model.clone(),
                    homes: homes.clone(),
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

    /// Requests in progress at a runner.
    pub fn running_at(&self, runner: &RunnerId) -> u32 {
        self.running.get(runner).map_or(0, |it| it.requests)
    }

    /// Requests in progress with a model, at all runners.
    pub fn running_model(&self, model: &Unit) -> u32 {
        self.running_models.get(model).copied().unwrap_or(0)
    }

    /// Requests in progress with a unit at a runner; those with a model include its adapters'.
    pub fn running(&self, runner: &RunnerId, unit: &Unit) -> u32 {
        let runner = self.running.get(runner);
        let requests = runner.and_then(|runner| runner.units.get(unit));
        requests.copied().unwrap_or(0)
    }
}
