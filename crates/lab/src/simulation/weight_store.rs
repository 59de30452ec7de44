//! The weight store: starts are limited a second, and too many loads at once slow each other down.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::Timestamp;

use crate::scenario::WeightStoreSpec;

/// Bytes left below which a transfer is done; covers rounding to milliseconds.
const DONE_BELOW: f64 = 1.0;
/// Starts closer together than this many times the least distance count as held back.
const CROWDED: f64 = 1.25;

/// One transfer, by its number.
pub type TransferId = u64;

/// The transfers in progress.
#[derive(Clone, Debug)]
pub struct WeightStore {
    spec: WeightStoreSpec,
    left: BTreeMap<TransferId, f64>,
    advanced: Timestamp,
    next_start: Timestamp,
    last_start: Option<Timestamp>,
    slow_factor: f64,
    limited_millis: u64,
}

impl WeightStore {
    /// An idle one.
    pub fn new(spec: WeightStoreSpec) -> Self {
        Self {
            spec,
            left: BTreeMap::new(),
            advanced: Timestamp::ZERO,
            next_start: Timestamp::ZERO,
            last_start: None,
            slow_factor: 1.0,
            limited_millis: 0,
        }
    }

    /// When a transfer asked for now may start.
    pub fn reserve_start(&mut self, now: Timestamp) -> Timestamp {
        let between = Duration::from_secs_f64(1.0 / self.spec.starts_per_second);
        let start = self.next_start.max(now);
        let crowded = self
            .last_start
            .is_some_and(|last| start.since(last) < between.mul_f64(CROWDED));
        self.limited_millis += u64::from(crowded);
        self.last_start = Some(start);
        self.next_start = start + between;
        start
    }

    /// Starts a transfer.
    #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
    pub fn begin(&mut self, transfer: TransferId, bytes: u64, now: Timestamp) {
        self.advance(now);
        self.left.insert(transfer, bytes as f64);
    }

    /// Stops a transfer.
    pub fn cancel(&mut self, transfer: TransferId, now: Timestamp) {
        self.advance(now);
        self.left.remove(&transfer);
    }

    /// Sets how many times slower all transfers are.
    pub fn set_slow_factor(&mut self, factor: f64, now: Timestamp) {
        self.advance(now);
        self.slow_factor = factor;
    }

    /// Takes out the transfers that are done.
    pub fn take_done(&mut self, now: Timestamp) -> Vec<TransferId> {
        self.advance(now);
        let done: Vec<TransferId> = self
            .left
            .iter()
            .filter(|(_, left)| **left < DONE_BELOW)
            .map(|(transfer, _)| *transfer)
            .collect();
        for transfer in &done {
            self.left.remove(transfer);
        }
        done
    }

    /// When the next transfer is done if nothing changes.
    pub fn next_done(&self) -> Option<Timestamp> {
        let least = self.left.values().copied().min_by(f64::total_cmp)?;
        let millis = (least / self.bytes_per_milli()).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
        let millis = millis.max(0.0) as u64;
        Some(self.advanced + Duration::from_millis(millis))
    }

    /// Milliseconds so far in which the store held somebody back: all parallel loads taken, starts
    /// crowded, or slowed down by a fault.
    pub fn limited_millis(&mut self, now: Timestamp) -> u64 {
        self.advance(now);
        self.limited_millis
    }

    #[allow(clippy::cast_precision_loss)] // speeds stay far below 2^52
    fn bytes_per_milli(&self) -> f64 {
        let full = self.spec.speed.as_u64() as f64 / 1_000.0 / self.slow_factor;
        let active = self.left.len() as f64;
        let parallel = f64::from(self.spec.parallel);
        full * (parallel / active.max(parallel))
    }

    #[allow(clippy::cast_precision_loss)] // durations stay far below 2^52 ms
    fn advance(&mut self, now: Timestamp) {
        let millis = now.0.saturating_sub(self.advanced.0);
        let moved = self.bytes_per_milli() * millis as f64;
        for left in self.left.values_mut() {
            *left -= moved;
        }
        let all_taken = self.left.len() >= self.spec.parallel as usize;
        if all_taken || self.slow_factor > 1.0 {
            self.limited_millis += millis;
        }
        self.advanced = self.advanced.max(now);
    }
}
