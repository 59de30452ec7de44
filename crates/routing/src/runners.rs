//! A daemon's view of the runners: their entries from the store's list or from another daemon, and their holdings as
//! reported by the coordinator.

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
use crate::names::{
    AdapterName, ModelName, RunnerId, RunnerName, ServiceName, SoftwareVersion, Unit, Zone,
};
use crate::revision::StoreEra;

/// Time for which holdings reported by the coordinator take precedence over the list.
const HOLDINGS_TTL: Duration = Duration::from_secs(4);

/// Time for which a runner gets no requests for a unit that it refused as not loaded.
const ABSENT_UNIT_TTL: Duration = Duration::from_millis(1_500);

/// Models and adapters that a runner has loaded and can serve.
pub type Holdings = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// A runner's entry in the store's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Identity of this incarnation.
    pub id: RunnerId,
    /// Store revision at which the entry last changed.
    pub revision: u64,
    /// Its service.
    pub service: ServiceName,
    /// Version of its software; `None` if the entry came from a daemon that does not send it.
    pub software_version: Option<SoftwareVersion>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and gets no new requests.
    pub draining: bool,
    /// Time until it terminates, if it was told to leave at short notice.
    pub leaves_in: Option<Duration>,
    /// Time for which it is slow after its start.
    pub cold_for: Duration,
    /// Loaded models and adapters according to the list.
    pub holdings: Holdings,
    /// Models whose weights are in its host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights are on its disk.
    pub on_disk: BTreeSet<ModelName>,
}

/// Whether a new entry of a runner reports a cold period that may have begun after the known one. Successive entries of
/// one cold period report decreasing remaining times.
fn starts_cold_period(known: &Runner, new: &Runner) -> bool {
    let is_cold = !new.cold_for.is_zero();
    is_cold && new.revision != known.revision && new.cold_for >= known.cold_for
}

/// Holdings of one runner as reported by a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerHoldings {
    /// The runner.
    pub runner: RunnerId,
    /// Loaded models, each with its loaded adapters.
    pub holdings: Vec<(ModelName, Vec<AdapterName>)>,
}

impl Runner {
    /// Version of its software, for logs.
    pub fn version_label(&self) -> &str {
        self.software_version
            .as_ref()
            .map_or("unknown", SoftwareVersion::as_str)
    }

    /// Whether this entry supersedes one of another incarnation with the same name. The higher store revision decides,
    /// since clocks of runners may be set back; if the revisions do not differ, the later start time decides.
    fn supersedes(&self, other: &Self) -> bool {
        let have_revisions = self.revision != 0 && other.revision != 0;
        let by_revision = if have_revisions {
            self.revision.cmp(&other.revision)
        } else {
            Ordering::Equal
        };
        let order = by_revision.then(self.id.start().cmp(&other.id.start()));
        self.id != other.id && order == Ordering::Greater
    }

    /// Whether this incarnation is newer than the listed one and was known in an era before that of the listed entry.
    fn supersedes_restored(&self, listed: &Self) -> bool {
        self.id.start() > listed.id.start()
            && StoreEra::of(self.revision) < StoreEra::of(listed.revision)
    }

    /// Whether daemons that have one of two entries must be sent the other.
    fn differs_in_membership(&self, other: &Self) -> bool {
        self.id != other.id
            || self.draining != other.draining
            || self.address != other.address
            || starts_cold_period(self, other)
    }
}

/// Holdings of a runner as reported by a coordinator, with the time of the report.
#[derive(Clone, Debug)]
pub(crate) struct KnownHoldings {
    holdings: Holdings,
    reported_at: Timestamp,
}

/// All runners known to a daemon, with one incarnation of each.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: BTreeMap<RunnerName, Runner>,
    membership: MembershipLog,
    reported_holdings: HashMap<RunnerId, KnownHoldings>,
    /// Time at which the coordinator last confirmed the holdings that it reported earlier.
    confirmed_at: Timestamp,
    absent_units: HashMap<(RunnerId, Unit), Timestamp>,
    changes: u64,
    /// A full list from another daemon of which only some parts have arrived.
    partial_list: Option<PartialList>,
    /// Incarnations that are leaving or were removed recently.
    departures: Departures,
    has_withheld_entries: bool,
}

/// The parts of a full list received so far.
#[derive(Debug, Default)]
struct PartialList {
    until: u64,
    changes: Vec<MembershipChange>,
}

impl RunnerTable {
    /// Applies a full list of the store at a revision. Known changes after that revision are kept.
    ///
    /// A list does not show runners that were added and removed since the previous one. Daemons behind this revision can
    /// therefore no longer be sent all changes that they lack, unless all changes up to it were applied before.
    pub fn replace(&mut self, mut listed: Vec<Runner>, revision: u64) {
        self.has_withheld_entries = false;
        if revision <= self.revision() {
            // Other daemons were sent the changes up to this revision without those entries.
            self.withhold_outdated(&mut listed);
        }
        self.replace_listed(listed, revision);
    }

    /// Like [`Self::replace`], for a store restored from a backup that may list entries from before changes it has lost.
    /// Such entries do not bring back incarnations that were removed or superseded.
    pub fn replace_after_restore(&mut self, mut listed: Vec<Runner>, revision: u64) {
        self.withhold_outdated(&mut listed);
        self.replace_listed(listed, revision);
    }

    /// Whether entries of the last list were ignored because their incarnations were known to be removed or superseded.
    /// Such entries are valid if they are still listed after a while.
    pub fn has_withheld_entries(&self) -> bool {
        self.has_withheld_entries
    }

    /// Replaces outdated entries of a list by the known state.
    fn withhold_outdated(&mut self, listed: &mut Vec<Runner>) {
        let count = listed.len();
        listed.retain(|runner| !self.departures.is_outdated_entry(runner));
        self.has_withheld_entries = listed.len() < count;
        for runner in listed {
            let known = self.runners.get(runner.id.name());
            if let Some(known) = known.filter(|known| known.supersedes_restored(runner)) {
                *runner = known.clone();
                self.has_withheld_entries = true;
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

    /// Applies a runner's entry as read from the store at a revision. It ends any other known incarnation of the runner.
    pub fn insert(&mut self, mut runner: Runner, revision: u64) {
        let name = runner.id.name().clone();
        let known = self.runners.get(&name);
        runner.draining |= self.departures.was_leaving(&runner.id, revision);
        let is_ended = known.is_some_and(|known| known.supersedes(&runner));
        if is_ended || self.membership.is_outdated(&name, revision) {
            return;
        }
        self.changes += 1;
        if known.is_none_or(|known| known.differs_in_membership(&runner)) {
            // Other daemons may have been sent all changes up to the entry's revision without this entry, if it was
            // not applied at that time. An entry in the first list of an era was written before any daemon knew the era.
            let known_until = self.membership.complete_until();
            let was_sent_without = runner.revision <= known_until
                || StoreEra::of(runner.revision) > StoreEra::of(known_until);
            let changed_at = if was_sent_without {
                revision
            } else {
                runner.revision
            };
            self.membership.record(&name, changed_at, false);
        }
        if known.is_some_and(|known| known.id != runner.id) {
            self.forget_incarnations(&name, Some(&runner.id));
        }
        if let Some(reported) = self.departures.restore(&runner.id) {
            // The coordinator may have reported newer holdings in the meantime.
            self.reported_holdings
                .entry(runner.id.clone())
                .or_insert(reported);
        }
        if runner.draining && !self.departures.was_leaving(&runner.id, revision) {
            self.departures.record_leaving(&runner.id, revision);
        }
        self.runners.insert(name, runner);
    }

    /// Removes a runner that was found to be gone at a revision.
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
        // An entry may expire and come back. A coordinator that did not notice does not report the holdings again.
        let reported = self.reported_holdings.remove(&gone.id);
        self.forget_incarnations(name, None);
        self.departures.record_removal(gone, reported, revision);
    }

    /// Drops reported holdings and refused units of all incarnations of a runner except one.
    fn forget_incarnations(&mut self, name: &RunnerName, except: Option<&RunnerId>) {
        let is_ended = |id: &RunnerId| id.name() == name && Some(id) != except;
        self.reported_holdings.retain(|id, _| !is_ended(id));
        self.absent_units.retain(|(id, _), _| !is_ended(id));
    }

    /// Records that a runner turned cold with its current entry, so that daemons with an earlier entry are notified.
    pub fn record_cold_period(&mut self, id: &RunnerId) {
        let runner = self.get(id).map(|it| (it.id.name().clone(), it.revision));
        if let Some((name, revision)) = runner.filter(|(_, revision)| *revision > 0) {
            self.membership.record(&name, revision, false);
        }
    }

    /// Marks all changes up to this store revision as applied.
    pub fn set_revision(&mut self, revision: u64) {
        self.membership.complete(revision);
    }

    /// Store revision up to which all changes were applied.
    pub fn revision(&self) -> u64 {
        self.membership.complete_until()
    }

    /// Store revision at which a runner was last added or removed, began to drain or turned cold, or at which the list was
    /// first read after the store was restored from a backup.
    pub fn membership_revision(&self) -> u64 {
        self.membership.last_change()
    }

    /// Counter that increases with each change of the list.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// The updates for a daemon that has all changes up to a revision, each small enough for a datagram; `None` if this
    /// daemon has no list.
    pub fn updates_after(&self, revision: u64) -> Option<Vec<MembershipUpdate>> {
        let present = |name: &RunnerName| {
            let runner = self.runners.get(name)?;
            Some((runner.id.clone(), RunnerSummary::of(runner)))
        };
        self.membership.updates_after(revision, present)
    }

    /// Applies an update from another daemon. Returns the runners that were added or removed or began to drain, or `None`
    /// if changes before the update are missing here.
    pub fn update(&mut self, update: MembershipUpdate) -> Option<Vec<RunnerId>> {
        self.complete_software_versions(&update.changes);
        match update.scope {
            UpdateScope::Changes => self.apply_changes(update),
            UpdateScope::Whole { is_last } => self.apply_list_part(update, is_last),
        }
    }

    /// Sets the software versions of known incarnations that were received from a daemon that does not send them.
    fn complete_software_versions(&mut self, changes: &[MembershipChange]) {
        for change in changes {
            let version = change.summary.as_ref().map(|it| &it.software_version);
            let known = self.runners.get_mut(change.runner.name());
            if let (Some(Some(version)), Some(known)) = (version, known)
                && known.id == change.runner
                && known.software_version.is_none()
            {
                known.software_version = Some(version.clone());
                self.changes += 1;
            }
        }
    }

    /// Whether the software version of a known runner is missing.
    pub fn lacks_software_versions(&self) -> bool {
        let mut runners = self.runners.values();
        runners.any(|runner| runner.software_version.is_none())
    }

    fn apply_changes(&mut self, update: MembershipUpdate) -> Option<Vec<RunnerId>> {
        if self.revision() < update.after {
            return None;
        }
        let known_until = self.revision();
        let mut changed = Vec::new();
        let received = update.changes.into_iter();
        for change in received.filter(|change| change.revision > known_until) {
            let starts_cold_period = self.starts_cold_period(&change);
            changed.extend(self.apply_change(change, starts_cold_period));
        }
        self.set_revision(update.until);
        Some(changed)
    }

    /// Applies one part of a full list. The list takes effect once all parts have arrived in order.
    fn apply_list_part(
        &mut self,
        update: MembershipUpdate,
        is_last: bool,
    ) -> Option<Vec<RunnerId>> {
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
        Some(self.apply_list(list))
    }

    /// Applies a full list from another daemon.
    fn apply_list(&mut self, list: PartialList) -> Vec<RunnerId> {
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
        let turned_cold: BTreeSet<RunnerId> = list
            .changes
            .iter()
            .filter(|change| self.starts_cold_period(change))
            .map(|change| change.runner.clone())
            .collect();
        // All entries were current at the revision of the list, whatever their own revisions.
        let present = list.changes.into_iter().map(|change| MembershipChange {
            revision: list.until,
            ..change
        });
        let changes: Vec<MembershipChange> = gone.chain(present).collect();
        let updated = changes
            .into_iter()
            .filter_map(|change| {
                let starts_cold_period = turned_cold.contains(&change.runner);
                self.apply_change(change, starts_cold_period)
            })
            .collect();
        self.membership.start_at(list.until);
        updated
    }

    /// Digest of the known incarnations and their draining flags, for comparison between daemons.
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
    pub fn has_cold_period_after(&self, revision: u64) -> bool {
        let mut runners = self.runners.values();
        runners.any(|it| !it.cold_for.is_zero() && it.revision > revision)
    }

    /// An update for a daemon with the same runners, confirming that it has all changes from a revision up to now.
    pub fn confirmation(&self, after: u64) -> MembershipUpdate {
        MembershipUpdate {
            after,
            until: self.revision(),
            changes: Vec::new(),
            scope: UpdateScope::Changes,
        }
    }

    /// Whether a change reports a cold period that began after the known entry. It may be as long as the previous one.
    fn starts_cold_period(&self, change: &MembershipChange) -> bool {
        let is_cold = change.summary.as_ref().is_some_and(|it| it.cold_ms > 0);
        let known = self.runners.get(change.runner.name());
        is_cold && known.is_some_and(|known| known.revision < change.revision)
    }

    /// Applies a change from another daemon. Returns the runner if the change was not known.
    fn apply_change(
        &mut self,
        change: MembershipChange,
        starts_cold_period: bool,
    ) -> Option<RunnerId> {
        let (id, revision) = (change.runner, change.revision);
        let known = self.runners.get(id.name());
        let Some(mut summary) = change.summary else {
            let known = known.map(|known| known.id.clone());
            self.remove(&id, revision);
            return known;
        };
        // State of another incarnation does not apply to this one.
        let known = known.filter(|known| known.id == id);
        if summary.software_version.is_none() {
            summary.software_version = known.and_then(|known| known.software_version.clone());
        }
        if !starts_cold_period && known.map(RunnerSummary::of).as_ref() == Some(&summary) {
            return None;
        }
        let holdings = known.map(|known| known.holdings.clone());
        let mut runner = summary.into_runner(id.clone(), revision);
        runner.holdings = holdings.unwrap_or_default();
        self.insert(runner, revision);
        Some(id)
    }

    /// Records a runner's holdings as reported by the coordinator.
    pub fn record_holdings(&mut self, holdings: RunnerHoldings, now: Timestamp) {
        let known = KnownHoldings {
            holdings: holdings
                .holdings
                .into_iter()
                .map(|(model, adapters)| (model, adapters.into_iter().collect()))
                .collect(),
            reported_at: now,
        };
        self.reported_holdings.insert(holdings.runner, known);
    }

    /// A runner's holdings according to the last report of a coordinator, or else to the list.
    pub fn effective_holdings(&self, id: &RunnerId) -> Option<&Holdings> {
        let runner = self.get(id)?;
        let reported = self
            .reported_holdings
            .get(id)
            .map(|reported| &reported.holdings);
        Some(reported.unwrap_or(&runner.holdings))
    }

    /// Digests of the holdings of all runners ([`Self::effective_holdings`]), sent to a coordinator that then reports only
    /// differences. The digested holdings are therefore kept as if the coordinator had reported them, since a later
    /// list may contain less.
    pub fn retain_and_digest_holdings(&mut self, now: Timestamp) -> HoldingsDigests {
        for runner in self.runners.values() {
            self.reported_holdings
                .entry(runner.id.clone())
                .or_insert_with(|| KnownHoldings {
                    holdings: runner.holdings.clone(),
                    reported_at: now,
                });
        }
        self.holdings_digests()
    }

    /// Digests of the holdings of all runners; see [`Self::effective_holdings`].
    pub fn holdings_digests(&self) -> HoldingsDigests {
        let mut digests = HoldingsDigests::for_runners(self.runners.len());
        for runner in self.runners.values() {
            let holdings = self.effective_holdings(&runner.id).into_iter().flatten();
            digests.add(&runner.id, holdings);
        }
        digests
    }

    /// Extends the validity of the holdings that the coordinator reported earlier.
    pub fn confirm_holdings(&mut self, now: Timestamp) {
        self.confirmed_at = now;
    }

    /// Records that a runner refused a request because the unit is not loaded.
    pub fn record_absent_unit(&mut self, id: &RunnerId, unit: &Unit, now: Timestamp) {
        self.absent_units
            .retain(|_, &mut at| now.since(at) < ABSENT_UNIT_TTL);
        self.absent_units.insert((id.clone(), unit.clone()), now);
    }

    /// The runner, if this is its known incarnation.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.get_by_name(id.name())
            .filter(|runner| runner.id == *id)
    }

    /// The known incarnation of the runner with a name.
    pub fn get_by_name(&self, name: &RunnerName) -> Option<&Runner> {
        self.runners.get(name)
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// The runners of a service that are not draining.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Runner> + 'a {
        self.runners
            .values()
            .filter(move |runner| runner.service == *service && !runner.draining)
    }

    /// Whether a runner is believed to have a unit loaded.
    pub fn holds(&self, runner: &Runner, unit: &Unit, now: Timestamp) -> bool {
        if !self.is_in_holdings(runner, unit, now) {
            return false;
        }
        let refused = self.absent_units.get(&(runner.id.clone(), unit.clone()));
        refused.is_none_or(|&at| now.since(at) >= ABSENT_UNIT_TTL)
    }

    fn is_in_holdings(&self, runner: &Runner, unit: &Unit, now: Timestamp) -> bool {
        let is_valid = |reported: &&KnownHoldings| {
            now.since(reported.reported_at.max(self.confirmed_at)) < HOLDINGS_TTL
        };
        let reported = self.reported_holdings.get(&runner.id);
        // Without holdings from the store's list, reported ones are the only source and do not expire.
        let is_current =
            |reported: &&KnownHoldings| is_valid(reported) || runner.holdings.is_empty();
        let reported = reported.filter(is_current);
        let holdings = reported.map_or(&runner.holdings, |reported| &reported.holdings);
        let Some(adapters) = holdings.get(&unit.model) else {
            return false;
        };
        match &unit.adapter {
            Some(adapter) => adapters.contains(adapter),
            None => true,
        }
    }
}
