//! Random schedules of work, faults and changes.

use std::time::Duration;

use flaxward_simulation::happening::OperatorChange;
use flaxward_simulation::{Happening, Schedule};
use proptest::collection::vec;
use proptest::prelude::*;

/// Time during which faults begin.
pub const FAULTY: Duration = Duration::from_secs(40);
/// Time during which a region without faults is given work and changed.
pub const CALM: Duration = Duration::from_secs(30);
/// Longest time from a look at the configuration to the change of the first of two operators; the
/// second thinks twice as long.
pub const THINKING: Duration = Duration::from_secs(2);

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn lasting() -> impl Strategy<Value = Duration> {
    millis(200..12_000)
}

fn work() -> impl Strategy<Value = Happening> {
    let burst = (
        any::<u8>(),
        1..5u8,
        1..40u8,
        any::<bool>(),
        millis(500..40_000),
    );
    let order = (
        any::<u8>(),
        any::<bool>(),
        0..4u8,
        millis(0..6_000),
        any::<bool>(),
    );
    prop_oneof![
        2 => burst.prop_map(|(artifact, requests, tokens, stream, deadline)| Happening::Burst {
            artifact,
            requests,
            tokens,
            stream,
            deadline,
        }),
        1 => order.prop_map(|(daemon, to_model, repeats, pause, has_key)| Happening::Order {
            daemon,
            to_model,
            repeats,
            pause,
            has_key,
        }),
    ]
}

fn change() -> impl Strategy<Value = Happening> {
    let change = prop_oneof![
        (any::<u8>(), any::<u8>())
            .prop_map(|(model, at_most)| OperatorChange::AtMost { model, at_most }),
        any::<bool>().prop_map(|second| OperatorChange::Serve { second }),
        any::<u8>().prop_map(|machine| OperatorChange::Drain { machine }),
    ];
    (change, millis(0..THINKING.as_millis() as u64))
        .prop_map(|(change, thinking)| Happening::Operators { change, thinking })
}

fn stop() -> impl Strategy<Value = Happening> {
    (any::<u8>(), lasting()).prop_map(|(daemon, down)| Happening::Stop { daemon, down })
}

fn daemon_fault() -> impl Strategy<Value = Happening> {
    prop_oneof![
        2 => (any::<u8>(), lasting()).prop_map(|(daemon, down)| Happening::Kill { daemon, down }),
        3 => (any::<u8>(), lasting())
            .prop_map(|(daemon, duration)| Happening::Pause { daemon, duration }),
        1 => stop(),
    ]
}

fn network_fault() -> impl Strategy<Value = Happening> {
    let weather = (0..50u8, 0..30u8, millis(0..400), lasting());
    prop_oneof![
        (any::<u8>(), any::<u8>(), lasting()).prop_map(|(first, second, duration)| {
            Happening::CutZones {
                first,
                second,
                duration,
            }
        }),
        (any::<u8>(), lasting())
            .prop_map(|(zone, duration)| Happening::CutPlatform { zone, duration }),
        weather.prop_map(|(loss, doubling, delay, duration)| Happening::Weather {
            loss,
            doubling,
            delay,
            duration,
        }),
    ]
}

fn platform_fault() -> impl Strategy<Value = Happening> {
    prop_oneof![
        lasting().prop_map(|duration| Happening::StoreDown { duration }),
        (millis(0..4_000), lasting())
            .prop_map(|(delay, duration)| Happening::StoreSlow { delay, duration }),
        (10..90u8, lasting())
            .prop_map(|(percent, duration)| Happening::StoreLoses { percent, duration }),
        lasting().prop_map(|duration| Happening::MachineListDown { duration }),
        (2..10u8, lasting())
            .prop_map(|(factor, duration)| Happening::WeightStoreSlow { factor, duration }),
    ]
}

fn back_end_fault() -> impl Strategy<Value = Happening> {
    let reclaim = (any::<u8>(), millis(0..15_000), any::<bool>(), any::<bool>());
    prop_oneof![
        2 => (5..60u8, lasting())
            .prop_map(|(percent, duration)| Happening::BackEndsLose { percent, duration }),
        1 => (any::<u8>(), 0..3u8, 0..2u8).prop_map(|(engine, failing, stuck)| {
            Happening::FailLoads {
                engine,
                failing,
                stuck,
            }
        }),
        1 => (any::<u8>(), lasting())
            .prop_map(|(engine, duration)| Happening::CutEngine { engine, duration }),
        2 => (any::<u8>(), any::<bool>(), lasting())
            .prop_map(|(engine, hung, duration)| Happening::Unwell {
                engine,
                hung,
                duration,
            }),
        2 => (any::<u8>(), lasting())
            .prop_map(|(machine, down)| Happening::Restart { machine, down }),
        2 => reclaim.prop_map(|(machine, notice, is_listed, is_told)| Happening::Reclaim {
            machine,
            notice,
            is_listed,
            is_told,
        }),
    ]
}

/// Work and changes while everything fails.
pub fn faulty() -> impl Strategy<Value = Schedule> {
    let happening = prop_oneof![
        8 => work(),
        2 => change(),
        3 => daemon_fault(),
        2 => network_fault(),
        3 => platform_fault(),
        3 => back_end_fault(),
    ];
    vec((millis(0..FAULTY.as_millis() as u64), happening), 10..60)
}

/// Work, changes and planned stops while nothing fails.
pub fn calm() -> impl Strategy<Value = Schedule> {
    let happening = prop_oneof![4 => work(), 2 => change(), 1 => stop()];
    vec((millis(0..CALM.as_millis() as u64), happening), 3..15)
}
