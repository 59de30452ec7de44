//! What the coordinator tells which member, and when.
//!
//! For each member the coordinator keeps how far its messages have brought it. A change is told once; a
//! member that has lost a message says so, and what it lacks is told again. Without news a member gets a
//! heartbeat, which shows a loss too. The number of messages is bounded for any number of members.
//!
//! A member that a coordinator has told nothing yet sends digests of what it knows, and is told what differs. One that
//! is still reading the store's list is waited for: after all daemons have started anew, telling each of them the whole
//! state would fill the coordinator's link for longer than the reads take.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::holdings_digests::HoldingsDigests;
use crate::homes::Requirement;
use crate::membership::MembershipUpdate;
use crate::messages::{Direction, HoldingsSummary, KnownState, RunnerLoad, UnitOutlook};
use crate::pacing::{self, Pacer};
use crate::placement::readiness::ReadinessEstimates;
use crate::placement::{HoldingsSnapshot, KnownHoldings, Placement};
use crate::runners::RunnerTable;
use crate::standby::{StandbyPlace, Standbys};

/// Time between two messages to a member without news.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two messages to a member with news of holdings, for each member that there is.
const NEWS_INTERVAL_A_MEMBER: Duration = Duration::from_micros(2_500);
/// Time between two rounds in which a member is told parts of what one round does not hold.
const PARTS_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two messages to a member that hold the loads of runners, if the link has room for them.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// Part of what may be sent to members that loads of runners may fill.
const LOADS_SHARE: f64 = 0.2;
/// Longest time for which a member that has no list of runners yet is left to read the store's. With 300 daemons that
/// start at once before 3,000 runners the last page came after 5.5 s, over a link of 1,000 Mbit/s from the store.
const LONGEST_PATIENCE: Duration = Duration::from_secs(8);
/// Time for which digests of a member count that was not told anything.
const SUMMARY_VALIDITY: Duration = Duration::from_secs(5);
/// Time between two messages to a member that hold the addresses of all members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two messages to a member that name the daemons through which it can send when it does not hear the
/// coordinator: five addresses, so that the time may be long, and shorter than any cut is likely to follow a change.
const RELAYS_INTERVAL: Duration = Duration::from_secs(4);
/// Time between two looks at which members stand by.
const STANDBYS_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a member that still knows less than it was told has lost a message.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(150);

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The member.
    pub member: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is told.
    pub direction: Direction,
}

/// How far a member has been told.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Version of the holdings that it has with what it was told.
    holdings_version: u64,
    /// What it knew before it was told anything.
    known_already: KnownHoldings,
    /// The last round did not hold all that it lacks.
    lacks_more: bool,
    /// When it was first heard.
    first_at: Timestamp,
    /// The store's revision up to which it was told all changes of runners.
    runners_revision: u64,
    /// It has said that it knows a list of runners.
    has_list: bool,
    /// It has said that it was told something under the coordinator's term.
    is_acknowledged: bool,
    /// What there was to be told when it was told last.
    placement_version: u64,
    configuration_version: u64,
    membership_revision: u64,
    standby: StandbyPlace,
    told_at: Timestamp,
    /// When it was sent a heartbeat alone, for want of room on the link.
    heartbeat_at: Timestamp,
    /// When it was told something new.
    news_at: Timestamp,
    loads_at: Timestamp,
    members_at: Timestamp,
    relays_at: Option<Timestamp>,
}

impl Progress {
    /// A member that was told nothing yet.
    fn new(known: KnownState, term: u64, now: Timestamp) -> Self {
        let same_term = known.term == term;
        Self {
            holdings_version: if same_term { known.holdings_version } else { 0 },
            runners_revision: known.runners_revision,
            has_list: known.runners_revision > 0,
            is_acknowledged: same_term,
            first_at: now,
            ..Self::default()
        }
    }

    /// Whether a member that says this goes on from what it was told under a term. If not, it has been told nothing yet, or
    /// its process has started anew: a process never forgets its list.
    fn goes_on(&self, known: KnownState, term: u64) -> bool {
        let has_lost_list = self.has_list && known.runners_revision == 0;
        known.term == term && !has_lost_list
    }

    /// The member goes on from what it was told.
    fn note_known(&mut self, known: KnownState, now: Timestamp) {
        self.is_acknowledged = true;
        self.has_list |= known.runners_revision > 0;
        if now.since(self.news_at) >= ACKNOWLEDGEMENT_TIMEOUT {
            self.take_back(known);
        }
    }

    /// Tells what the member does not know again.
    fn take_back(&mut self, known: KnownState) {
        self.holdings_version = self.holdings_version.min(known.holdings_version);
        self.runners_revision = self.runners_revision.min(known.runners_revision);
    }

    /// Whether the member is to be told something now.
    fn is_due(
        &self,
        header: &Direction,
        placement_version: u64,
        news_interval: Duration,
        now: Timestamp,
    ) -> bool {
        let age = now.since(self.told_at);
        age >= HEARTBEAT_INTERVAL
            || self.configuration_version != header.store.configuration_version
            || self.membership_revision != header.store.membership_revision
            || self.standby != header.standby
            || (self.lacks_more && age >= PARTS_INTERVAL)
            || (self.placement_version != placement_version && age >= news_interval)
    }

    /// Whether the member still reads the store's list, and is left to it.
    fn reads_list(&self, known: KnownState, patience: Duration, now: Timestamp) -> bool {
        known.runners_revision == 0 && now.since(self.first_at) < patience
    }

    fn note_told(&mut self, header: &Direction, placement_version: u64, now: Timestamp) {
        if self.membership_revision != header.store.membership_revision {
            self.news_at = now;
        }
        self.placement_version = placement_version;
        self.configuration_version = header.store.configuration_version;
        self.membership_revision = header.store.membership_revision;
        self.standby = header.standby;
        self.told_at = now;
    }
}

/// What the members have been told under one term.
#[derive(Debug)]
pub struct Dissemination {
    term: u64,
    progress: HashMap<String, Progress>,
    /// Members whose requests wait and that have not been answered.
    unanswered: BTreeSet<String>,
    /// What members know that were told nothing yet, and when they have said so.
    summaries: HashMap<String, (HoldingsDigests, Timestamp)>,
    standbys: Standbys,
    standbys_at: Option<Timestamp>,
    pacer: Pacer,
}

impl Dissemination {
    /// A coordinator that has told nothing yet, on a link of a speed in Mbit/s; 0 if it was not told.
    pub fn new(term: u64, link: u32, now: Timestamp) -> Self {
        Self {
            term,
            progress: HashMap::new(),
            unanswered: BTreeSet::new(),
            summaries: HashMap::new(),
            standbys: Standbys::default(),
            standbys_at: None,
            pacer: Pacer::new(link, now),
        }
    }

    /// Addresses of the standbys, the first to act first.
    pub fn standby_addresses(&self, placement: &Placement, now: Timestamp) -> Vec<SocketAddr> {
        let members: HashMap<String, SocketAddr> = placement.members(now).into_iter().collect();
        let names = self.standbys.names().iter();
        names
            .filter_map(|name| members.get(name).copied())
            .collect()
    }

    /// Chooses the standbys again, if that is due.
    fn choose_standbys(&mut self, placement: &Placement, own: SocketAddr, now: Timestamp) {
        let is_due = |at: Timestamp| now.since(at) >= STANDBYS_INTERVAL;
        if self.standbys_at.is_none_or(is_due) {
            self.standbys_at = Some(now);
            self.standbys.choose(placement.standby_candidates(own, now));
        }
    }

    /// A member has said what it knows. Returns whether it is a new one.
    pub fn heard(&mut self, member: &str, known: KnownState, now: Timestamp) -> bool {
        let Some(progress) = self.progress.get_mut(member) else {
            return true;
        };
        if progress.goes_on(known, self.term) {
            progress.note_known(known, now);
            return false;
        }
        // One that has not acknowledged anything yet is still the same process, which is not waited for anew.
        let first_at = if progress.is_acknowledged {
            now
        } else {
            progress.first_at
        };
        *progress = Progress::new(known, self.term, first_at);
        true
    }

    /// A member has said what it knows of what runners hold.
    pub fn heard_summary(&mut self, summary: HoldingsSummary, now: Timestamp) {
        if summary.term == self.term {
            let known = (summary.digests, now);
            self.summaries.insert(summary.from, known);
        }
    }

    /// A member has said that it has lost a message.
    pub fn has_gap(&mut self, member: &str, known: KnownState) {
        if let Some(progress) = self.progress.get_mut(member) {
            progress.take_back(known);
        }
        self.answer_soon(member);
    }

    /// A member is to be told something after the next plan.
    pub fn answer_soon(&mut self, member: &str) {
        self.unanswered.insert(member.to_owned());
    }

    /// The messages that are due, which count as told.
    pub fn messages(
        &mut self,
        placement: &Placement,
        runners: &RunnerTable,
        header: &Direction,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.choose_standbys(placement, header.address, now);
        self.pacer.refill(now);
        let mut members = placement.members(now);
        let names: BTreeSet<&String> = members.iter().map(|(name, _)| name).collect();
        self.progress.retain(|name, _| names.contains(name));
        self.unanswered.retain(|name| names.contains(name));
        self.summaries
            .retain(|_, (_, at)| now.since(*at) < SUMMARY_VALIDITY);
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let news_interval = NEWS_INTERVAL_A_MEMBER * count;
        let addresses = members.iter().map(|(_, address)| *address).collect();
        let relays = self.standby_addresses(placement, now);
        let mut round = Round::new(placement, runners, addresses, relays, now);
        round.patience = self.patience(&round);
        // If the link has no room for all, nobody is left out for long.
        members.sort_by_key(|(name, _)| self.progress.get(name).map(|it| it.told_at));
        let mut messages = Vec::new();
        for (member, address) in members {
            let own_header = Direction {
                standby: self.standbys.place(&member),
                ..header.clone()
            };
            if !self.pacer.can_send() {
                let heartbeat = self.bare_heartbeat(&member, own_header, placement, now);
                messages.extend(heartbeat.map(|direction| Outgoing {
                    member,
                    address,
                    direction,
                }));
                continue;
            }
            let is_due = self.progress.get(&member).is_none_or(|progress| {
                progress.is_due(&own_header, placement.version(), news_interval, now)
            });
            if !self.unanswered.remove(&member) && !is_due {
                continue;
            }
            for direction in self.directions(&member, &own_header, &mut round) {
                self.pacer.consume(&direction);
                messages.push(Outgoing {
                    member: member.clone(),
                    address,
                    direction,
                });
            }
        }
        messages
    }

    /// What a member is told that is due a heartbeat while the link has no room for news: a member that hears nothing
    /// takes the coordinator for gone, and refuses the requests that wait for it. At 300 members it is 66 KB a second.
    fn bare_heartbeat(
        &mut self,
        member: &str,
        header: Direction,
        placement: &Placement,
        now: Timestamp,
    ) -> Option<Direction> {
        let known = placement.known_state_of(member)?;
        let progress = self.progress.entry(member.to_owned());
        let progress = progress.or_insert_with(|| Progress::new(known, header.term, now));
        let last_at = progress.told_at.max(progress.heartbeat_at);
        if now.since(last_at) < HEARTBEAT_INTERVAL {
            return None;
        }
        progress.heartbeat_at = now;
        let direction = Direction {
            holdings_after: progress.holdings_version,
            holdings_version: progress.holdings_version,
            ..header
        };
        self.pacer.consume(&direction);
        Some(direction)
    }

    /// How long a member that has no list of runners is left to read the store's: as long as it would take to tell
    /// everything to all, which is hardly any time in a small fleet.
    fn patience(&self, round: &Round<'_>) -> Duration {
        let bytes = pacing::full_state_bytes(round.runners.iter().count());
        let everything = self.pacer.transmission_time(bytes * round.addresses.len());
        everything.min(LONGEST_PATIENCE)
    }

    /// Time between two messages to a member that hold the loads of runners.
    fn loads_interval(&self, round: &mut Round<'_>) -> Duration {
        let bytes = pacing::loads_bytes(round.loads().len());
        let everywhere = self.pacer.transmission_time(bytes * round.addresses.len());
        LOADS_INTERVAL.max(everywhere.div_f64(LOADS_SHARE))
    }

    /// What a member is told now, in messages that fit a datagram each.
    fn directions(
        &mut self,
        member: &str,
        header: &Direction,
        round: &mut Round<'_>,
    ) -> Vec<Direction> {
        let (placement, now) = (round.placement, round.now);
        let Some(known) = placement.known_state_of(member) else {
            return Vec::new();
        };
        let loads_interval = self.loads_interval(round);
        let progress = self.progress.entry(member.to_owned());
        let progress = progress.or_insert_with(|| Progress::new(known, header.term, now));
        progress.runners_revision = progress.runners_revision.max(known.runners_revision);
        let reads_list = progress.reads_list(known, round.patience, now);
        let after = progress.holdings_version;
        if after == 0
            && !reads_list
            && placement.has_runners()
            && let Some((digests, _)) = self.summaries.remove(member)
        {
            progress.known_already = placement.known_holdings(&digests, round.snapshot());
        }
        let mut directions = if reads_list {
            vec![Direction {
                holdings_after: after,
                holdings_version: after,
                ..header.clone()
            }]
        } else {
            placement.directions(after, &progress.known_already, header)
        };
        if let Some(last) = directions.last() {
            progress.holdings_version = last.holdings_version;
        }
        progress.lacks_more = !reads_list
            && placement.has_changed_since(progress.holdings_version, &progress.known_already);
        if progress.holdings_version != after {
            progress.news_at = now;
        }
        if let Some(first) = directions.first_mut() {
            let waiting = placement.waiting_units_of(member).iter();
            first.outlooks = waiting
                .filter_map(|waiting| round.outlook(&waiting.requirement))
                .collect();
            let lacks_members =
                header.standby.stands_by() == Some(true) && known.members != header.daemons;
            if lacks_members && now.since(progress.members_at) >= MEMBERS_INTERVAL {
                progress.members_at = now;
                first.members = Some(round.addresses.clone());
            }
            let is_relays_due = |at: Timestamp| now.since(at) >= RELAYS_INTERVAL;
            if progress.relays_at.is_none_or(is_relays_due) {
                progress.relays_at = Some(now);
                first.relays = Some(round.relays.clone());
            }
            if now.since(progress.loads_at) >= loads_interval {
                progress.loads_at = now;
                first.loads = Some(round.loads());
                first.store_limits = Some(placement.store_limits());
            }
        }
        if !reads_list && progress.runners_revision < header.store.membership_revision {
            let updates = round.updates_for(progress.runners_revision, known);
            // Without the changes the member reads the store.
            let until = updates.last().map(|update| update.until);
            progress.runners_revision = until.unwrap_or(header.store.membership_revision);
            add_updates(&mut directions, updates, header);
        }
        progress.note_told(header, placement.version(), now);
        directions
    }
}

/// One round of messages. What several members are told alike is found once.
struct Round<'a> {
    placement: &'a Placement,
    runners: &'a RunnerTable,
    addresses: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    now: Timestamp,
    loads: Option<Vec<RunnerLoad>>,
    digest: u64,
    updates: HashMap<u64, Vec<MembershipUpdate>>,
    snapshot: Option<HoldingsSnapshot>,
    /// How long a member that has no list of runners is left to read the store's.
    patience: Duration,
    outlooks: Option<ReadinessEstimates<'a>>,
}

impl<'a> Round<'a> {
    fn new(
        placement: &'a Placement,
        runners: &'a RunnerTable,
        addresses: Vec<SocketAddr>,
        relays: Vec<SocketAddr>,
        now: Timestamp,
    ) -> Self {
        Self {
            placement,
            runners,
            addresses,
            relays,
            now,
            loads: None,
            digest: runners.digest(),
            updates: HashMap::new(),
            snapshot: None,
            patience: Duration::ZERO,
            outlooks: None,
        }
    }

    fn loads(&mut self) -> Vec<RunnerLoad> {
        let placement = self.placement;
        self.loads.get_or_insert_with(|| placement.loads()).clone()
    }

    fn snapshot(&mut self) -> &HoldingsSnapshot {
        let placement = self.placement;
        self.snapshot
            .get_or_insert_with(|| placement.holdings_snapshot())
    }

    /// What a member that was told all changes up to a revision must hear of the runners; nothing before the first
    /// list. A coordinator that has just started cannot tell what has changed since; if the member has the same
    /// runners, it is told just that.
    fn updates_for(&mut self, revision: u64, known: KnownState) -> Vec<MembershipUpdate> {
        let runners = self.runners;
        let updates = self.updates.entry(revision);
        let updates =
            updates.or_insert_with(|| runners.updates_after(revision).unwrap_or_default());
        let is_whole = updates.first().is_some_and(MembershipUpdate::is_whole);
        let knows_all = known.runners_revision == revision && known.runners_digest == self.digest;
        let knows_spells = !runners.has_cold_period_after(revision);
        if is_whole && revision > 0 && knows_all && knows_spells {
            return vec![runners.confirmation(revision)];
        }
        updates.clone()
    }

    fn outlook(&mut self, requirement: &Requirement) -> Option<UnitOutlook> {
        let (placement, now) = (self.placement, self.now);
        let outlooks = self
            .outlooks
            .get_or_insert_with(|| placement.readiness_estimates(now));
        outlooks.estimate(requirement)
    }
}

/// Adds changes of runners, the first to the first message and each other one as a message of its own.
fn add_updates(
    directions: &mut Vec<Direction>,
    updates: Vec<MembershipUpdate>,
    header: &Direction,
) {
    let mut updates = updates.into_iter();
    if let Some(first) = directions.first_mut() {
        first.membership = updates.next();
    }
    let rest: Vec<Direction> = updates
        .map(|update| Direction {
            membership: Some(update),
            holdings_after: 0,
            ..header.clone()
        })
        .collect();
    directions.extend(rest);
}
