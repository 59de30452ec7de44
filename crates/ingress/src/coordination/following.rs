//! A member's side: what it tells the coordinator, and what it takes in from it.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::{
    Direction, HoldingsSummary, KnownState, Message, StoreLimit, Usage, WaitNotice, WaitingUnit,
};
use flaxward_routing::standby::StandbyPlace;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;

use crate::state::{Shared, Tables};
use crate::watches::apply_membership;

/// Time between two messages with all that requests use.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two messages while requests wait.
const WAITING_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two messages, so that a burst is one message.
const NOTICE_PAUSE: Duration = Duration::from_millis(20);
/// Term of no coordinator.
const NO_TERM: u64 = 0;

/// The coordinator as this daemon knows it.
struct Coordinator {
    address: SocketAddr,
    term: u64,
    holdings_version: u64,
    /// It has told this daemon something.
    is_heard: bool,
    handshake: Handshake,
    /// It was sent digests of what this daemon knows.
    has_summary: bool,
}

impl Coordinator {
    fn new(address: SocketAddr, term: u64) -> Self {
        Self {
            address,
            term,
            holdings_version: 0,
            is_heard: false,
            handshake: Handshake::Due,
            has_summary: false,
        }
    }

    /// The term to which this daemon says that its knowledge belongs. A coordinator may go by what it has told an earlier
    /// process of this daemon, and begins anew with a member that names another term than its own.
    fn acknowledged_term(&self) -> u64 {
        match self.handshake {
            Handshake::Due | Handshake::Sent => NO_TERM,
            Handshake::Done => self.term,
        }
    }

    /// It was sent what this process knows.
    fn note_sent(&mut self) {
        if self.handshake == Handshake::Due {
            self.handshake = Handshake::Sent;
        }
    }

    /// It has told what runners hold, to a member that knew it up to a version.
    fn note_told_after(&mut self, version: u64) {
        if self.handshake == Handshake::Sent && version == 0 {
            self.handshake = Handshake::Done;
        }
    }
}

/// How far a coordinator knows that this process has been told nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handshake {
    /// It was not sent anything.
    Due,
    /// It was sent what this process knows.
    Sent,
    /// It tells this process what runners hold from the beginning on.
    Done,
}

/// What this daemon knows of its coordinator, and when that one heard of it.
pub(super) struct Following {
    own_address: SocketAddr,
    coordinator: Option<Coordinator>,
    /// Where the members heard the last coordinator.
    members: Vec<SocketAddr>,
    /// Daemons through which the last coordinator may be reached when it is not heard.
    relays: Vec<SocketAddr>,
    /// Bounds on loads from the weight store that the last coordinator has found.
    store_limits: Vec<StoreLimit>,
    usage_at: Timestamp,
    message_at: Timestamp,
    wants_notice: bool,
    has_gap: bool,
}

impl Following {
    /// A daemon that knows of no coordinator yet.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            coordinator: None,
            members: Vec::new(),
            relays: Vec::new(),
            store_limits: Vec::new(),
            usage_at: Timestamp::ZERO,
            message_at: Timestamp::ZERO,
            wants_notice: false,
            has_gap: false,
        }
    }

    /// Where the coordinator listens, if one is known.
    pub fn coordinator(&self) -> Option<SocketAddr> {
        self.coordinator.as_ref().map(|it| it.address)
    }

    /// Where all members listen, as far as they are known.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Daemons through which the coordinator may be reached when it is not heard.
    pub fn relays(&self) -> &[SocketAddr] {
        &self.relays
    }

    /// Bounds on loads from the weight store that the last coordinator has found.
    pub fn store_limits(&self) -> &[StoreLimit] {
        &self.store_limits
    }

    /// Knows of no coordinator any more.
    pub fn forget(&mut self) {
        self.coordinator = None;
    }

    /// Turns to a coordinator, unless a later one is known. Returns whether it did.
    pub fn follow(&mut self, address: SocketAddr, term: u64) -> bool {
        let known = self.coordinator.as_ref().map_or(0, |known| known.term);
        if term <= known {
            return false;
        }
        self.coordinator = Some(Coordinator::new(address, term));
        // The new coordinator must hear of this daemon.
        self.usage_at = Timestamp::ZERO;
        true
    }

    /// A request has begun to wait, so the coordinator should soon hear of it.
    pub fn want_notice(&mut self) {
        self.wants_notice = true;
    }

    /// When the next message to the coordinator is due.
    pub fn next_message(&self, shared: &Shared) -> Timestamp {
        let usage = self.usage_at + USAGE_INTERVAL;
        if self.wants_notice {
            return usage.min(self.message_at + NOTICE_PAUSE);
        }
        let waits = !shared.tables().waiting.is_empty();
        if waits || self.is_unanswered() {
            return usage.min(self.message_at + WAITING_INTERVAL);
        }
        usage
    }

    /// Whether the coordinator has not been heard yet: it may have missed what it was told, or not have begun.
    fn is_unanswered(&self) -> bool {
        self.coordinator.as_ref().is_some_and(|it| !it.is_heard)
    }

    /// The message that is due, if there is a coordinator.
    pub fn due_message(&mut self, shared: &Shared, now: Timestamp) -> Option<Message> {
        if now < self.next_message(shared) {
            return None;
        }
        self.wants_notice = false;
        self.message_at = now;
        let has_gap = std::mem::take(&mut self.has_gap);
        let is_usage_due = now >= self.usage_at + USAGE_INTERVAL || self.is_unanswered();
        let is_usage = !has_gap && is_usage_due;
        if is_usage {
            self.usage_at = now;
        }
        let mut tables = shared.tables();
        let known = self.known(&tables)?;
        self.coordinator.as_mut()?.note_sent();
        let waiting = waiting(&tables, now);
        let from = shared.settings.name.clone();
        if !is_usage {
            return Some(Message::Waiting(WaitNotice {
                from,
                known,
                has_gap,
                waiting,
            }));
        }
        Some(Message::Usage(Usage {
            from,
            address: self.own_address,
            zone: shared.settings.zone.clone(),
            strength: shared.settings.strength,
            is_stopping: shared.is_stopping(),
            known,
            waiting,
            used: tables.uses.recent(now),
            running: tables.running.all(),
        }))
    }

    /// Digests of what this daemon knows of what runners hold: for each coordinator until it has begun to tell them, as soon as
    /// there is a list of runners. They are sent before the next message, which makes the coordinator tell what differs.
    pub fn due_summary(&mut self, shared: &Shared) -> Option<Message> {
        let coordinator = self.coordinator.as_mut()?;
        let mut tables = shared.tables();
        let is_done = coordinator.handshake == Handshake::Done;
        let is_due = tables.runners_known && !(coordinator.has_summary && is_done);
        if !is_due {
            return None;
        }
        coordinator.has_summary = true;
        Some(Message::HoldingsSummary(HoldingsSummary {
            from: shared.settings.name.clone(),
            term: coordinator.term,
            digests: tables.runners.retain_and_digest_holdings(shared.now()),
        }))
    }

    /// What this daemon knows; `None` if it knows of no coordinator.
    fn known(&self, tables: &Tables) -> Option<KnownState> {
        let coordinator = self.coordinator.as_ref()?;
        let runners_revision = if tables.runners_known {
            tables.runners.revision()
        } else {
            0
        };
        Some(KnownState {
            term: coordinator.acknowledged_term(),
            holdings_version: coordinator.holdings_version,
            members: u32::try_from(self.members.len()).unwrap_or(u32::MAX),
            runners_revision,
            runners_digest: tables.runners.digest(),
        })
    }

    /// Takes in what the coordinator tells, in a message that came no earlier than at a time. `leads` says that this
    /// daemon is the coordinator.
    pub fn take_direction(
        &mut self,
        shared: &Shared,
        mut direction: Direction,
        leads: bool,
        came_after: Timestamp,
    ) {
        let now = shared.now();
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if coordinator.term != direction.term {
            return;
        }
        coordinator.is_heard = true;
        let known = direction.store.membership_revision;
        let lacks_runners = direction
            .membership
            .take()
            .is_some_and(|update| !apply_membership(shared, update, known));
        if !leads {
            match direction.standby {
                StandbyPlace::Unsaid => {}
                StandbyPlace::None => shared.set_watch_role(WatchRole::Member),
                StandbyPlace::Place(place) => shared.set_watch_role(WatchRole::Standby(place)),
            }
            shared.record_store_report(direction.address, &direction.store, came_after);
        }
        if let Some(members) = direction.members {
            self.members = members;
        }
        if let Some(relays) = direction.relays {
            self.relays = relays;
        }
        if let Some(limits) = direction.store_limits {
            self.store_limits = limits;
        }
        coordinator.note_told_after(direction.holdings_after);
        let follows = coordinator.holdings_version >= direction.holdings_after;
        shared.set_daemons(direction.daemons);
        let mut tables = shared.tables();
        tables.runners.confirm_holdings(now);
        if let Some(loads) = direction.loads {
            let by_runner = loads.into_iter();
            let by_runner = by_runner.map(|load| (load.runner, load.requests));
            tables.loads = by_runner.collect();
        }
        if lacks_runners || !follows {
            self.has_gap = true;
            self.wants_notice = true;
        }
        let has_news = follows && !direction.holdings.is_empty();
        if follows {
            for holdings in direction.holdings {
                tables.runners.record_holdings(holdings, now);
            }
            let version = direction.holdings_version;
            coordinator.holdings_version = coordinator.holdings_version.max(version);
        }
        drop(tables);
        shared.apply_readiness_estimates(direction.outlooks);
        if has_news {
            shared.changed.notify_waiters();
        }
    }
}

fn waiting(tables: &Tables, now: Timestamp) -> Vec<WaitingUnit> {
    let waiting = tables.waiting.iter();
    waiting
        .map(|(requirement, waiting)| waiting.summary(requirement, now))
        .collect()
}
