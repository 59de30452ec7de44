//! The coordinator's work while this daemon's lease holds: when it plans, and which member is told what.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::lease::LeasePulse;
use flaxward_routing::membership::MembershipUpdate;
use flaxward_routing::messages::{Direction, KnownState, Usage, WaitNotice};
use flaxward_routing::placement::{Action, Placement};
use flaxward_types::time::{Timestamp, millis};

use crate::state::Shared;

/// Time between two plans if nothing has happened.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between the end of a plan and the next one.
const LEAST_PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Longest time between the end of a plan and the next one.
const LONGEST_PLAN_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a plan, in times that the plan took: a weak machine also serves requests.
const PLAN_PAUSE_FACTOR: u32 = 3;
/// Time between two messages to a member without news.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two messages to a member with news of holdings, for each member that there is.
const NEWS_INTERVAL_A_MEMBER: Duration = Duration::from_micros(2_500);
/// Time between two messages to a member that hold the loads of runners.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two messages to a member that hold the addresses of all members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a member that still knows less than it was told has lost a message.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(150);

/// What a member was told last.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// Version of the holdings that it has with what it was told.
    holdings_version: u64,
    /// Version of the holdings that there was.
    known_version: u64,
    configuration_version: u64,
    membership_revision: u64,
    /// The store's revision up to which it was told all changes of runners.
    runners_revision: u64,
    at: Timestamp,
    /// When it was told something new.
    news_at: Timestamp,
    loads_at: Timestamp,
    members_at: Timestamp,
}

impl Told {
    /// A member knows this. What it lacks although it was told a while ago is told again.
    fn acknowledge(&mut self, known: KnownState, now: Timestamp) {
        if now.since(self.news_at) >= ACKNOWLEDGEMENT_TIMEOUT {
            self.take_back(known);
        }
    }

    /// Tells what the member does not know again.
    fn take_back(&mut self, known: KnownState) {
        self.holdings_version = self.holdings_version.min(known.holdings_version);
        self.runners_revision = self.runners_revision.min(known.runners_revision);
    }
}

/// A message to a member.
pub(super) struct Outgoing {
    /// The member.
    pub member: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is told.
    pub direction: Direction,
}

/// This daemon's coordination under one term.
pub(super) struct Leading {
    pub term: u64,
    pub placement: Placement,
    told: HashMap<String, Told>,
    /// Members whose requests wait and that have not been answered.
    unanswered: BTreeSet<String>,
    plan_due: Timestamp,
    /// Earliest time of the next plan.
    plan_allowed: Timestamp,
    /// State of the list of runners that the placement knows.
    known_changes: Option<u64>,
}

impl Leading {
    /// Coordination that begins now.
    pub fn new(term: u64, placement: Placement, now: Timestamp) -> Self {
        Self {
            term,
            placement,
            told: HashMap::new(),
            unanswered: BTreeSet::new(),
            plan_due: now,
            plan_allowed: now,
            known_changes: None,
        }
    }

    /// When the next plan is due.
    pub fn plan_due(&self) -> Timestamp {
        self.plan_due
    }

    /// Something has happened that the next plan should take in soon.
    pub fn plan_soon(&mut self, now: Timestamp) {
        self.plan_due = self.plan_due.min(self.plan_allowed.max(now));
    }

    /// Takes in what a member uses.
    pub fn heard_usage(&mut self, usage: Usage, now: Timestamp) {
        self.acknowledged(&usage.from, usage.known, now);
        if !usage.waiting.is_empty() {
            self.unanswered.insert(usage.from.clone());
            self.plan_soon(now);
        } else if !self.told.contains_key(&usage.from) {
            self.plan_soon(now);
        }
        self.placement.usage(usage, now);
    }

    /// Takes in what a member's requests wait for.
    pub fn heard_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        self.acknowledged(&notice.from, notice.known, now);
        let told = self.told.get_mut(&notice.from);
        if let Some(told) = told.filter(|_| notice.has_gap) {
            told.take_back(notice.known);
        }
        self.unanswered.insert(notice.from.clone());
        self.placement.waiting(notice, now);
        self.plan_soon(now);
    }

    fn acknowledged(&mut self, member: &str, known: KnownState, now: Timestamp) {
        if known.term != self.term {
            self.told.remove(member);
        } else if let Some(told) = self.told.get_mut(member) {
            told.acknowledge(known, now);
        }
    }

    /// Decides on orders and reports.
    pub fn plan(&mut self, shared: &Shared, now: Timestamp) -> Vec<Action> {
        if let Some(configuration) = shared.configuration() {
            self.placement.configure(&configuration);
        }
        let tables = shared.tables();
        let version = tables.configuration.as_ref().map_or(0, |it| it.version);
        let changes = Some(tables.runners.change_count() ^ version.rotate_left(32));
        if self.known_changes != changes {
            self.known_changes = changes;
            self.placement.set_runners(tables.runners.iter());
        }
        drop(tables);
        self.placement.plan(now)
    }

    /// A plan that began at a time is carried out; sets when the next one is due.
    pub fn planned(&mut self, begun: Timestamp, now: Timestamp) {
        let pause = now.since(begun) * PLAN_PAUSE_FACTOR;
        let pause = pause.clamp(LEAST_PLAN_PAUSE, LONGEST_PLAN_PAUSE);
        self.plan_allowed = now + pause;
        self.plan_due = now + PLAN_INTERVAL.max(pause);
    }

    /// What the members are to be told now.
    pub fn messages(
        &mut self,
        shared: &Shared,
        pulse: LeasePulse,
        own: SocketAddr,
    ) -> Vec<Outgoing> {
        let now = shared.now();
        let members = self.placement.members(now);
        let header = self.header(shared, pulse, own, members.len());
        self.told
            .retain(|name, _| members.iter().any(|(member, _)| member == name));
        let interval = NEWS_INTERVAL_A_MEMBER * u32::try_from(members.len()).unwrap_or(u32::MAX);
        let mut messages = Vec::new();
        for (member, address) in &members {
            if !self.is_due(member, &header, interval, now) {
                continue;
            }
            self.unanswered.remove(member);
            let directions = self.directions(shared, member, &header, &members, now);
            messages.extend(directions.into_iter().map(|direction| Outgoing {
                member: member.clone(),
                address: *address,
                direction,
            }));
        }
        messages
    }

    fn is_due(&self, member: &str, header: &Direction, interval: Duration, now: Timestamp) -> bool {
        let Some(told) = self.told.get(member) else {
            return true;
        };
        let age = now.since(told.at);
        age >= HEARTBEAT_INTERVAL
            || self.unanswered.contains(member)
            || told.configuration_version != header.configuration_version
            || told.membership_revision != header.membership_revision
            || (told.known_version != self.placement.version() && age >= interval)
    }

    /// What a member is told now, which is noted.
    fn directions(
        &mut self,
        shared: &Shared,
        member: &str,
        header: &Direction,
        members: &[(String, SocketAddr)],
        now: Timestamp,
    ) -> Vec<Direction> {
        let Some(known) = self.placement.known_by(member) else {
            return Vec::new();
        };
        let same_term = known.term == header.term;
        let mut told = self.told.get(member).copied().unwrap_or(Told {
            holdings_version: if same_term { known.holdings_version } else { 0 },
            runners_revision: known.runners_revision,
            ..Told::default()
        });
        let after = told.holdings_version;
        let mut directions = self.placement.directions(member, after, header, now);
        let until = directions
            .last()
            .map_or(after, |last| last.holdings_version);
        if known.members != header.daemons && now.since(told.members_at) >= MEMBERS_INTERVAL {
            told.members_at = now;
            directions[0].members = Some(members.iter().map(|(_, address)| *address).collect());
        }
        if now.since(told.loads_at) >= LOADS_INTERVAL {
            told.loads_at = now;
            directions[0].loads = Some(self.placement.loads());
        }
        if told.runners_revision < header.membership_revision {
            let updates = updates(shared, told.runners_revision);
            let until = updates.last().map(|update| update.until);
            told.runners_revision = until.unwrap_or(header.membership_revision);
            add_updates(&mut directions, updates, header);
        }
        if after != until || told.membership_revision != header.membership_revision {
            told.news_at = now;
        }
        told.holdings_version = until;
        told.known_version = self.placement.version();
        told.configuration_version = header.configuration_version;
        told.membership_revision = header.membership_revision;
        told.at = now;
        self.told.insert(member.to_owned(), told);
        directions
    }

    /// What a coordinator tells every member alike.
    fn header(
        &self,
        shared: &Shared,
        lease: LeasePulse,
        address: SocketAddr,
        daemons: usize,
    ) -> Direction {
        let strongest = self.placement.strongest_member();
        Direction {
            strongest: strongest.max(shared.settings.capacity),
            ..header(shared, lease, address, daemons)
        }
    }
}

/// Changes of runners after a revision; none if they are not all known.
fn updates(shared: &Shared, revision: u64) -> Vec<MembershipUpdate> {
    let updates = shared.tables().runners.updates_after(revision);
    updates.unwrap_or_default()
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
    directions.extend(updates.map(|update| Direction {
        membership: Some(update),
        ..header.clone()
    }));
}

/// What a coordinator tells every member alike, before it has heard of them.
pub(super) fn header(
    shared: &Shared,
    lease: LeasePulse,
    address: SocketAddr,
    daemons: usize,
) -> Direction {
    let store_silence = millis(shared.store_silence());
    let tables = shared.tables();
    Direction {
        term: lease.term,
        lease,
        address,
        daemons: u32::try_from(daemons.max(1)).unwrap_or(u32::MAX),
        strongest: shared.settings.capacity,
        configuration_version: tables.configuration.as_ref().map_or(0, |it| it.version),
        membership_revision: tables.runners.membership_revision(),
        store_silence_ms: u32::try_from(store_silence).unwrap_or(u32::MAX),
        membership: None,
        members: None,
        holdings_after: 0,
        holdings_version: 0,
        holdings: Vec::new(),
        outlooks: Vec::new(),
        loads: None,
    }
}
