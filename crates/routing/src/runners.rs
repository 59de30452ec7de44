//! The runners as a daemon knows them: what the store's list or another daemon says of each, and what
//! the coordinator says they hold.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::departures::Departures;
use crate::holdings_digests::HoldingsDigests;
use crate::membership::{
    MembershipChange, MembershipLog, MembershipUpdate, RunnerSummary, UpdateScope,
};
use crate::names::{AdapterName, ModelName, RunnerId, RunnerName, ServiceName, Unit, Zone};
use crate::revision::StoreEra;

/// Time for which what the coordinator said stands over the list.
const HOLDINGS_VALIDITY: Duration = Duration::from_secs(4);

/// Time for which a runner that has refused a unit as absent is not asked for it.
const ABSENCE: Duration = Duration::from_millis(1_500);

/// Models and adapters that a runner holds, ready for requests.
pub type Holdings = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// A runner as the store's list tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Identity of this life of it.
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

/// Whether a new entry of a runner tells of a cold spell that may have begun after the known one. Entries of one spell
/// tell less and less.
fn turns_cold(known: &Runner, new: &Runner) -> bool {
    let is_cold = !new.cold_for.is_zero();
    is_cold && new.revision != known.revision && new.cold_for >= known.cold_for
}

/// What a coordinator says that one runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerHoldings {
    /// The runner.
    pub runner: RunnerId,
    /// Models and adapters.
    pub holdings: Vec<(ModelName, Vec<AdapterName>)>,
}

impl Runner {
    /// Whether another entry of the same name tells of a life that is over by this one: the store's later revision
    /// decides, since clocks of runners may be set back. Where it does not, the later start.
    fn outlives(&self, other: &Self) -> bool {
        let are_told = self.revision != 0 && other.revision != 0;
        let by_revision = if are_told {
            self.revision.cmp(&other.revision)
        } else {
            Ordering::Equal
        };
        let order = by_revision.then(self.id.start().cmp(&other.id.start()));
        self.id != other.id && order == Ordering::Greater
    }

    /// Whether this life was known before the store showed another one again that began earlier.
    fn follows_in_past(&self, listed: &Self) -> bool {
        self.id.start() > listed.id.start()
            && StoreEra::of(self.revision) < StoreEra::of(listed.revision)
    }

    /// Whether daemons that know one entry of a runner must hear of the other one.
    fn differs_for_members(&self, other: &Self) -> bool {
        self.id != other.id
            || self.draining != other.draining
            || self.address != other.address
            || turns_cold(self, other)
    }
}

/// What a coordinator has told that a runner holds.
#[derive(Clone, Debug)]
pub(crate) struct KnownHoldings {
    holdings: Holdings,
    known_at: Timestamp,
}

/// All runners that a daemon knows, one life of each.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: BTreeMap<RunnerName, Runner>,
    membership: MembershipLog,
    told: HashMap<RunnerId, KnownHoldings>,
    /// Until now the coordinator has said nothing else of what it told before.
    confirmed_at: Timestamp,
    absent: HashMap<(RunnerId, Unit), Timestamp>,
    changes: u64,
    /// A list of which another daemon has told some parts.
    partial_list: Option<PartialList>,
    /// Lives that are gone, of late.
    departures: Departures,
    withholds_entries: bool,
}

/// The parts of a list that have come.
#[derive(Debug, Default)]
struct PartialList {
    until: u64,
    changes: Vec<MembershipChange>,
}

impl RunnerTable {
    /// Takes in a full list of the store at a revision. Changes that are known and younger stay.
    ///
    /// A list does not tell of runners that came and went unseen. Others that know less than this revision
    /// can therefore no longer be told all that they lack, unless all changes up to it were taken in before.
    pub fn replace(&mut self, mut listed: Vec<Runner>, revision: u64) {
        self.withholds_entries = false;
        if revision <= self.revision() {
            // What others were told up to this revision is without those entries.
            self.withhold_past(&mut listed);
        }
        self.replace_listed(listed, revision);
    }

    /// The same while the store may show what it held before changes that it has lost: neither lives that are gone nor
    /// those that others have followed come back by an entry of that time.
    pub fn replace_from_copy(&mut self, mut listed: Vec<Runner>, revision: u64) {
        self.withhold_past(&mut listed);
        self.replace_listed(listed, revision);
    }

    /// Whether the last list held entries that were not taken in because their runners were known to be gone or followed by
    /// another life. They hold if they are still listed after a while.
    pub fn withholds_entries(&self) -> bool {
        self.withholds_entries
    }

    /// Puts what is known in the place of listed entries that were written before it.
    fn withhold_past(&mut self, listed: &mut Vec<Runner>) {
        let count = listed.len();
        listed.retain(|runner| !self.departures.is_old_entry(runner));
        self.withholds_entries = listed.len() < count;
        for runner in listed {
            let known = self.runners.get(runner.id.name());
            if let Some(known) = known.filter(|known| known.follows_in_past(runner)) {
                *runner = known.clone();
                self.withholds_entries = true;
            }
        }
    }

    fn replace_listed(&mut self, listed: Vec<Runner>, revision: u64) {
        let listed_names: BTreeSet<&RunnerName> =
            listed.iter().map(|runner| runner.id.name()).collect();
        let missing: Vec<RunnerName> = self
            .runners
            .keys()
            .filter(|name| !listed_names.contains(name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(&name, revision);
        }
        for runner in listed {
            self.insert(runner, revision);
        }
        self.membership.start_at(revision);
    }

    /// Takes in one runner as the store has told it at a revision. Another life of it that was known is over.
    pub fn insert(&mut self, mut runner: Runner, revision: u64) {
        let name = runner.id.name().clone();
        let known = self.runners.get(&name);
        runner.draining |= self.departures.was_leaving(&runner.id, revision);
        let is_over = known.is_some_and(|known| known.outlives(&runner));
        if is_over || self.membership.is_outdated(&name, revision) {
            return;
        }
        self.changes += 1;
        if known.is_none_or(|known| known.differs_for_members(&runner)) {
            // Others may have been told all up to the revision of an entry that was not taken in then. One in the first
            // list of an era was written before anybody knew of that era.
            let known_until = self.membership.complete_until();
            let is_told_without = runner.revision <= known_until
                || StoreEra::of(runner.revision) > StoreEra::of(known_until);
            let changed_at = if is_told_without {
                revision
            } else {
                runner.revision
            };
            self.membership.record(&name, changed_at, false);
        }
        if known.is_some_and(|known| known.id != runner.id) {
            self.forget_lives(&name, Some(&runner.id));
        }
        if let Some(told) = self.departures.take_back(&runner.id) {
            // The coordinator may have told more meanwhile.
            self.told.entry(runner.id.clone()).or_insert(told);
        }
        if runner.draining && !self.departures.was_leaving(&runner.id, revision) {
            self.departures.note_leaving(&runner.id, revision);
        }
        self.runners.insert(name, runner);
    }

    /// Removes the life of a runner that is known; the runner was gone at a revision.
    pub fn remove(&mut self, name: &impl AsRef<RunnerName>, revision: u64) {
        let name = name.as_ref();
        if self.membership.is_outdated(name, revision) {
            return;
        }
        self.changes += 1;
        self.membership.record(name, revision, true);
        let Some(gone) = self.runners.remove(name) else {
            return;
        };
        // An entry may lapse and come back. A coordinator that did not see that tells nothing anew.
        let told = self.told.remove(&gone.id);
        self.forget_lives(name, None);
        self.departures.note_gone(gone, told, revision);
    }

    /// Drops what requests and the coordinator have told of the lives of a runner, except one.
    fn forget_lives(&mut self, name: &RunnerName, except: Option<&RunnerId>) {
        let is_over = |id: &RunnerId| id.name() == name && Some(id) != except;
        self.told.retain(|id, _| !is_over(id));
        self.absent.retain(|(id, _), _| !is_over(id));
    }

    /// Notes that a runner has turned cold with its present entry: daemons that know an earlier one must hear of it.
    pub fn note_cold(&mut self, id: &RunnerId) {
        let runner = self.get(id).map(|it| (it.id.name().clone(), it.revision));
        if let Some((name, revision)) = runner.filter(|(_, revision)| *revision > 0) {
            self.membership.record(&name, revision, false);
        }
    }

    /// All changes up to this revision of the store are taken in.
    pub fn set_revision(&mut self, revision: u64) {
        self.membership.complete(revision);
    }

    /// The store's revision up to which changes were taken in.
    pub fn revision(&self) -> u64 {
        self.membership.complete_until()
    }

    /// The store's revision at which a runner last came, went, began to drain or turned cold, or at which the list was read
    /// first after the store came back from a copy.
    pub fn membership_revision(&self) -> u64 {
        self.membership.last_change()
    }

    /// Rises with each change of the list.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// What a daemon that knows all changes up to a revision must hear, in messages that fit a datagram
    /// each; `None` if this one knows no list.
    pub fn updates_after(&self, revision: u64) -> Option<Vec<MembershipUpdate>> {
        let present = |name: &RunnerName| {
            let runner = self.runners.get(name)?;
            Some((runner.id.clone(), RunnerSummary::of(runner)))
        };
        self.membership.updates_after(revision, present)
    }

    /// Takes in what another daemon tells. Returns the runners that have come, gone or begun to drain, or
    /// `None` if something before the update is missing here.
    pub fn update(&mut self, update: MembershipUpdate) -> Option<Vec<RunnerId>> {
        match update.scope {
            UpdateScope::Changes => self.update_changes(update),
            UpdateScope::Whole { is_last } => self.update_whole(update, is_last),
        }
    }

    fn update_changes(&mut self, update: MembershipUpdate) -> Option<Vec<RunnerId>> {
        if self.revision() < update.after {
            return None;
        }
        let known_until = self.revision();
        let mut changed = Vec::new();
        let news = update.changes.into_iter();
        for change in news.filter(|change| change.revision > known_until) {
            let begins_spell = self.begins_spell(&change);
            changed.extend(self.take_change(change, begins_spell));
        }
        self.set_revision(update.until);
        Some(changed)
    }

    /// Takes in a part of the whole list. It holds once all parts of it have come, in their order.
    fn update_whole(&mut self, update: MembershipUpdate, is_last: bool) -> Option<Vec<RunnerId>> {
        if update.after == 0 {
            self.partial_list = Some(PartialList::default());
        }
        let follows = |list: &&mut PartialList| list.until == update.after;
        let list = self.partial_list.as_mut().filter(follows)?;
        list.until = update.until;
        list.changes.extend(update.changes);
        if !is_last {
            return Some(Vec::new());
        }
        let list = self.partial_list.take()?;
        Some(self.take_list(list))
    }

    /// Takes in a whole list that another daemon has told.
    fn take_list(&mut self, list: PartialList) -> Vec<RunnerId> {
        if list.until <= self.revision() {
            return Vec::new();
        }
        let changes = list.changes.iter();
        let present: BTreeSet<&RunnerName> = changes.map(|it| it.runner.name()).collect();
        let gone: Vec<RunnerId> = self
            .runners
            .values()
            .filter(|runner| !present.contains(runner.id.name()))
            .map(|runner| runner.id.clone())
            .collect();
        let gone = gone.into_iter().map(|runner| MembershipChange {
            runner,
            revision: list.until,
            summary: None,
        });
        let begun: BTreeSet<RunnerId> = list
            .changes
            .iter()
            .filter(|change| self.begins_spell(change))
            .map(|change| change.runner.clone())
            .collect();
        // At the revision of the list all of it was seen so, whatever came before.
        let present = list.changes.into_iter().map(|change| MembershipChange {
            revision: list.until,
            ..change
        });
        let changes: Vec<MembershipChange> = gone.chain(present).collect();
        let news = changes
            .into_iter()
            .filter_map(|change| {
                let begins_spell = begun.contains(&change.runner);
                self.take_change(change, begins_spell)
            })
            .collect();
        self.membership.start_at(list.until);
        news
    }

    /// Digest of which lives of runners there are and which of them drain. Daemons with the same digest know the same.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for runner in self.runners.values() {
            hasher.update(runner.id.as_str().as_bytes());
            let start = runner.id.start().map_or(0, |start| start.as_millis() + 1);
            hasher.update(&start.to_le_bytes());
            hasher.update(&[u8::from(runner.draining)]);
        }
        hasher.digest()
    }

    /// Whether a runner may have turned cold after a revision.
    pub fn has_spell_after(&self, revision: u64) -> bool {
        let mut runners = self.runners.values();
        runners.any(|it| !it.cold_for.is_zero() && it.revision > revision)
    }

    /// What tells a daemon with the same runners that it knows all changes from a revision up to now.
    pub fn confirmation(&self, after: u64) -> MembershipUpdate {
        MembershipUpdate {
            after,
            until: self.revision(),
            changes: Vec::new(),
            scope: UpdateScope::Changes,
        }
    }

    /// Whether a change tells of a cold spell after what is known: it may be as long as the one before.
    fn begins_spell(&self, change: &MembershipChange) -> bool {
        let is_cold = change.summary.as_ref().is_some_and(|it| it.cold_ms > 0);
        let known = self.runners.get(change.runner.name());
        is_cold && known.is_some_and(|known| known.revision < change.revision)
    }

    /// Takes in a change that another daemon tells. Returns the runner if it is news.
    fn take_change(&mut self, change: MembershipChange, begins_spell: bool) -> Option<RunnerId> {
        let (id, revision) = (change.runner, change.revision);
        let known = self.runners.get(id.name());
        let Some(summary) = change.summary else {
            let known = known.map(|known| known.id.clone());
            self.remove(&id, revision);
            return known;
        };
        // What is known of another life says nothing of this one.
        let known = known.filter(|known| known.id == id);
        if !begins_spell && known.map(RunnerSummary::of).as_ref() == Some(&summary) {
            return None;
        }
        let holdings = known.map(|known| known.holdings.clone());
        let mut runner = summary.into_runner(id.clone(), revision);
        runner.holdings = holdings.unwrap_or_default();
        self.insert(runner, revision);
        Some(id)
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

    /// What a runner holds, by the last word of a coordinator, or else by the list.
    pub fn believed_holdings(&self, id: &RunnerId) -> Option<&Holdings> {
        let runner = self.get(id)?;
        let told = self.told.get(id).map(|told| &told.holdings);
        Some(told.unwrap_or(&runner.holdings))
    }

    /// Digests of what all runners hold, by [`Self::believed_holdings`], for a coordinator that then tells just what
    /// differs. What is said here is therefore kept as if the coordinator had told it: a later list may tell less.
    pub fn say_holdings(&mut self, now: Timestamp) -> HoldingsDigests {
        for runner in self.runners.values() {
            self.told
                .entry(runner.id.clone())
                .or_insert_with(|| KnownHoldings {
                    holdings: runner.holdings.clone(),
                    known_at: now,
                });
        }
        self.holdings_digests()
    }

    /// Digests of what all runners hold; see [`Self::believed_holdings`].
    pub fn holdings_digests(&self) -> HoldingsDigests {
        let mut digests = HoldingsDigests::for_runners(self.runners.len());
        for runner in self.runners.values() {
            let holdings = self.believed_holdings(&runner.id).into_iter().flatten();
            digests.add(&runner.id, holdings);
        }
        digests
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

    /// A runner, if this life of it is the one that is known.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.named(id.name()).filter(|runner| runner.id == *id)
    }

    /// The life of a runner that is known.
    pub fn named(&self, name: &RunnerName) -> Option<&Runner> {
        self.runners.get(name)
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
        let told = self.told.get(&runner.id);
        // A runner of which the store's list was not read is only known from what was told.
        let stands = |told: &&KnownHoldings| is_valid(told) || runner.holdings.is_empty();
        let told = told.filter(stands);
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
