//! This daemon's part in deciding what is loaded where: it holds the lease if it can, tells the
//! coordinator what its requests need, and carries out what the placement decides while it
//! coordinates itself.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::lease::{LeaseAnswer, LeaseCall, LeaseChange, LeaseMachine, LeasePulse};
use flaxward_routing::messages::{Direction, Message, Usage, WaitingUnit};
use flaxward_routing::names::RunnerId;
use flaxward_routing::placement::{Action, Operation, Order, OrderAnswer, Placement, RunnerReport};
use flaxward_types::time::{Timestamp, millis};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::counters::ORDERS;
use crate::outside::{Changed, FencedOrder, StoreError};
use crate::peer::PeerSocket;
use crate::state::{Shared, StoreWord};

/// Time between two plans while this daemon coordinates.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between looks at the lease while it does not.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two messages to the coordinator while nothing is waited for.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);
/// The same while requests wait.
const WAITING_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time since the store answered the coordinator for which its word on the store stands.
const STORE_TRUST: Duration = Duration::from_millis(1_300);
/// Shortest time between two messages, so that a burst is one message.
const USAGE_PAUSE: Duration = Duration::from_millis(5);
/// Time between two messages of the coordinator to a member without news.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What calls have come to.
enum Event {
    Lease(LeaseAnswer),
    Report {
        runner: RunnerId,
        report: Option<RunnerReport>,
        asked_at: Timestamp,
        term: u64,
    },
    Order {
        runner: RunnerId,
        answer: OrderAnswer,
        order: Order,
        term: u64,
    },
}

/// The coordinator as this daemon knows it.
struct Coordinator {
    address: SocketAddr,
    term: u64,
    holdings_version: u64,
}

/// What a member was told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    holdings_version: u64,
    configuration_version: u64,
    membership_revision: u64,
}

/// This daemon's coordination while its lease holds.
struct Leading {
    term: u64,
    placement: Placement,
    told: HashMap<String, (Told, Timestamp)>,
}

/// The task of the coordination.
pub(crate) struct Coordination {
    shared: Arc<Shared>,
    peers: PeerSocket,
    address: SocketAddr,
    lease: LeaseMachine,
    coordinator: Option<Coordinator>,
    leading: Option<Leading>,
    events: mpsc::UnboundedSender<Event>,
    queue: mpsc::UnboundedReceiver<Event>,
    usage_at: Timestamp,
    store_fails: bool,
    /// Where the members heard the last coordinator.
    known_members: Vec<SocketAddr>,
    planned_at: Timestamp,
}

impl Coordination {
    /// Coordination of a daemon that knows of no coordinator yet.
    ///
    /// # Errors
    /// Fails if the socket has no address.
    pub(crate) fn new(shared: Arc<Shared>, peers: PeerSocket) -> anyhow::Result<Self> {
        let address = peers.address()?;
        let (events, queue) = mpsc::unbounded_channel();
        let lease = LeaseMachine::new(
            shared.settings.lease,
            shared.settings.name.clone(),
            shared.seed,
            address,
        );
        Ok(Self {
            shared,
            peers,
            address,
            lease,
            coordinator: None,
            leading: None,
            events,
            queue,
            usage_at: Timestamp::ZERO,
            store_fails: false,
            known_members: Vec::new(),
            planned_at: Timestamp::ZERO,
        })
    }

    /// Runs until the daemon has stopped.
    pub(crate) async fn run(mut self) {
        loop {
            let now = self.shared.now();
            let wake_at = self.shared.clock.instant(self.next_wake(now));
            let shared = self.shared.clone();
            tokio::select! {
                message = self.peers.receive() => {
                    if let Some(message) = message {
                        self.received(message);
                    }
                }
                Some(event) = self.queue.recv() => self.happened(event),
                () = shared.demand.notified() => {
                    let earliest = self.usage_at + USAGE_PAUSE;
                    let soon = self.shared.clock.instant(earliest);
                    sleep_until(soon).await;
                    self.send_usage();
                    self.plan();
                }
                () = sleep_until(wake_at) => self.tick(),
            }
            if self.shared.is_stopping() {
                self.lease.stop();
            }
        }
    }

    fn next_wake(&self, now: Timestamp) -> Timestamp {
        let mut wake_at = self.lease.next_poll(now).min(self.next_usage());
        if self.leading.is_some() {
            wake_at = wake_at.min(self.planned_at + PLAN_INTERVAL);
        }
        wake_at.min(now + IDLE_INTERVAL)
    }

    fn next_usage(&self) -> Timestamp {
        let waits = !self.shared.tables().waiting.is_empty();
        let interval = if waits {
            WAITING_INTERVAL
        } else {
            USAGE_INTERVAL
        };
        self.usage_at + interval
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let hears = self.lease.hears_holder(now);
        self.shared
            .hears_coordinator
            .store(hears, Ordering::Relaxed);
        let (call, change) = self.lease.poll(now);
        if let Some(change) = change {
            self.lease_changed(&change);
        }
        if let Some(call) = call {
            self.call_store(call);
        }
        if now >= self.next_usage() {
            self.send_usage();
        }
        if now >= self.planned_at + PLAN_INTERVAL {
            self.plan();
        }
    }

    fn happened(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Lease(answer) => {
                self.note_store(&answer);
                if let Some(change) = self.lease.answered(answer, now) {
                    self.lease_changed(&change);
                }
            }
            Event::Report {
                runner,
                report,
                asked_at,
                term,
            } => {
                if let Some(leading) = self.leading.as_mut().filter(|it| it.term == term) {
                    leading.placement.reported(&runner, report, asked_at, now);
                    self.plan();
                }
            }
            Event::Order {
                runner,
                answer,
                order,
                term,
            } => self.order_answered(&runner, answer, &order, term),
        }
    }

    /// Watches that were begun while the store did not answer may hang for good.
    fn note_store(&mut self, answer: &LeaseAnswer) {
        let fails = *answer == LeaseAnswer::Unknown;
        if !fails {
            self.shared.note_store_seen();
        }
        if self.store_fails && !fails {
            self.shared.restart_watches();
        }
        self.store_fails = fails;
    }

    /// Takes in what the coordinator says of the store. The word of one that has not heard of the store
    /// lately does not stand for long.
    fn note_store_word(&self, direction: &Direction) {
        if self.leading.is_some() {
            return;
        }
        let silence = Duration::from_millis(u64::from(direction.store_silence_ms));
        let stands = STORE_TRUST.saturating_sub(silence);
        let word = StoreWord {
            trusted_until: Some(self.shared.now() + stands),
            configuration_version: direction.configuration_version,
            membership_revision: direction.membership_revision,
            is_leading: false,
        };
        self.shared.store_word.send_replace(word);
    }

    /// From now on this daemon watches the store for all. The others read the runners once, since they
    /// may have followed a coordinator that knew less.
    fn begin_watching(&self) {
        let mut tables = self.shared.tables();
        tables.membership_revision = tables.membership_revision.max(tables.runners.revision());
        drop(tables);
        self.shared.store_word.send_replace(StoreWord {
            is_leading: true,
            ..StoreWord::default()
        });
    }

    fn order_answered(&mut self, runner: &RunnerId, answer: OrderAnswer, order: &Order, term: u64) {
        let now = self.shared.now();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("operation", &operation_name(order.operation)),
            ("unit", &order.unit),
            ("answer", &format!("{answer:?}")),
            ("term", &term),
        ];
        self.shared.log.write(now, "order-answered", fields);
        if answer == OrderAnswer::FencedOff {
            if let Some(change) = self.lease.refused(term) {
                self.lease_changed(&change);
            }
            return;
        }
        if let Some(leading) = self.leading.as_mut().filter(|it| it.term == term) {
            leading.placement.answered(runner, answer, now);
            self.plan();
        }
    }

    fn lease_changed(&mut self, change: &LeaseChange) {
        let now = self.shared.now();
        match *change {
            LeaseChange::Acquired { term, orders_from } => {
                let mut placement =
                    Placement::new(self.shared.settings.placement, now, orders_from);
                if let Some(configuration) = self.shared.configuration() {
                    placement.configure(&configuration);
                }
                self.begin_watching();
                self.announce();
                self.leading = Some(Leading {
                    term,
                    placement,
                    told: HashMap::new(),
                });
                self.log_lease("lease-acquired", term);
                self.follow(self.address, term);
            }
            LeaseChange::Lost { term } => {
                self.shared.tables().loads.clear();
                self.shared.store_word.send_replace(StoreWord::default());
                self.leading = None;
                self.coordinator = None;
                self.log_lease("lease-lost", term);
            }
            LeaseChange::Holder { address, term } => {
                self.follow(address, term);
            }
        }
    }

    /// Tells all members that this daemon knows that it coordinates.
    fn announce(&self) {
        let Some(pulse) = self.lease.pulse(self.shared.now()) else {
            return;
        };
        let count = u32::try_from(self.known_members.len()).unwrap_or(u32::MAX);
        let header = header(&self.shared, pulse, self.address, count.max(1));
        let others = self.known_members.iter();
        for address in others.filter(|&&address| address != self.address) {
            let message = Message::Direction(header.clone());
            self.peers.send(*address, &message);
        }
    }

    fn log_lease(&self, event: &str, term: u64) {
        let fields: &[(&str, &dyn Display)] = &[("term", &term)];
        self.shared.log.write(self.shared.now(), event, fields);
    }

    /// Turns to a coordinator, unless a later one is known.
    fn follow(&mut self, address: SocketAddr, term: u64) {
        let known = self.coordinator.as_ref().map_or(0, |known| known.term);
        if term <= known {
            return;
        }
        self.log_lease("coordinator-known", term);
        self.coordinator = Some(Coordinator {
            address,
            term,
            holdings_version: 0,
        });
        self.send_usage();
    }

    fn call_store(&self, call: LeaseCall) {
        let store = self.shared.store.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let answer = match call {
                LeaseCall::Read => match store.lease().await {
                    Ok(Some(lease)) => LeaseAnswer::Found(lease),
                    Ok(None) => LeaseAnswer::Missing,
                    Err(_) => LeaseAnswer::Unknown,
                },
                LeaseCall::Create(record) => changed(store.create_lease(&record).await),
                LeaseCall::Replace(record, revision) => {
                    changed(store.replace_lease(&record, revision).await)
                }
            };
            let _ = events.send(Event::Lease(answer));
        });
    }

    fn usage(&self) -> Option<Usage> {
        let coordinator = self.coordinator.as_ref()?;
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        let waiting = tables.waiting.iter();
        let waiting = waiting
            .map(|(unit, waiting)| WaitingUnit {
                unit: unit.clone(),
                requests: waiting.requests,
                priority: waiting.priority,
            })
            .collect();
        Some(Usage {
            from: self.shared.settings.name.clone(),
            address: self.address,
            zone: self.shared.settings.zone.clone(),
            term: coordinator.term,
            holdings_version: coordinator.holdings_version,
            known_members: u32::try_from(self.known_members.len()).unwrap_or(u32::MAX),
            leaving: false,
            waiting,
            used: tables.uses.recent(now),
            running: tables.running.all(),
        })
    }

    fn send_usage(&mut self) {
        let now = self.shared.now();
        self.usage_at = now;
        let Some(usage) = self.usage() else {
            return;
        };
        if let Some(leading) = &mut self.leading {
            leading.placement.usage(usage, now);
            let name = self.shared.settings.name.clone();
            self.direct(&name);
        } else if let Some(coordinator) = &self.coordinator {
            self.peers.send(coordinator.address, &Message::Usage(usage));
        }
    }

    fn received(&mut self, message: Message) {
        let now = self.shared.now();
        match message {
            Message::Usage(usage) => {
                let Some(leading) = &mut self.leading else {
                    return;
                };
                let name = usage.from.clone();
                let waits = !usage.waiting.is_empty();
                leading.placement.usage(usage, now);
                if waits {
                    self.plan();
                }
                self.direct(&name);
            }
            Message::Direction(direction) => {
                let term = direction.term;
                self.lease.heard(direction.lease, now);
                self.follow(direction.address, term);
                self.take_direction(direction);
            }
        }
    }

    /// Tells a member what it needs to know.
    fn direct(&mut self, member: &str) {
        let now = self.shared.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let members = leading.placement.members(now);
        let Some((_, address)) = members.iter().find(|(name, _)| name == member) else {
            return;
        };
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let Some(pulse) = self.lease.pulse(now) else {
            return;
        };
        let mut header = header(&self.shared, pulse, self.address, count);
        if leading.placement.members_known_by(member) != count {
            header.members = Some(members.iter().map(|(_, address)| *address).collect());
        }
        let mut directions = leading.placement.directions(member, &header, now);
        if let Some(first) = directions.first_mut() {
            first.loads = Some(leading.placement.loads());
        }
        let told = Told {
            holdings_version: leading.placement.version(),
            configuration_version: header.configuration_version,
            membership_revision: header.membership_revision,
        };
        leading.told.insert(member.to_owned(), (told, now));
        let is_self = member == self.shared.settings.name;
        let address = *address;
        for direction in directions {
            if is_self {
                self.take_direction(direction);
            } else {
                self.peers.send(address, &Message::Direction(direction));
            }
        }
    }

    /// Tells all members whose news are old, or who know an older version.
    fn direct_all(&mut self) {
        let now = self.shared.now();
        let Some(leading) = &self.leading else {
            return;
        };
        let configuration = self.shared.configuration();
        let news = Told {
            holdings_version: leading.placement.version(),
            configuration_version: configuration.map_or(0, |known| known.version),
            membership_revision: self.shared.tables().membership_revision,
        };
        let due: Vec<String> = leading
            .placement
            .members(now)
            .into_iter()
            .map(|(name, _)| name)
            .filter(|name| {
                let told = leading.told.get(name);
                told.is_none_or(|&(known, at)| known != news || now.since(at) >= HEARTBEAT_INTERVAL)
            })
            .collect();
        for member in due {
            self.direct(&member);
        }
    }

    fn take_direction(&mut self, direction: Direction) {
        let now = self.shared.now();
        let known = self.coordinator.as_ref().map(|known| known.term);
        if known != Some(direction.term) {
            return;
        }
        self.note_store_word(&direction);
        if let Some(members) = direction.members.clone() {
            self.known_members = members;
        }
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let follows = coordinator.holdings_version >= direction.holdings_after;
        let mut tables = self.shared.tables();
        tables.daemons = usize::try_from(direction.daemons)
            .unwrap_or(usize::MAX)
            .max(1);
        tables.runners.confirm(now);
        if let Some(loads) = direction.loads {
            let loads = loads.into_iter().map(|load| (load.runner, load.requests));
            tables.loads = loads.collect();
        }
        let has_news = !direction.holdings.is_empty();
        if follows {
            for holdings in direction.holdings {
                tables.runners.tell(holdings, now);
            }
            let version = direction.holdings_version;
            coordinator.holdings_version = coordinator.holdings_version.max(version);
        }
        drop(tables);
        self.shared.tell_outlooks(direction.outlooks);
        if has_news {
            self.shared.changed.notify_waiters();
        }
    }

    /// Decides on orders and reports, and carries the decisions out.
    fn plan(&mut self) {
        let now = self.shared.now();
        self.planned_at = now;
        let term = self.lease.term(now);
        let Some(leading) = self.leading.as_mut().filter(|it| Some(it.term) == term) else {
            return;
        };
        if let Some(configuration) = self.shared.configuration() {
            leading.placement.configure(&configuration);
        }
        leading
            .placement
            .set_runners(self.shared.tables().runners.iter());
        let actions = leading.placement.plan(now);
        let term = leading.term;
        for action in actions {
            self.carry_out(action, term);
        }
        self.direct_all();
    }

    fn carry_out(&self, action: Action, term: u64) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        match action {
            Action::Report { runner, address } => {
                let asked_at = shared.now();
                tokio::spawn(async move {
                    let report = shared.control.report(address).await;
                    let _ = events.send(Event::Report {
                        runner,
                        report,
                        asked_at,
                        term,
                    });
                });
            }
            Action::Order {
                runner,
                address,
                order,
                expected_count,
                reason,
            } => {
                let fields: &[(&str, &dyn Display)] = &[
                    ("runner", &runner),
                    ("operation", &operation_name(order.operation)),
                    ("unit", &order.unit),
                    ("reason", &format!("{reason:?}")),
                    ("expected_count", &expected_count),
                    ("term", &term),
                ];
                metrics::counter!(ORDERS.name).increment(1);
                shared.log.write(shared.now(), "order-sent", fields);
                tokio::spawn(async move {
                    let fenced = FencedOrder {
                        runner: &runner,
                        order: &order,
                        expected_count,
                        holder: &shared.settings.name,
                        fence: term,
                    };
                    let answer = shared.control.order(address, &fenced).await;
                    let _ = events.send(Event::Order {
                        runner,
                        answer,
                        order,
                        term,
                    });
                });
            }
        }
    }
}

/// What a coordinator tells every member alike.
fn header(shared: &Shared, lease: LeasePulse, address: SocketAddr, daemons: u32) -> Direction {
    let configuration = shared.configuration();
    let store_silence = millis(shared.store_silence());
    Direction {
        term: lease.term,
        lease,
        address,
        daemons,
        configuration_version: configuration.map_or(0, |known| known.version),
        membership_revision: shared.tables().membership_revision,
        store_silence_ms: u32::try_from(store_silence).unwrap_or(u32::MAX),
        members: None,
        holdings_after: 0,
        holdings_version: 0,
        holdings: Vec::new(),
        outlooks: Vec::new(),
        loads: None,
    }
}

fn operation_name(operation: Operation) -> &'static str {
    match operation {
        Operation::Load => "load",
        Operation::Unload => "unload",
    }
}

fn changed(result: Result<Changed, StoreError>) -> LeaseAnswer {
    match result {
        Ok(Changed::Made(lease)) => LeaseAnswer::Written(lease),
        Ok(Changed::Conflict(Some(lease))) => LeaseAnswer::Found(lease),
        Ok(Changed::Conflict(None)) => LeaseAnswer::Missing,
        Err(_) => LeaseAnswer::Unknown,
    }
}
