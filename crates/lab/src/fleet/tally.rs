//! What daemons spend: messages, calls, bytes and processor time, by role and by purpose.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_wire::Message;
use serde::Serialize;

use super::network::WireBytes;

/// What a daemon is besides a member, an observer and a gateway, which all are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Nothing else.
    Member,
    /// The daemon that reads the platform's lists and takes over if the coordinator goes.
    StandBy,
    /// The coordinator of its zone.
    Coordinator,
}

/// All roles.
pub const ROLES: [Role; 3] = [Role::Member, Role::StandBy, Role::Coordinator];

/// What something was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Ticks of the state machine.
    Ticks,
    /// Members, coordinators of zones and marks (role of a member).
    Membership,
    /// Changes of configuration, from the store and between daemons (role of a member).
    Configuration,
    /// Demands and their answers (role of a gateway).
    Demand,
    /// Loads of runners: reads and reports (role of an observer).
    Observation,
    /// The machine list: reads and what is passed on.
    Machines,
    /// Lease, slots and quotas in the store (role of a coordinator).
    Records,
    /// Orders to engines and reads of their inventories (role of a coordinator).
    Orders,
}

/// All purposes.
pub const PURPOSES: [Purpose; 8] = [
    Purpose::Ticks,
    Purpose::Membership,
    Purpose::Configuration,
    Purpose::Demand,
    Purpose::Observation,
    Purpose::Machines,
    Purpose::Records,
    Purpose::Orders,
];

/// Whom a daemon exchanges bytes with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// Other daemons.
    Daemons,
    /// The object API.
    Store,
    /// The machine list.
    MachineList,
    /// Engines.
    Engines,
}

/// All sides.
pub const SIDES: [Side; 4] = [Side::Daemons, Side::Store, Side::MachineList, Side::Engines];

/// Purpose of a message between daemons.
pub fn purpose_of(message: &Message) -> Purpose {
    match message {
        Message::Probe { .. }
        | Message::ProbeFor { .. }
        | Message::Alive { .. }
        | Message::Join
        | Message::Members { .. }
        | Message::Facts
        | Message::ViewWanted { .. }
        | Message::ViewRows { .. } => Purpose::Membership,
        Message::Configuration(_) | Message::ConfigurationWanted { .. } | Message::Snapshot(_) => {
            Purpose::Configuration
        }
        Message::Demands(_) | Message::Routes(_) | Message::RoutesHeld(_) => Purpose::Demand,
        Message::Reports(_) => Purpose::Observation,
        Message::Machines(_) => Purpose::Machines,
    }
}

/// Sums of one kind of exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Exchange {
    /// Messages sent, or calls made.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes sent, headers of IP and of the transport included.
    pub bytes_sent: u64,
    /// Bytes received, headers included.
    pub bytes_received: u64,
}

impl Exchange {
    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_sent + self.bytes_received
    }

    fn add_bytes(&mut self, bytes: WireBytes) {
        self.bytes_sent += bytes.sent;
        self.bytes_received += bytes.received;
    }

    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.received += other.received;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
    }
}

/// Everything one daemon has spent while it was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spending {
    /// Exchanges by purpose and side.
    pub exchanges: BTreeMap<(Purpose, Side), Exchange>,
    /// Processor time by purpose, not corrected for interruptions.
    pub time: BTreeMap<Purpose, Duration>,
    /// Processor time of admission, which is no part of control.
    pub admission: Duration,
    /// Milliseconds during which it was counted.
    pub alive: u64,
}

impl Spending {
    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.exchanges.values().map(Exchange::bytes).sum()
    }

    /// Processor time.
    pub fn total_time(&self) -> Duration {
        self.time.values().sum()
    }

    /// Exchanges with one side.
    pub fn with(&self, side: Side) -> Exchange {
        let mut sum = Exchange::default();
        let all = self.exchanges.iter();
        all.filter(|((_, other), _)| *other == side)
            .for_each(|(_, exchange)| sum.add(exchange));
        sum
    }

    /// Exchanges for one purpose.
    pub fn on(&self, purpose: Purpose) -> Exchange {
        let mut sum = Exchange::default();
        let all = self.exchanges.iter();
        all.filter(|((other, _), _)| *other == purpose)
            .for_each(|(_, exchange)| sum.add(exchange));
        sum
    }

    /// Adds what another daemon has spent.
    pub fn add(&mut self, other: &Self) {
        for (key, exchange) in &other.exchanges {
            self.exchanges.entry(*key).or_default().add(exchange);
        }
        for (purpose, time) in &other.time {
            *self.time.entry(*purpose).or_default() += *time;
        }
        self.admission += other.admission;
        self.alive += other.alive;
    }

    /// Counts a message sent to another daemon.
    pub fn sent(&mut self, purpose: Purpose, bytes: WireBytes) {
        let exchange = self.exchange(purpose, Side::Daemons);
        exchange.sent += 1;
        exchange.add_bytes(bytes);
    }

    /// Counts a message received from another daemon.
    pub fn received(&mut self, purpose: Purpose, bytes: WireBytes) {
        let exchange = self.exchange(purpose, Side::Daemons);
        exchange.received += 1;
        exchange.add_bytes(bytes);
    }

    /// Counts a call to the platform or to an engine.
    pub fn called(&mut self, purpose: Purpose, side: Side, bytes: WireBytes) {
        let exchange = self.exchange(purpose, side);
        exchange.sent += 1;
        exchange.add_bytes(bytes);
    }

    /// Counts bytes that came without a call, such as a line of a watch.
    pub fn pushed(&mut self, purpose: Purpose, side: Side, bytes: WireBytes) {
        let exchange = self.exchange(purpose, side);
        exchange.received += 1;
        exchange.add_bytes(bytes);
    }

    /// Counts processor time.
    pub fn worked(&mut self, purpose: Purpose, time: Duration) {
        *self.time.entry(purpose).or_default() += time;
    }

    fn exchange(&mut self, purpose: Purpose, side: Side) -> &mut Exchange {
        self.exchanges.entry((purpose, side)).or_default()
    }
}
