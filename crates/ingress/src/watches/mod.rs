//! Reads configuration and runners from the store and keeps them up to date.
//!
//! The coordinator watches the store; a standby does while the coordinator sends no reports on it.
//! Any other daemon reads the store when one of them has announced a change that it did not
//! receive, and watches it while all of them are silent.

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
use crate::store_report::StoreReport;

pub(crate) use configuration::{apply_configuration, watch_configuration};
pub(crate) use evacuations::{apply_evacuations, watch_evacuations};
pub(crate) use runners::{apply_membership, watch_runners};

/// Maximum duration of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Maximum duration of a watch at daemons that watch for others.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time after a failed call during which the store is listed repeatedly: it may be losing its
/// history, and a watch started meanwhile may miss changes.
const RELIST_PERIOD: Duration = Duration::from_millis(2_500);
/// Pause between these reads.
const RELIST_PAUSE: Duration = Duration::from_millis(700);
/// First pause after a failed call at daemons that watch for others.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// First pause at all other daemons, since together they make many calls.
const FIRST_MEMBER_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time after which a watch that waits for the outcome of a probe looks again whether it still has to.
const PROBE_WAIT: Duration = Duration::from_millis(500);
/// HTTP status with which the store limits the rate of calls.
const TOO_MANY_REQUESTS: u16 = 429;

/// Exponential backoff with jitter between failed calls.
struct Backoff {
    next: Duration,
    /// Until then the store is listed and not watched; see [`RELIST_PERIOD`].
    relist_until: Timestamp,
    what: &'static str,
    is_lost: bool,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Self {
            next: FIRST_BACKOFF,
            relist_until: Timestamp::ZERO,
            what,
            is_lost: false,
        }
    }

    async fn failed(&mut self, shared: &Shared, error: &StoreError) {
        self.log_failure(shared, error);
        // A store that limits the rate of calls is available.
        if !matches!(error, StoreError::Refused(status) if *status == TOO_MANY_REQUESTS) {
            shared.record_store_failure();
        }
        if !shared.store_report.borrow().watches_for_others() {
            self.next = self.next.max(FIRST_MEMBER_BACKOFF);
        }
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(MAX_BACKOFF);
        sleep(pause).await;
    }

    /// Pauses before the next full read, if the store must not be watched yet or may lack entries
    /// that have to be rewritten. Returns whether it paused.
    async fn pause_before_relist(&self, shared: &Shared) -> bool {
        let must_relist = shared.now() < self.relist_until
            || shared.is_store_incomplete()
            || shared.tables().runners.has_withheld_entries();
        if must_relist {
            sleep(RELIST_PAUSE).await;
        }
        must_relist
    }

    fn log_failure(&mut self, shared: &Shared, error: &StoreError) {
        let event = if self.is_lost {
            "store-call-failed"
        } else {
            "dependency-lost"
        };
        self.is_lost = true;
        self.relist_until = shared.now() + RELIST_PERIOD;
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

/// Waits until the report on the store changes or expires.
async fn wait_for_report(
    shared: &Shared,
    reports: &mut watch::Receiver<StoreReport>,
    valid_until: Timestamp,
) {
    tokio::select! {
        _ = reports.changed() => {}
        () = sleep_until(shared.clock.instant(valid_until)) => shared.refresh_store_report(),
    }
}

/// Until when a watch waits that does not probe the store: the watch of the configuration makes the one call that shows
/// whether the store answers this daemon.
fn probe_until(shared: &Shared, report: StoreReport) -> Option<Timestamp> {
    report.is_probe_due.then(|| shared.now() + PROBE_WAIT)
}

/// Duration of a watch. Daemons that watch for others must soon detect a watch that will never be
/// answered.
fn watch_wait(report: StoreReport) -> Duration {
    if report.watches_for_others() {
        SHARED_WATCH_WAIT
    } else {
        WATCH_WAIT
    }
}

/// Until when a daemon that has just started and has read the store waits for a report, before it
/// watches the store itself. No other daemon relies on its state so soon after the start.
fn startup_until(shared: &Shared, report: StoreReport, has_read: bool) -> Option<Timestamp> {
    let ends = Timestamp::ZERO + shared.settings.propagation_bound;
    let waits = has_read && report.role == WatchRole::Member && shared.now() < ends;
    waits.then_some(ends)
}

/// Required freshness of an answer: a daemon that has just started and has read nothing yet accepts
/// a possibly stale one.
fn first_freshness(shared: &Shared, report: StoreReport, has_read: bool) -> Freshness {
    let is_first = !has_read && startup_until(shared, report, true).is_some();
    if is_first {
        Freshness::MayBeStale
    } else {
        Freshness::Latest
    }
}

/// Whether a running watch must be dropped: the report on the store is valid again, or the role of
/// this daemon has changed.
fn changes_mode(shared: &Shared, old: StoreReport, new: StoreReport) -> bool {
    old.role != new.role || new.valid_until(shared.now()).is_some()
}

/// Whether an answer of a watch is of the era in which the watch started. If the store was restored
/// in between, earlier changes may be missing.
fn is_same_era(after: StoreRevision, answered_at: StoreRevision) -> bool {
    after.era == answered_at.era
}

fn log_history_gone(shared: &Shared, dependency: &str) {
    let fields: &[(&str, &dyn std::fmt::Display)] = &[("dependency", &dependency)];
    shared.log.write(shared.now(), "store-history-gone", fields);
}
