//! The runners as a daemon knows them: what the store's list or another daemon says of each, and what
//! the coordinator says they hold.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::membership::{MembershipLog, MembershipUpdate, RunnerSummary};
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
    /// The store's revision at which its entry last changed.
    pub revision: u64,
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
    membership: MembershipLog,
    told: HashMap<RunnerId, KnownHoldings>,
    /// Until now the coordinator has said nothing else of what it told before.
    confirmed_at: Timestamp,
    absent: HashMap<(RunnerId, Unit), Timestamp>,
    changes: u64,
}

impl RunnerTable {
    /// Takes in a full list of the store at a revision. Changes that are known and younger stay.
    ///
    /// A list does not tell of runners that came and went unseen. Others that know less than this revision
    /// can therefore no longer be told all that they lack, unless all changes up to it were taken in before.
    pub fn replace(&mut self, listed: Vec<Runner>, revision: u64) {
        let ids: BTreeSet<RunnerId> = listed.iter().map(|runner| runner.id.clone()).collect();
        let missing: Vec<RunnerId> = self
            .runners
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, revision);
        }
        for runner in listed {
            self.insert(runner, revision);
        }
        self.membership.begin_at(revision);
    }

    /// Takes in one runner as the store has told it at a revision.
    pub fn insert(&mut self, runner: Runner, revision: u64) {
        if self.membership.is_outdated(&runner.id, revision) {
            return;
        }
        self.changes += 1;
        let known = self.runners.get(&runner.id);
        let is_news = known.is_none_or(|known| known.draining != runner.draining);
        if is_news {
            let changed_at = if runner.revision == 0 {
                revision
            } else {
                runner.revision
            };
            self.membership.note(&runner.id, changed_at, false);
        }
        self.runners.insert(runner.id.clone(), runner);
    }

    /// Removes a runner that was gone at a revision.
    pub fn remove(&mut self, id: &RunnerId, revision: u64) {
        if self.membership.is_outdated(id, revision) {
            return;
        }
        self.changes += 1;
        self.membership.note(id, revision, true);
        self.runners.remove(id);
        self.told.remove(id);
        self.absent.retain(|(runner, _), _| runner != id);
    }

    /// All changes up to this revision of the store are taken in.
    pub fn set_revision(&mut self, revision: u64) {
        self.membership.complete(revision);
    }

    /// The store's revision up to which changes were taken in.
    pub fn revision(&self) -> u64 {
        self.membership.complete_until()
    }

    /// The store's revision at which a runner last came, went, or began to drain.
    pub fn membership_revision(&self) -> u64 {
        self.membership.last_change()
    }

    /// Rises with each change of the list.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// What a daemon that knows all changes up to a revision must hear, in messages that fit a datagram
    /// each; `None` if it must read the store.
    pub fn updates_after(&self, revision: u64) -> Option<Vec<MembershipUpdate>> {
        let summary = |id: &RunnerId| self.runners.get(id).map(RunnerSummary::of);
        self.membership.updates_after(revision, summary)
    }

    /// Takes in what another daemon tells. Returns the runners that have come, gone or begun to drain, or
    /// `None` if changes before the update are missing here.
    pub fn update(&mut self, update: MembershipUpdate) -> Option<Vec<RunnerId>> {
        if self.revision() < update.after {
            return None;
        }
        let known_until = self.revision();
        let mut changed = Vec::new();
        let news = update.changes.into_iter();
        for change in news.filter(|change| change.revision > known_until) {
            let (id, revision) = (change.runner, change.revision);
            let known = self.runners.get(&id);
            match change.summary {
                Some(summary) if known.map(RunnerSummary::of).as_ref() != Some(&summary) => {
                    let holdings = known.map(|known| known.holdings.clone());
                    let mut runner = summary.into_runner(id.clone(), revision);
                    runner.holdings = holdings.unwrap_or_default();
                    self.insert(runner, revision);
                    changed.push(id);
                }
                None => {
                    let was_known = known.is_some();
                    self.remove(&id, revision);
                    if was_known {
                        changed.push(id);
                    }
                }
                Some(_) => {}
            }
        }
        self.set_revision(update.until);
        Some(changed)
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
        self.confirmed_at = now;
    }

    /// Notes that a runner has refused a unit because it does not hold it.
    pub fn note_absent(&mut self, id: &RunnerId, unit: &Unit, now: Timestamp) {
        self.absent.retain(|_, &mut at| now.since(at) < ABSENCE);
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
        if !self.is_in_holdings(runner, unit, now) {
            return false;
        }
        let refused = self.absent.get(&(runner.id.clone(), unit.clone()));
        refused.is_none_or(|&at| now.since(at) >= ABSENCE)
    }

    fn is_in_holdings(&self, runner: &Runner, unit: &Unit, now: Timestamp) -> bool {
        let is_valid = |told: &&KnownHoldings| {
            now.since(told.known_at.max(self.confirmed_at)) < HOLDINGS_VALIDITY
        };
        let told = self.told.get(&runner.id).filter(is_valid);
        let holdings = told.map_or(&runner.holdings, |told| &told.holdings);
        let Some(adapters) = holdings.get(&unit.model) else {
            return false;
        };
        match &unit.adapter {
            Some(adapter) => adapters.contains(adapter),
            None => true,
        }
    }
}
