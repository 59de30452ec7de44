//! A coordinator with hundreds of members and thousands of runners, after a restart of all daemons and after a
//! takeover: measures the bytes sent and the time until the members know the locations of models. Time is virtual;
//! links have a limited bandwidth, and drop messages that do not fit into their queue.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Service,
};
use flaxward_routing::dissemination::Dissemination;
use flaxward_routing::encoding::Encoding;
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::membership::{MembershipUpdate, UpdateScope};
use flaxward_routing::messages::{
    Direction, HoldingsSummary, KnownState, Message, StoreState, Usage,
};
use flaxward_routing::names::{AdapterName, ModelName, RunnerId, ServiceName, Unit, Zone};
use flaxward_routing::placement::{Action, Placement, PlacementSettings, RunnerReport};
use flaxward_routing::quota::QuotaNews;
use flaxward_routing::runners::{Holdings, Runner, RunnerTable};
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

const STEP: Duration = Duration::from_millis(25);
const USAGE: Duration = Duration::from_secs(1);
/// Link speeds of weak machines and of the coordinator's machine, in Mbit/s.
const WEAK_LINK: u32 = 10;
const STRONG_LINK: u32 = 200;
/// Maximum number of bytes queued for a link.
const QUEUE_BYTES: f64 = 256_000.0;
/// Size of the headers of a datagram, in bytes.
const DATAGRAM_BYTES: usize = 28;
/// Size of a runner entry in the store's list, in bytes.
const ENTRY_BYTES: usize = 700;
/// Bandwidth of the store, in bytes per second.
const STORE_BYTES_PER_SECOND: f64 = 125_000_000.0;
const MODELS: usize = 500;
const MODELS_HELD: usize = 3;
/// Number of popular models, which get nine of ten requests.
const POPULAR_MODELS: usize = 18;
/// One in this many runners has other holdings than the list states.
const STALE_ENTRIES: usize = 50;
/// One in this many members is observed; the tables of all members would not fit into memory.
const OBSERVED: usize = 30;
/// Number of pages of the list.
const PAGES: u32 = 6;
/// Revision of the store's list.
const REVISION: u64 = 10_000;

fn model(index: usize) -> ModelName {
    ModelName::new(&format!("m{}", index % MODELS))
}

fn id(index: usize) -> RunnerId {
    RunnerId::new(&format!("i-{index:010x}"))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + index).unwrap()))
}

/// Scrambles numbers, so that models are spread evenly over the pages of the list.
fn scrambled(number: usize) -> usize {
    (number.wrapping_mul(2_654_435_761) >> 12) % 10_007
}

/// Holdings according to the list: half of the runners hold popular models, the others rare ones.
fn holdings(index: usize, shift: usize) -> Holdings {
    let held = |place: usize| {
        let number = scrambled(index / 2) + place * 5 + shift;
        if index.is_multiple_of(2) {
            model(number % POPULAR_MODELS)
        } else {
            model(POPULAR_MODELS + number % (MODELS - POPULAR_MODELS))
        }
    };
    let adapters = BTreeSet::from([AdapterName::new("a1")]);
    (0..MODELS_HELD)
        .map(|place| (held(place), adapters.clone()))
        .collect()
}

/// Actual holdings of a runner.
fn actual_holdings(index: usize) -> Holdings {
    holdings(index, usize::from(index.is_multiple_of(STALE_ENTRIES)))
}

fn runner(index: usize) -> Runner {
    Runner {
        id: id(index),
        revision: u64::try_from(index).unwrap() + 1,
        service: ServiceName::new("pool"),
        software_version: None,
        address: address(index),
        zone: Zone::new(&format!("zone-{}", index % 3)),
        slots: 24,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: holdings(index, 0),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn configuration() -> Configuration {
    let specification = ModelSpecification {
        weights_mb: 70_000.0,
        adapter_mb: 66.0,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(640),
        memory_load: Duration::from_millis(470),
    };
    let engine = Engine {
        slots: 24,
        weights_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_second: 42.0,
        models: (0..MODELS)
            .map(|index| (model(index), specification.clone()))
            .collect(),
    };
    let service = Service {
        name: ServiceName::new("pool"),
        max_connections: 700,
        engine: Some(engine),
        cold_start: None,
    };
    Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service])
}

/// A link with limited bandwidth and a bounded queue.
struct Link {
    bytes_per_second: f64,
    free_at: f64,
}

impl Link {
    fn new(megabits: u32) -> Self {
        Self {
            bytes_per_second: f64::from(megabits) * 125_000.0,
            free_at: 0.0,
        }
    }

    /// Time at which bytes sent at `at` have been transmitted, in seconds; `None` if they are dropped.
    fn carry(&mut self, bytes: usize, at: f64) -> Option<f64> {
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        let begin = self.free_at.max(at);
        if (begin - at) * self.bytes_per_second + bytes > QUEUE_BYTES {
            return None;
        }
        self.free_at = begin + bytes / self.bytes_per_second;
        Some(self.free_at)
    }
}

/// A member. Only observed members have a table.
struct Member {
    table: Option<RunnerTable>,
    /// Times at which the first page and the last page of the list arrive.
    reads_page_at: Option<Timestamp>,
    reads_list_at: Option<Timestamp>,
    revision: u64,
    partial: Option<u64>,
    version: u64,
    has_summary: bool,
    has_gap: bool,
    link: Link,
    received: usize,
}

impl Member {
    fn new(is_observed: bool, reads_page_at: Timestamp, reads_list_at: Timestamp) -> Self {
        Self {
            table: is_observed.then(RunnerTable::default),
            reads_page_at: Some(reads_page_at),
            reads_list_at: Some(reads_list_at),
            revision: 0,
            partial: None,
            version: 0,
            has_summary: false,
            has_gap: false,
            link: Link::new(WEAK_LINK),
            received: 0,
        }
    }

    /// The store sends pages in the order of names, which are spread evenly over the runners.
    fn read_page(&mut self, runners: usize) {
        self.reads_page_at = None;
        if let Some(table) = &mut self.table {
            for index in 0..runners / PAGES as usize {
                let index = index * PAGES as usize + index % PAGES as usize;
                table.insert(runner(index), u64::try_from(index).unwrap());
            }
        }
    }

    fn read_list(&mut self, runners: usize) {
        self.reads_list_at = None;
        self.revision = self.revision.max(REVISION);
        if let Some(table) = &mut self.table {
            table.replace((0..runners).map(runner).collect(), REVISION);
        }
    }

    fn take_membership(&mut self, update: &MembershipUpdate) -> bool {
        match update.scope {
            UpdateScope::Changes if self.revision < update.after => return false,
            UpdateScope::Changes => self.revision = self.revision.max(update.until),
            UpdateScope::Whole { is_last } => {
                let follows = update.after == 0 || self.partial == Some(update.after);
                self.partial = follows.then_some(update.until);
                if follows && is_last {
                    self.revision = self.revision.max(update.until);
                }
                return follows;
            }
        }
        true
    }

    fn take(&mut self, direction: Direction, now: Timestamp) {
        if let Some(update) = direction.membership {
            self.has_gap |= !self.take_membership(&update);
            if let Some(table) = &mut self.table {
                table.update(update);
            }
        }
        if let Some(table) = &mut self.table {
            table.confirm_holdings(now);
        }
        if self.version < direction.holdings_after {
            self.has_gap = true;
            return;
        }
        if let Some(table) = &mut self.table {
            for holdings in direction.holdings {
                table.record_holdings(holdings, now);
            }
        }
        self.version = self.version.max(direction.holdings_version);
    }
}

/// Bytes sent by the coordinator.
#[derive(Debug, Default)]
struct Sent {
    total: usize,
    by_kind: BTreeMap<&'static str, usize>,
}

impl Sent {
    fn note(&mut self, direction: &Direction, bytes: usize) {
        let kind = if !direction.holdings.is_empty() {
            "holdings"
        } else if direction
            .membership
            .as_ref()
            .is_some_and(|it| !it.changes.is_empty())
        {
            "membership"
        } else {
            "heartbeat"
        };
        self.total += bytes;
        *self.by_kind.entry(kind).or_default() += bytes;
    }
}

/// A message in transit to a member.
struct InFlight {
    at: Timestamp,
    member: usize,
    direction: Direction,
}

struct World {
    now: Timestamp,
    began: Timestamp,
    term: u64,
    runners: usize,
    table: RunnerTable,
    placement: Placement,
    dissemination: Dissemination,
    digest: u64,
    members: Vec<Member>,
    link: Link,
    in_flight: Vec<InFlight>,
    asked: Vec<RunnerId>,
    index_of: HashMap<RunnerId, usize>,
    reports: usize,
    sent: Sent,
}

impl World {
    /// All daemons have just started and are reading the store's list; the coordinator has already read it.
    fn restarted(members: usize, runners: usize) -> Self {
        let now = Timestamp(10_000);
        let mut table = RunnerTable::default();
        table.replace((0..runners).map(runner).collect(), REVISION);
        let list = seconds_for(runners * ENTRY_BYTES, f64::from(WEAK_LINK) * 125_000.0);
        let page = list / f64::from(PAGES);
        let all_lists = seconds_for(members * runners * ENTRY_BYTES, STORE_BYTES_PER_SECOND);
        let member = |index: usize| {
            // The store sends all lists concurrently, so they complete at nearly the same time.
            let list_at = now + Duration::from_secs_f64(list.max(all_lists));
            let page_at = now + Duration::from_secs_f64(page.max(all_lists / f64::from(PAGES)));
            Member::new(index.is_multiple_of(OBSERVED), page_at, list_at)
        };
        Self {
            now,
            began: now,
            term: 1,
            runners,
            digest: table.digest(),
            placement: placement(&table, now),
            dissemination: Dissemination::new(1, STRONG_LINK, now),
            table,
            members: (0..members).map(member).collect(),
            link: Link::new(STRONG_LINK),
            in_flight: Vec::new(),
            asked: Vec::new(),
            index_of: (0..runners).map(|index| (id(index), index)).collect(),
            reports: 0,
            sent: Sent::default(),
        }
    }

    /// Another daemon, which received the same messages as the members, becomes coordinator.
    fn take_over(&mut self) {
        for index in 0..self.runners {
            let told = self.placement.announced().find(|it| it.runner == id(index));
            if let Some(told) = told {
                self.table.record_holdings(told, self.now);
            }
        }
        self.term += 1;
        self.began = self.now;
        self.sent = Sent::default();
        self.placement = placement(&self.table, self.now);
        self.dissemination = Dissemination::new(self.term, STRONG_LINK, self.now);
        for member in &mut self.members {
            member.version = 0;
            member.has_summary = false;
            member.received = 0;
        }
        self.in_flight.clear();
        self.asked.clear();
    }

    fn seconds(&self) -> f64 {
        self.now.since(Timestamp::ZERO).as_secs_f64()
    }

    fn usage(&self, index: usize) -> Usage {
        let member = &self.members[index];
        Usage {
            from: format!("d{index:03}"),
            address: address(index),
            zone: Zone::new(&format!("zone-{}", index % 3)),
            strength: MachineStrength::default(),
            is_stopping: false,
            known: KnownState {
                lacks_software_versions: false,
                term: self.term,
                holdings_version: member.version,
                members: 0,
                runners_revision: member.revision,
                runners_digest: if member.revision == 0 { 0 } else { self.digest },
            },
            waiting: Vec::new(),
            used: Vec::new(),
            running: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.members.len() {
            let due = self.members[index].reads_page_at;
            if due.is_some_and(|at| self.now >= at) {
                self.members[index].read_page(self.runners);
            }
            let due = self.members[index].reads_list_at;
            if due.is_some_and(|at| self.now >= at) {
                self.members[index].read_list(self.runners);
            }
            self.receive_from(index);
        }
        self.plan();
        self.send();
        self.deliver();
    }

    fn receive_from(&mut self, index: usize) {
        let usage = self.usage(index);
        if std::mem::take(&mut self.members[index].has_gap) {
            self.dissemination.record_gap(&usage.from, usage.known);
        }
        let phase = u64::try_from(index).unwrap() * 25 % 1_000;
        let is_due = (self.now.0 + phase).is_multiple_of(u64::try_from(USAGE.as_millis()).unwrap());
        if is_due {
            self.send_summary(index);
            self.dissemination
                .record_known_state(&usage.from, usage.known, self.now);
            self.placement.update_usage(usage, self.now);
        }
    }

    /// Sends the digests of a member to a new coordinator. An unobserved member uses those of the first observed one.
    fn send_summary(&mut self, index: usize) {
        let member = &self.members[index];
        if member.has_summary || member.revision == 0 {
            return;
        }
        let observed = self.members[0]
            .table
            .as_ref()
            .expect("the first member is observed");
        let table = member.table.as_ref().unwrap_or(observed);
        let summary = HoldingsSummary {
            from: format!("d{index:03}"),
            term: self.term,
            digests: table.holdings_digests(),
        };
        self.members[index].has_summary = true;
        self.dissemination.record_summary(summary, self.now);
    }

    fn plan(&mut self) {
        for runner in std::mem::take(&mut self.asked) {
            let report = RunnerReport {
                holdings: actual_holdings(self.index_of[&runner]),
                order_count: 1,
                ..RunnerReport::default()
            };
            self.placement
                .apply_report(&runner, Some(report), self.now, self.now);
        }
        for action in self.placement.plan(self.now) {
            if let Action::Report { runner, .. } = action {
                self.reports += 1;
                self.asked.push(runner);
            }
        }
    }

    fn send(&mut self) {
        let header = header(self.term, &self.table);
        let messages = self
            .dissemination
            .messages(&self.placement, &self.table, &header, self.now);
        let at = self.seconds();
        for outgoing in messages {
            let member: usize = outgoing.member[1..].parse().unwrap();
            let message = Message::Direction(Box::new(outgoing.direction));
            let bytes = Encoding::default().encode(&message).len() + DATAGRAM_BYTES;
            let Message::Direction(direction) = message else {
                unreachable!("the message is a direction")
            };
            self.sent.note(&direction, bytes);
            let Some(left) = self.link.carry(bytes, at) else {
                continue;
            };
            let receiver = &mut self.members[member];
            receiver.received += bytes;
            let Some(arrives_at) = receiver.link.carry(bytes, left) else {
                continue;
            };
            self.in_flight.push(InFlight {
                at: Timestamp::ZERO + Duration::from_secs_f64(arrives_at),
                member,
                direction: *direction,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (come, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it: &InFlight| it.at <= now);
        self.in_flight = in_flight;
        let come: Vec<InFlight> = come;
        for arrival in come {
            self.members[arrival.member].take(arrival.direction, now);
        }
    }

    /// Share of first attempts of observed members that reach a runner which holds the requested model.
    fn hit_ratio(&self) -> f64 {
        let observed: Vec<&RunnerTable> = self
            .members
            .iter()
            .filter_map(|it| it.table.as_ref())
            .collect();
        let mut found = 0.0;
        let mut attempts = 0.0;
        for (place, table) in observed.iter().enumerate() {
            for number in 0..10 {
                attempts += 1.0;
                let wanted = if number < 9 {
                    place + number
                } else {
                    POPULAR_MODELS + place * 31
                };
                found += if self.finds(table, &model(wanted), place * 7 + number) {
                    1.0
                } else {
                    0.0
                };
            }
        }
        found / attempts
    }

    /// Whether the chosen one of the runners believed to hold a model does hold it.
    fn finds(&self, table: &RunnerTable, model: &ModelName, choice: usize) -> bool {
        let unit = Unit {
            service: ServiceName::new("pool"),
            model: model.clone(),
            adapter: None,
        };
        let holders = table
            .iter()
            .filter(|runner| table.holds(runner, &unit, self.now));
        let holders: Vec<&Runner> = holders.collect();
        let chosen = holders.get(choice % holders.len().max(1));
        chosen.is_some_and(|runner| actual_holdings(self.index_of[&runner.id]).contains_key(model))
    }

    /// Runs for a time. Returns the time from which on at least nine in ten first attempts find a holder.
    fn run(&mut self, time: Duration) -> Option<Duration> {
        let end = self.now + time;
        let mut found_after = None;
        while self.now < end {
            self.step();
            let is_look = self.now.0.is_multiple_of(100);
            if is_look && self.hit_ratio() < 0.9 {
                found_after = None;
            } else if is_look && found_after.is_none() {
                found_after = Some(self.now.since(self.began));
            }
        }
        found_after
    }

    /// Median of the bytes sent to a member.
    fn median_received(&self) -> usize {
        let mut received: Vec<usize> = self.members.iter().map(|it| it.received).collect();
        received.sort_unstable();
        received[received.len() / 2]
    }
}

/// Transmission time of bytes at a rate, in seconds.
#[allow(clippy::cast_precision_loss)]
fn seconds_for(bytes: usize, bytes_per_second: f64) -> f64 {
    bytes as f64 / bytes_per_second
}

fn placement(table: &RunnerTable, now: Timestamp) -> Placement {
    let mut placement = Placement::new(PlacementSettings::default(), now, now);
    placement.configure(&configuration());
    placement.set_runners(table.iter());
    placement.assume_holdings(table);
    placement
}

fn header(term: u64, table: &RunnerTable) -> Direction {
    let lease = LeaseHeartbeat {
        term,
        renewals: 1,
        age_ms: 0,
    };
    let store = StoreState {
        configuration_version: 1,
        membership_revision: table.membership_revision(),
        silence_ms: 0,
        configuration_age_ms: 0,
    };
    let quota = QuotaNews {
        from: address(0),
        keepers: Vec::new(),
        daemons: 1,
        limits: Vec::new(),
    };
    Direction {
        daemons: 0,
        ..Direction::heartbeat(lease, address(0), store, quota)
    }
}

/// Maximum rate at which the coordinator may send, in bytes per second, averaged over the duration of a failure.
const MAX_BYTES_PER_SECOND: usize = 1_000_000;

#[test]
fn members_find_runners_as_soon_as_they_have_read_the_list_after_a_mass_restart() {
    let mut world = World::restarted(300, 3_000);
    let time = Duration::from_secs(8);
    let found = world.run(time);
    assert!(
        found.is_some_and(|it| it <= Duration::from_secs(5)),
        "found after {found:?}"
    );
    let most = MAX_BYTES_PER_SECOND * 8;
    assert!(world.sent.total <= most, "{:?}", world.sent);
    assert!(
        world.median_received() <= 40_000,
        "{} bytes to a member",
        world.median_received()
    );
}

#[test]
fn a_successor_sends_members_only_the_missing_state() {
    let mut world = World::restarted(300, 3_000);
    world.run(Duration::from_secs(10));
    world.take_over();
    let found = world.run(Duration::from_secs(5));
    assert!(
        found.is_some_and(|it| it <= Duration::from_secs(1)),
        "found after {found:?}"
    );
    let most = MAX_BYTES_PER_SECOND;
    assert!(world.sent.total <= most, "{:?}", world.sent);
}
