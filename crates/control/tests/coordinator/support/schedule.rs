//! Random schedules of demand and faults.

use proptest::collection::vec;
use proptest::prelude::*;

/// A fault or a demand. Numbers are indices into the existing items, modulo their count.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A gateway demands an artifact for some time.
    Demand {
        gateway: u8,
        artifact: u8,
        millis: u64,
    },
    /// The store is unavailable to all daemons.
    StoreDown { millis: u64 },
    /// One daemon cannot reach the store.
    CutFromStore { daemon: u8, millis: u64 },
    /// One daemon is stalled.
    Pause { daemon: u8, millis: u64 },
    /// One daemon crashes and restarts without state.
    Kill { daemon: u8 },
    /// One daemon is stopped gracefully and restarts without state.
    Stop { daemon: u8 },
    /// Messages are lost or delayed, at this rate in percent.
    Lossy { percent: u8, millis: u64 },
    /// A runner is unreachable.
    CutRunner { runner: u8, millis: u64 },
    /// The engine crashes and restarts.
    Reboot { runner: u8 },
    /// The machine is reclaimed without notice and replaced by another one.
    Reclaim { runner: u8 },
    /// The machine announces that it is leaving, and is reclaimed later.
    Leave { runner: u8, millis: u64 },
    /// The next loads on a runner fail.
    FailLoads { runner: u8, count: u8 },
    /// Both daemons of a zone consider themselves rank 0.
    BothRankZero { zone: u8, millis: u64 },
    /// The configuration changes: the serving version of `four`, and the copies of `two`.
    Rules { second: bool, copies: u8 },
}

/// Faults with their start times in milliseconds.
pub type Schedule = Vec<(u64, Fault)>;

/// Period during which faults start.
pub const FAULT_PHASE_MILLIS: u64 = 40_000;

fn fault() -> impl Strategy<Value = Fault> {
    let millis = 200..12_000u64;
    let any8 = any::<u8>;
    prop_oneof![
        8 => (any8(), any8(), millis.clone())
            .prop_map(|(gateway, artifact, millis)| Fault::Demand { gateway, artifact, millis }),
        1 => millis.clone().prop_map(|millis| Fault::StoreDown { millis }),
        1 => (any8(), millis.clone())
            .prop_map(|(daemon, millis)| Fault::CutFromStore { daemon, millis }),
        2 => (any8(), millis.clone()).prop_map(|(daemon, millis)| Fault::Pause { daemon, millis }),
        1 => any8().prop_map(|daemon| Fault::Kill { daemon }),
        1 => any8().prop_map(|daemon| Fault::Stop { daemon }),
        2 => (10..60u8, millis.clone())
            .prop_map(|(percent, millis)| Fault::Lossy { percent, millis }),
        1 => (any8(), millis.clone())
            .prop_map(|(runner, millis)| Fault::CutRunner { runner, millis }),
        1 => any8().prop_map(|runner| Fault::Reboot { runner }),
        1 => any8().prop_map(|runner| Fault::Reclaim { runner }),
        1 => (any8(), millis.clone()).prop_map(|(runner, millis)| Fault::Leave { runner, millis }),
        1 => (any8(), 1..3u8).prop_map(|(runner, count)| Fault::FailLoads { runner, count }),
        1 => (any8(), millis).prop_map(|(zone, millis)| Fault::BothRankZero { zone, millis }),
        1 => (any::<bool>(), 1..=2u8)
            .prop_map(|(second, copies)| Fault::Rules { second, copies }),
    ]
}

/// Strategy for random schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    vec((0..FAULT_PHASE_MILLIS, fault()), 10..60)
}
