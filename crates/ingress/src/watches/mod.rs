//! Reads configuration and runners from the store and keeps them up to date.
//!
//! The coordinator watches the store, and a standby while the coordinator does not tell of it. Any other daemon
//! reads the store when one of them has told of something new that it was not told itself, and watches it while
//! all of them are silent.

mod configuration;
mod evacuations;
mod runners;

use std::time::Duration;

use flaxward_routing::revision::StoreRevision;
use flaxward_routing::store_trust::WatchRole;
use flaxward_types::time::Timestamp;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::counters::STORE_CALLS_FAILED;
use crate::interfaces::{Freshness, StoreError};
use crate::state::Shared;
use crate::store_word::StoreWord;

pub(crate) use configuration::{apply_configuration, watch_configuration};
pub(crate) use evacuations::{take_evacuations, watch_evacuations};
pub(crate) use runners::{take_membership, watch_runners};

/// Longest time that the store holds a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same for those who watch for others.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time after a failed call in which the store is read whole again and again: it may be losing its
/// history, and a watch that is begun meanwhile may hear nothing.
const CAREFUL: Duration = Duration::from_millis(2_500);
/// Pause between these reads.
const CAREFUL_PAUSE: Duration = Duration::from_millis(700);
/// First pause after a failed call of those who watch for others.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The same of all others, whose calls are many.
const FIRST_MEMBER_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause after a failed call.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// Pauses between failed calls, longer each time and never alike at two daemons.
struct Backoff {
    next: Duration,
    /// Until then the store is read and not watched; see [`CAREFUL`].
    careful_until: Timestamp,
    what: &'static str,
    is_lost: bool,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Self {
            next: FIRST_BACKOFF,
            careful_until: Timestamp::ZERO,
            what,
            is_lost: false,
        }
    }

    async fn failed(&mut self, shared: &Shared, error: &StoreError) {
        self.log_failure(shared, error);
        if !shared.store_word.borrow().watches_for_others() {
            self.next = self.next.max(FIRST_MEMBER_BACKOFF);
        }
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(LONGEST_BACKOFF);
        sleep(pause).await;
    }

    /// Pauses before the next full read, if the store is not to be watched yet, or may be missing what is written again.
    async fn pause_if_careful(&self, shared: &Shared) -> bool {
        let is_careful = shared.now() < self.careful_until
            || shared.is_store_incomplete()
            || shared.tables().runners.has_withheld_entries();
        if is_careful {
            sleep(CAREFUL_PAUSE).await;
        }
        is_careful
    }

    fn log_failure(&mut self, shared: &Shared, error: &StoreError) {
        let event = if self.is_lost {
            "store-call-failed"
        } else {
            "dependency-lost"
        };
        self.is_lost = true;
        self.careful_until = shared.now() + CAREFUL;
        metrics::counter!(STORE_CALLS_FAILED.name).increment(1);
        let fields: &[(&str, &dyn std::fmt::Display)] =
            &[("dependency", &self.what), ("error", error)];
        shared.log.write(shared.now(), event, fields);
    }

    fn succeeded(&mut self, shared: &Shared) {
        self.next = FIRST_BACKOFF;
        if self.is_lost {
            let fields: &[(&str, &dyn std::fmt::Display)] = &[("dependency", &self.what)];
            shared
                .log
                .write(shared.now(), "dependency-regained", fields);
            self.is_lost = false;
        }
    }
}

/// Waits until the word of the coordinator changes or no longer stands.
async fn wait_for_word(
    shared: &Shared,
    words: &mut watch::Receiver<StoreWord>,
    stands_until: Timestamp,
) {
    tokio::select! {
        _ = words.changed() => {}
        () = sleep_until(shared.clock.instant(stands_until)) => {}
    }
}

/// How long the store holds a watch. Those who watch for others must soon notice a watch that will never be
/// answered.
fn watch_wait(word: StoreWord) -> Duration {
    if word.watches_for_others() {
        SHARED_WATCH_WAIT
    } else {
        WATCH_WAIT
    }
}

/// Until when a daemon that has just started and has read something waits for the word of those who watch,
/// before it watches the store itself. Nobody may rely on what a daemon knows so soon after its start.
fn starts_until(shared: &Shared, word: StoreWord, has_read: bool) -> Option<Timestamp> {
    let ends = Timestamp::ZERO + shared.settings.news_bound;
    let waits = has_read && word.role == WatchRole::Member && shared.now() < ends;
    waits.then_some(ends)
}

/// How new an answer must be for a daemon that has read nothing yet or, if it has, knows of nothing newer.
fn first_freshness(shared: &Shared, word: StoreWord, has_read: bool) -> Freshness {
    let is_first = !has_read && starts_until(shared, word, true).is_some();
    if is_first {
        Freshness::MayBeStale
    } else {
        Freshness::Latest
    }
}

/// Whether a watch under way is no longer what the daemon should do: the coordinator's word stands again,
/// or this daemon coordinates now.
fn changes_mode(shared: &Shared, old: StoreWord, new: StoreWord) -> bool {
    old.role != new.role || new.stands_until(shared.now()).is_some()
}

/// Whether what a watch has told goes on from where it began. If the store came back from a copy meanwhile, changes before
/// it may be missing.
fn goes_on(after: StoreRevision, told_at: StoreRevision) -> bool {
    after.era == told_at.era
}

fn log_history_gone(shared: &Shared, dependency: &str) {
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("dependency", &dependency)];
    shared.log.write(shared.now(), "store-history-gone", fields);
}
