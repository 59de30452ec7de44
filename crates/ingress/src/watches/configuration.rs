//! Keeps the configuration up to date: from peers that announced a newer version, or else from the
//! store.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::Configuration;
use flaxward_types::ResultCode;
use flaxward_types::time::Timestamp;
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use super::{
    Backoff, changes_mode, first_freshness, is_same_era, log_history_gone, startup_until,
    wait_for_report, watch_wait,
};
use crate::interfaces::{Freshness, Listing, StoreError};
use crate::state::Shared;
use crate::store_report::StoreReport;
use crate::unreadable::ObjectKind;

/// Duration of a watch of the configuration, as a share of the time for which keys are relied on.
const KEY_TRUST_SHARE: f64 = 0.25;
/// Pause before an invalid configuration is read again.
const INVALID_PAUSE: Duration = Duration::from_secs(1);
/// Time to wait for a newer configuration from a peer, as a share of the propagation bound.
const PEER_TIMEOUT_SHARE: f64 = 0.12;
/// Pause after a change of the configuration, so that several changes come with one call.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(250);
/// Number of possibly stale reads before a read that must be the latest, if the announced version
/// is not found.
const STALE_READS: u32 = 3;
/// Pause between two of these reads, as a share of the propagation bound.
const STALE_READ_PAUSE_SHARE: f64 = 0.08;

/// Like [`watch_wait`], but a daemon that relies on keys for a limited time must have it confirmed
/// within a share of that time that nothing has changed.
fn configuration_watch_wait(shared: &Shared, report: StoreReport) -> Duration {
    let wait = watch_wait(report);
    let trust = shared.settings.key_trust.known;
    trust.map_or(wait, |trust| wait.min(trust.mul_f64(KEY_TRUST_SHARE)))
}

/// Like [`first_freshness`], but a possibly stale answer does not show which keys are valid now.
fn first_configuration_freshness(
    shared: &Shared,
    report: StoreReport,
    has_read: bool,
) -> Freshness {
    if shared.settings.key_trust.known.is_some() {
        return Freshness::Latest;
    }
    first_freshness(shared, report, has_read)
}

/// Keeps the configuration up to date.
pub(crate) async fn watch_configuration(shared: Arc<Shared>) {
    let mut backoff = Backoff::new("store/configuration");
    let mut restarts = shared.watch_restarts.subscribe();
    let mut reports = shared.store_report.subscribe();
    let mut revision = None;
    let mut has_read = false;
    loop {
        let report = *reports.borrow_and_update();
        let known = shared.configuration().map(|known| known.version);
        let valid_until = report.valid_until(shared.now());
        if let Some(until) = valid_until.or_else(|| startup_until(&shared, report, has_read)) {
            revision = None;
            if known.unwrap_or(0) >= report.configuration_version {
                wait_for_report(&shared, &mut reports, until).await;
                continue;
            }
        }
        if valid_until.is_some() && ask_peers(&shared, report).await {
            continue;
        }
        let asked_at = shared.now();
        let read = match revision {
            None => read_configuration(&shared, report, has_read).await,
            Some(after) => {
                let wait = configuration_watch_wait(&shared, report);
                restarts.mark_unchanged();
                tokio::select! {
                    read = shared.store.watch_configuration(after, wait) => read.map(Answer::latest),
                    _ = restarts.changed() => {
                        revision = None;
                        continue;
                    }
                    _ = reports.wait_for(|new| changes_mode(&shared, report, *new)) => continue,
                }
            }
        };
        let follows = |answer: &Answer| {
            revision.is_none_or(|after| is_same_era(after, answer.listing.revision))
        };
        match read {
            Ok(answer) if !follows(&answer) => {
                shared.record_store_era(answer.listing.revision);
                log_history_gone(&shared, "store/configuration");
                revision = None;
            }
            Ok(Answer { listing, freshness }) => {
                backoff.succeeded(&shared);
                shared.record_store_answer();
                shared.record_store_era(listing.revision);
                revision = Some(listing.revision);
                has_read = true;
                let is_changed = apply_listing(&shared, listing);
                if freshness == Freshness::Latest {
                    confirm_configuration(&shared, asked_at);
                }
                if backoff.pause_before_relist(&shared).await {
                    revision = None;
                } else if is_changed {
                    sleep(CONFIGURATION_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log_history_gone(&shared, "store/configuration");
                revision = None;
            }
            Err(StoreError::InvalidConfiguration(reason)) => {
                // The previous version stays in force, and is the newest valid one.
                log_invalid(&shared, &reason);
                confirm_configuration(&shared, asked_at);
                revision = None;
                sleep(INVALID_PAUSE).await;
            }
            Err(error) => {
                // A watch from an old revision may miss the changes made meanwhile.
                revision = None;
                backoff.failed(&shared, &error).await;
            }
        }
    }
}

/// An answer of the store about the configuration.
struct Answer {
    listing: Listing<Configuration>,
    freshness: Freshness,
}

impl Answer {
    fn latest(listing: Listing<Configuration>) -> Self {
        Self {
            listing,
            freshness: Freshness::Latest,
        }
    }

    fn may_be_old(listing: Listing<Configuration>) -> Self {
        Self {
            listing,
            freshness: Freshness::MayBeStale,
        }
    }
}

/// Asks the daemon that announced a newer configuration for it. Returns whether it was received.
///
/// A daemon that the store refuses still gets each version, and a change costs the store one read
/// instead of one for each daemon.
async fn ask_peers(shared: &Shared, report: StoreReport) -> bool {
    let known = || shared.configuration().map_or(0, |known| known.version);
    let max_wait = shared
        .settings
        .propagation_bound
        .mul_f64(PEER_TIMEOUT_SHARE);
    let until = shared.clock.instant(shared.now() + max_wait);
    shared.configuration_wanted.notify_one();
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if known() >= report.configuration_version {
            return true;
        }
        tokio::select! {
            () = changed => {}
            () = sleep_until(until) => return false,
        }
    }
}

/// Records that the configuration in force here was the newest at a time.
fn confirm_configuration(shared: &Shared, at: Timestamp) {
    let mut tables = shared.tables();
    if let Some(version) = tables.configuration.as_ref().map(|known| known.version) {
        tables.configuration_age.confirmed(version, at);
    }
}

fn log_invalid(shared: &Shared, reason: &str) {
    let code = ResultCode::InvalidConfiguration.number();
    let known = shared.configuration().map_or(0, |known| known.version);
    let fields: &[(&str, &dyn std::fmt::Display)] =
        &[("code", &code), ("reason", &reason), ("in_force", &known)];
    shared
        .log
        .write(shared.now(), "configuration-rejected", fields);
}

/// Reads the configuration. If a version was announced, a possibly stale answer is enough once it
/// holds that version; a daemon that has just started accepts any answer.
async fn read_configuration(
    shared: &Shared,
    report: StoreReport,
    has_read: bool,
) -> Result<Answer, StoreError> {
    let is_announced =
        report.valid_until(shared.now()).is_some() && report.configuration_version > 0;
    if !is_announced {
        let freshness = first_configuration_freshness(shared, report, has_read);
        let listing = shared.store.configuration(freshness).await?;
        return Ok(Answer { listing, freshness });
    }
    for _ in 0..STALE_READS {
        let listing = shared.store.configuration(Freshness::MayBeStale).await?;
        let versions = listing.items.iter().map(|item| item.version);
        if versions.max() >= Some(report.configuration_version) {
            return Ok(Answer::may_be_old(listing));
        }
        let pause = shared
            .settings
            .propagation_bound
            .mul_f64(STALE_READ_PAUSE_SHARE);
        let fraction = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(fraction)).await;
    }
    let listing = shared.store.configuration(Freshness::Latest).await?;
    Ok(Answer::latest(listing))
}

/// Applies the newest configuration of a listing. Returns whether it was put in force.
fn apply_listing(shared: &Shared, listing: Listing<Configuration>) -> bool {
    let source = format!("store@{}", listing.revision);
    shared.record_unreadable(ObjectKind::Configuration, &listing.unreadable);
    let newest = listing.items.into_iter().max_by_key(|item| item.version);
    let is_changed = newest.is_some_and(|newest| apply_configuration(shared, newest, &source));
    for entry in listing.unreadable.iter().filter(|it| it.name.is_some()) {
        log_invalid(shared, &entry.reason);
    }
    is_changed
}

/// Puts a configuration in force, unless the same or a newer one is. Returns whether it did.
pub(crate) fn apply_configuration(
    shared: &Shared,
    configuration: Configuration,
    source: &str,
) -> bool {
    let version = configuration.version;
    let routes = configuration.route_count();
    let mut tables = shared.tables();
    let old = tables.configuration.as_ref().map(|old| old.version);
    if old.is_some_and(|old| old >= version) {
        return false;
    }
    tables.configuration = Some(Arc::new(configuration));
    tables.configuration_age.applied(version);
    drop(tables);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("version", &version),
        ("before", &old.unwrap_or(0)),
        ("routes", &routes),
        ("source", &source),
    ];
    shared
        .log
        .write(shared.now(), "configuration-applied", fields);
    shared.changed.notify_waiters();
    true
}
