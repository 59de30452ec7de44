//! Member role: what this daemon reports to the coordinator, and how it applies the coordinator's directions.

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

/// Time between two messages with the full usage.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two messages while requests wait.
const WAITING_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between two messages, so that a burst of requests causes one message.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(20);
/// Term that no coordinator has.
const NO_TERM: u64 = 0;

/// The coordinator as this daemon knows it.
struct Coordinator {
    address: SocketAddr,
    term: u64,
    holdings_version: u64,
    /// This daemon has received a direction from it.
    has_answered: bool,
    handshake: Handshake,
    /// It has been sent digests of the holdings known here.
    has_summary: bool,
}

impl Coordinator {
    fn new(address: SocketAddr, term: u64) -> Self {
        Self {
            address,
            term,
            holdings_version: 0,
            has_answered: false,
            handshake: Handshake::Due,
            has_summary: false,
        }
    }

    /// The term that this daemon reports for its state. A coordinator may still assume what it has sent to an earlier
    /// process of this daemon; it starts over with a member that names a term other than its own.
    fn acknowledged_term(&self) -> u64 {
        match self.handshake {
            Handshake::Due | Handshake::Sent => NO_TERM,
            Handshake::Done => self.term,
        }
    }

    /// Records that the coordinator was sent the state of this process.
    fn note_sent(&mut self) {
        if self.handshake == Handshake::Due {
            self.handshake = Handshake::Sent;
        }
    }

    /// Records that the coordinator has sent the holdings that follow a version.
    fn note_holdings_after(&mut self, version: u64) {
        if self.handshake == Handshake::Sent && version == 0 {
            self.handshake = Handshake::Done;
        }
    }
}

/// Progress of making a coordinator aware that this process has received no holdings yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handshake {
    /// The coordinator has not been sent anything.
    Due,
    /// The coordinator has been sent the state of this process.
    Sent,
    /// The coordinator sends this process the holdings from the beginning.
    Done,
}

/// What this daemon knows of its coordinator, and when it last sent it a message.
pub(super) struct Follower {
    own_address: SocketAddr,
    coordinator: Option<Coordinator>,
    /// Addresses of the members, as the last coordinator announced them.
    members: Vec<SocketAddr>,
    /// Daemons that can relay messages to the last coordinator while it is silent.
    relays: Vec<SocketAddr>,
    /// Limits on loads from the weight store, as determined by the last coordinator.
    store_limits: Vec<StoreLimit>,
    usage_sent_at: Timestamp,
    message_sent_at: Timestamp,
    is_notice_scheduled: bool,
    has_gap: bool,
}

impl Follower {
    /// A follower that does not know a coordinator yet.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            coordinator: None,
            members: Vec::new(),
            relays: Vec::new(),
            store_limits: Vec::new(),
            usage_sent_at: Timestamp::ZERO,
            message_sent_at: Timestamp::ZERO,
            is_notice_scheduled: false,
            has_gap: false,
        }
    }

    /// Address of the coordinator, if one is known.
    pub fn coordinator(&self) -> Option<SocketAddr> {
        self.coordinator.as_ref().map(|it| it.address)
    }

    /// Addresses of all known members.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Daemons that can relay messages to the coordinator while it is silent.
    pub fn relays(&self) -> &[SocketAddr] {
        &self.relays
    }

    /// Limits on loads from the weight store, as determined by the last coordinator.
    pub fn store_limits(&self) -> &[StoreLimit] {
        &self.store_limits
    }

    /// Forgets the coordinator.
    pub fn forget(&mut self) {
        self.coordinator = None;
    }

    /// Follows a coordinator, unless one with a later term is known. Returns whether it did.
    pub fn follow(&mut self, address: SocketAddr, term: u64) -> bool {
        let known = self.coordinator.as_ref().map_or(0, |known| known.term);
        if term <= known {
            return false;
        }
        self.coordinator = Some(Coordinator::new(address, term));
        // The new coordinator does not know this daemon yet.
        self.usage_sent_at = Timestamp::ZERO;
        true
    }

    /// Schedules a message to the coordinator, since a request has begun to wait.
    pub fn schedule_notice(&mut self) {
        self.is_notice_scheduled = true;
    }

    /// When the next message to the coordinator is due.
    pub fn next_message(&self, shared: &Shared) -> Timestamp {
        let usage = self.usage_sent_at + USAGE_INTERVAL;
        if self.is_notice_scheduled {
            return usage.min(self.message_sent_at + MIN_NOTICE_INTERVAL);
        }
        let has_waiting = !shared.tables().waiting.is_empty();
        if has_waiting || self.is_awaiting_answer() {
            return usage.min(self.message_sent_at + WAITING_INTERVAL);
        }
        usage
    }

    /// Whether the coordinator has not answered yet: it may have missed the messages, or not have started to coordinate.
    fn is_awaiting_answer(&self) -> bool {
        self.coordinator.as_ref().is_some_and(|it| !it.has_answered)
    }

    /// The message that is due, if there is a coordinator.
    pub fn due_message(&mut self, shared: &Shared, now: Timestamp) -> Option<Message> {
        if now < self.next_message(shared) {
            return None;
        }
        self.is_notice_scheduled = false;
        self.message_sent_at = now;
        let has_gap = std::mem::take(&mut self.has_gap);
        let is_usage_due = now >= self.usage_sent_at + USAGE_INTERVAL || self.is_awaiting_answer();
        let is_usage = !has_gap && is_usage_due;
        if is_usage {
            self.usage_sent_at = now;
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

    /// Digests of the holdings known here. They are sent to each coordinator, from when there is a list of runners until the
    /// coordinator has started to send holdings. They precede the next message, which makes the coordinator send only the
    /// differences.
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

    /// The state known here; `None` if no coordinator is known.
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
            lacks_software_versions: tables.runners.lacks_software_versions(),
        })
    }

    /// Applies a direction of the coordinator, from a message that arrived no earlier than `earliest_arrival`. `leads` is
    /// true if this daemon is the coordinator.
    pub fn apply_direction(
        &mut self,
        shared: &Shared,
        mut direction: Direction,
        leads: bool,
        earliest_arrival: Timestamp,
    ) {
        let now = shared.now();
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if coordinator.term != direction.term {
            return;
        }
        coordinator.has_answered = true;
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
            shared.record_store_report(direction.address, &direction.store, earliest_arrival);
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
        coordinator.note_holdings_after(direction.holdings_after);
        let follows = coordinator.holdings_version >= direction.holdings_after;
        shared.set_daemons(direction.daemons, "coordinator");
        let mut tables = shared.tables();
        let daemons = tables.daemons;
        tables.budget.record_daemons(daemons, earliest_arrival);
        tables.runners.confirm_holdings(now);
        if let Some(loads) = direction.loads {
            let by_runner = loads.into_iter();
            let by_runner = by_runner.map(|load| (load.runner, load.requests));
            tables.loads = by_runner.collect();
        }
        if lacks_runners || !follows {
            self.has_gap = true;
            self.is_notice_scheduled = true;
        }
        let has_new_holdings = follows && !direction.holdings.is_empty();
        if follows {
            for holdings in direction.holdings {
                tables.runners.record_holdings(holdings, now);
            }
            let version = direction.holdings_version;
            coordinator.holdings_version = coordinator.holdings_version.max(version);
        }
        drop(tables);
        shared.apply_readiness_estimates(direction.outlooks);
        if has_new_holdings {
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
