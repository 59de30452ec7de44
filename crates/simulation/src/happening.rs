//! What happens to a region from outside: work, faults, and the changes of operators.

use std::time::Duration;

/// Something that happens. Numbers choose among what there is, modulo its count.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// Callers ask every daemon for a model at once.
    Burst {
        /// The artifact.
        artifact: u8,
        /// Requests at each daemon.
        requests: u8,
        /// Tokens of each answer.
        tokens: u8,
        /// Whether the answers are streams.
        stream: bool,
        /// Time that each caller gives.
        deadline: Duration,
    },
    /// A caller sends a request that may not be repeated, and later again with the same key
    /// through other daemons.
    Order {
        /// The first daemon.
        daemon: u8,
        /// Whether a model answers it and not a service.
        to_model: bool,
        /// Repetitions.
        repeats: u8,
        /// Time between them.
        pause: Duration,
        /// Whether there is a key; without one it is never repeated.
        has_key: bool,
    },
    /// A daemon dies.
    Kill {
        /// Which one.
        daemon: u8,
        /// Time until it starts again.
        down: Duration,
    },
    /// A daemon does not run for a while.
    Pause {
        /// Which one.
        daemon: u8,
        /// How long.
        duration: Duration,
    },
    /// A daemon is stopped as planned.
    Stop {
        /// Which one.
        daemon: u8,
        /// Time until it starts again, at least.
        down: Duration,
    },
    /// Two zones are cut off from each other.
    CutZones {
        /// One.
        first: u8,
        /// The other.
        second: u8,
        /// How long.
        duration: Duration,
    },
    /// A zone is cut off from the object API and the machine list.
    CutPlatform {
        /// Which one.
        zone: u8,
        /// How long.
        duration: Duration,
    },
    /// Datagrams are lost, doubled and late.
    Weather {
        /// Percent lost.
        loss: u8,
        /// Percent doubled.
        doubling: u8,
        /// Extra delay at most.
        delay: Duration,
        /// How long.
        duration: Duration,
    },
    /// The object API is down.
    StoreDown {
        /// How long.
        duration: Duration,
    },
    /// The object API is slow.
    StoreSlow {
        /// Extra delay at most.
        delay: Duration,
        /// How long.
        duration: Duration,
    },
    /// The object API loses answers, mostly after the effect.
    StoreLoses {
        /// Percent of the answers.
        percent: u8,
        /// How long.
        duration: Duration,
    },
    /// The machine list is down.
    MachineListDown {
        /// How long.
        duration: Duration,
    },
    /// Engines and services lose answers after the effect.
    BackEndsLose {
        /// Percent of the answers.
        percent: u8,
        /// How long.
        duration: Duration,
    },
    /// The weight store is slow.
    WeightStoreSlow {
        /// How many times slower.
        factor: u8,
        /// How long.
        duration: Duration,
    },
    /// The next loads of an engine fail or never end.
    FailLoads {
        /// Which engine.
        engine: u8,
        /// Loads that fail.
        failing: u8,
        /// Loads after them that never end.
        stuck: u8,
    },
    /// Nobody reaches an engine.
    CutEngine {
        /// Which one.
        engine: u8,
        /// How long.
        duration: Duration,
    },
    /// An engine makes no tokens, or loses, doubles and swaps them.
    Unwell {
        /// Which one.
        engine: u8,
        /// Whether it makes none.
        hung: bool,
        /// How long.
        duration: Duration,
    },
    /// An engine or a service dies and starts again.
    Restart {
        /// Which one.
        machine: u8,
        /// How long it is down.
        down: Duration,
    },
    /// A machine is taken away after a notice; another one comes.
    Reclaim {
        /// Which one.
        machine: u8,
        /// Time from the notice on.
        notice: Duration,
        /// Whether the machine list shows the notice.
        is_listed: bool,
        /// Whether the engine tells the notice.
        is_told: bool,
    },
    /// Two operators change the same thing at once; one wins.
    Operators {
        /// What they change.
        change: OperatorChange,
        /// How long they think, after having read what they change.
        thinking: Duration,
    },
}

/// What operators change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorChange {
    /// Replicas of a model at most.
    AtMost {
        /// Which model.
        model: u8,
        /// How many, modulo four.
        at_most: u8,
    },
    /// The version of the fourth model that serves.
    Serve {
        /// Whether it is the second.
        second: bool,
    },
    /// A machine takes no new work, or takes it again.
    Drain {
        /// Which one.
        machine: u8,
    },
}

/// What happens when, from the time of planning on.
pub type Schedule = Vec<(Duration, Happening)>;
