//! The runners as a daemon knows them: what the store's list says of each, and what the coordinator
//! says they hold.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::names::{AdapterName, ModelName, RunnerId, ServiceName, Unit, Zone};

/// Time for which what the coordinator said stands over the list.
const HOLDINGS_VALIDITY: Duration = Duration::from_secs(4);

/// Time for which a runner that has refused a unit as absent is not asked for it.
const ABSENCE: Duration = Duration::from_millis(1_500);

/// Models and adapters that a runner holds, ready for requests.
pub type Holdings = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// A runner as the store's list tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Identity of this start of it.
    pub id: RunnerId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is about to leave and gets no new work.
    pub draining: bool,
    /// Time until it is gone, if it was told to leave at short notice.
    pub leaves_in: Option<Duration>,
    /// Time for which it stays slow from its start.
    pub cold_for: Duration,
    /// What it holds, by the list.
    pub holdings: Holdings,
    /// Models whose weights lie in its host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights lie on its disk.
    pub on_disk: BTreeSet<ModelName>,
}

/// What a coordinator says that one runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerHoldings {
    /// The runner.
    pub runner: RunnerId,
    /// Models and adapters.
    pub holdings: Vec<(ModelName, Vec<AdapterName>)>,
}

#[derive(Debug)]
struct KnownHoldings {
    holdings: Holdings,
    known_at: Timestamp,
}

/// All runners that a daemon knows.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: BTreeMap<RunnerId, Runner>,
    told: HashMap<RunnerId, KnownHoldings>,
    absent: HashMap<(RunnerId, Unit), Timestamp>,
    revision: u64,
}

impl RunnerTable {
    /// Replaces everything by a full list of the store at a revision.
    pub fn replace(&mut self, runners: Vec<Runner>, revision: u64) {
        self.runners = runners
            .into_iter()
            .map(|runner| (runner.id.clone(), runner))
            .collect();
        self.revision = revision;
        let runners = &self.runners;
        self.told.retain(|id, _| runners.contains_key(id));
        self.absent.retain(|(id, _), _| runners.contains_key(id));
    }

    /// Adds or replaces one runner.
    pub fn insert(&mut self, runner: Runner) {
        self.runners.insert(runner.id.clone(), runner);
    }

    /// Removes a runner.
    pub fn remove(&mut self, id: &RunnerId) {
        self.runners.remove(id);
        self.told.remove(id);
        self.absent.retain(|(runner, _), _| runner != id);
    }

    /// Sets the store's revision up to which changes were taken in.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// The store's revision up to which changes were taken in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in what the coordinator says of a runner.
    pub fn tell(&mut self, holdings: RunnerHoldings, now: Timestamp) {
        let known = KnownHoldings {
            holdings: holdings
                .holdings
                .into_iter()
                .map(|(model, adapters)| (model, adapters.into_iter().collect()))
                .collect(),
            known_at: now,
        };
        self.told.insert(holdings.runner, known);
    }

    /// What the coordinator said still holds.
    pub fn confirm(&mut self, now: Timestamp) {
        for known in self.told.values_mut() {
            known.known_at = now;
        }
    }

    /// Notes that a runner has refused a unit because it does not hold it.
    pub fn note_absent(&mut self, id: &RunnerId, unit: &Unit, now: Timestamp) {
        self.absent.insert((id.clone(), unit.clone()), now);
    }

    /// A runner by its identity.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// The runners of a service that take new work.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Runner> + 'a {
        self.runners
            .values()
            .filter(move |runner| runner.service == *service && !runner.draining)
    }

    /// Whether a runner holds a unit, as far as is known.
    pub fn holds(&self, runner: &Runner, unit: &Unit, now: Timestamp) -> bool {
        let refused = self.absent.get(&(runner.id.clone(), unit.clone()));
        if refused.is_some_and(|&at| now.since(at) < ABSENCE) {
            return false;
        }
        let holdings = match self.told.get(&runner.id) {
            Some(told) if now.since(told.known_at) < HOLDINGS_VALIDITY => &told.holdings,
            _ => &runner.holdings,
        };
        let Some(adapters) = holdings.get(&unit.model) else {
            return false;
        };
        match &unit.adapter {
            Some(adapter) => adapters.contains(adapter),
            None => true,
        }
    }
}
