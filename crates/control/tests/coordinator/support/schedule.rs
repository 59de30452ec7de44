//! Random schedules of demand and faults.

use proptest::collection::vec;
use proptest::prelude::*;

/// Something that happens to the world. Numbers choose among what there is, modulo its count.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A gateway wants an artifact for a while.
    Demand {
        gateway: u8,
        artifact: u8,
        millis: u64,
    },
    /// The store is down for all.
    StoreDown { millis: u64 },
    /// One daemon cannot reach the store.
    CutFromStore { daemon: u8, millis: u64 },
    /// One daemon does not run.
    Pause { daemon: u8, millis: u64 },
    /// One daemon dies and starts again with nothing.
    Kill { daemon: u8 },
    /// One daemon is stopped as planned and starts again with nothing.
    Stop { daemon: u8 },
    /// Messages are lost or late, at this rate in percent.
    Lossy { percent: u8, millis: u64 },
    /// Nobody reaches a runner.
    CutRunner { runner: u8, millis: u64 },
    /// The engine dies and starts again.
    Reboot { runner: u8 },
    /// The machine is taken away; another one comes.
    Reclaim { runner: u8 },
    /// The machine says that it is leaving, and is taken away later.
    Leave { runner: u8, millis: u64 },
    /// The next loads on a runner fail.
    FailLoads { runner: u8, count: u8 },
    /// Both daemons of a zone believe that they come first.
    BothFirst { zone: u8, millis: u64 },
    /// The rules change: which version of `four` serves, and the copies of `two`.
    Rules { second: bool, copies: u8 },
}

/// A schedule: what happens when, in milliseconds.
pub type Schedule = Vec<(u64, Fault)>;

/// Time during which faults begin.
pub const FAULTY_MILLIS: u64 = 40_000;

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
        1 => (any8(), millis).prop_map(|(zone, millis)| Fault::BothFirst { zone, millis }),
        1 => (any::<bool>(), 1..=2u8)
            .prop_map(|(second, copies)| Fault::Rules { second, copies }),
    ]
}

/// Random schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    vec((0..FAULTY_MILLIS, fault()), 10..60)
}
