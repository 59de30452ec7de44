//! The limit on open connections.

use std::time::Duration;

use flaxward_client_limits::{ConnectionSlot, ConnectionTable};
use tokio::time::{Instant, advance};

const LIMIT: usize = 4;

/// Fills a table with connections that came one second after another.
async fn full_table() -> (ConnectionTable, Vec<ConnectionSlot>) {
    let table = ConnectionTable::new(LIMIT);
    let mut slots = Vec::new();
    for _ in 0..LIMIT {
        slots.push(table.admit().await.unwrap());
        advance(Duration::from_secs(1)).await;
    }
    (table, slots)
}

// Guards against: a legal client is cut off though there is room.
#[tokio::test(start_paused = true)]
async fn below_the_limit_nobody_is_given_up() {
    let (table, slots) = full_table().await;
    advance(Duration::from_secs(3_600)).await;
    assert_eq!(table.open(), LIMIT);
    assert!(slots.iter().all(|slot| !slot.activity().is_given_up()));
}

// Guards against: silent connections keep all others out.
#[tokio::test(start_paused = true)]
async fn at_the_limit_the_client_that_stalled_the_longest_is_given_up() {
    let (table, mut slots) = full_table().await;
    slots[0].activity().await_daemon();
    slots[1].activity().await_client(Instant::now());
    let admitting = tokio::spawn({
        let table = table.clone();
        async move { table.admit().await }
    });
    slots[2].activity().given_up().await;
    let is_given_up: Vec<bool> = slots
        .iter()
        .map(|slot| slot.activity().is_given_up())
        .collect();
    assert_eq!(is_given_up, [false, false, true, false]);
    assert!(!admitting.is_finished());
    drop(slots.remove(2));
    assert!(admitting.await.unwrap().is_some());
}

// Guards against: more connections are open than allowed while those that were given up on are being closed.
#[tokio::test(start_paused = true)]
async fn there_are_never_more_connections_than_the_limit() {
    let table = ConnectionTable::new(LIMIT);
    for _ in 0..100 {
        let slot = table.admit().await.unwrap();
        assert!(table.open() <= LIMIT);
        tokio::spawn(async move { slot.activity().given_up().await });
    }
}

// Guards against: a request in progress is cut off for a new connection.
#[tokio::test(start_paused = true)]
async fn clients_that_wait_for_the_daemon_are_not_given_up() {
    let (table, slots) = full_table().await;
    for slot in &slots {
        slot.activity().await_daemon();
    }
    assert!(table.admit().await.is_none());
    assert!(slots.iter().all(|slot| !slot.activity().is_given_up()));
}
