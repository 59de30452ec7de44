//! Keeps the list of evacuated zones up to date: from the daemons that watch the store, or else
//! from the store.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::names::Zone;
use flaxward_routing::revision::StoreRevision;
use tokio::time::sleep;

use super::{Backoff, changes_mode, is_same_era, log_history_gone, probe_until, wait_for_report};
use crate::cold_periods::mark_returned_zones_cold;
use crate::interfaces::{Listing, StoreError};
use crate::state::Shared;
use crate::unreadable::ObjectKind;

/// Duration of a watch, as a share of the evacuation bound: two lost watches leave time for a
/// third, and for the announcement to other daemons.
const WATCH_SHARE: f64 = 0.2;

/// Minimum time between two reads of the list.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the list up to date if the operators set an evacuation bound; otherwise it is never read.
pub(crate) async fn watch_evacuations(shared: Arc<Shared>) {
    let Some(bound) = shared.settings.evacuation_bound else {
        return;
    };
    let wait = bound.mul_f64(WATCH_SHARE);
    let mut backoff = Backoff::new("store/evacuations");
    let mut restarts = shared.watch_restarts.subscribe();
    let mut reports = shared.store_report.subscribe();
    let mut revision = None;
    loop {
        let report = *reports.borrow_and_update();
        let valid_until = report.valid_until(shared.now());
        if let Some(until) = valid_until.or_else(|| probe_until(&shared, report)) {
            revision = None;
            wait_for_report(&shared, &mut reports, until).await;
            continue;
        }
        let Some(after) = revision else {
            match shared.store.evacuated_zones().await {
                Ok(listing) => {
                    backoff.succeeded(&shared);
                    shared.record_store_era(listing.revision);
                    revision = Some(listing.revision);
                    apply_listing(&shared, listing);
                    if backoff.pause_before_relist(&shared).await {
                        revision = None;
                    }
                }
                Err(error) => backoff.failed(&shared, &error).await,
            }
            continue;
        };
        restarts.mark_unchanged();
        let changed = tokio::select! {
            changed = shared.store.watch_evacuation_changes(after, wait) => changed,
            _ = restarts.changed() => {
                revision = None;
                continue;
            }
            _ = reports.wait_for(|new| changes_mode(&shared, report, *new)) => continue,
        };
        match changed {
            Ok(watched) => {
                backoff.succeeded(&shared);
                shared.record_store_era(watched.revision);
                // Read the list again if it has changed, or if the watch may have missed a change.
                if watched.has_changes || !is_same_era(after, watched.revision) {
                    revision = None;
                }
            }
            Err(StoreError::HistoryGone) => {
                log_history_gone(&shared, "store/evacuations");
                revision = None;
            }
            Err(error) => {
                revision = None;
                backoff.failed(&shared, &error).await;
            }
        }
        if revision.is_none() {
            sleep(MIN_PAUSE).await;
        }
    }
}

fn apply_listing(shared: &Shared, listing: Listing<Zone>) {
    shared.record_unreadable(ObjectKind::Evacuation, &listing.unreadable);
    let mut zones = listing.items;
    if shared.is_store_incomplete() {
        // The operators' evacuations may not have been rewritten since the restore.
        zones.extend(shared.tables().evacuations.zones.iter().cloned());
    }
    zones.sort();
    zones.dedup();
    apply_evacuations(
        shared,
        Evacuations {
            revision: listing.revision.ordered(),
            zones,
        },
        "store",
    );
}

/// Applies a list of evacuated zones; `source` is logged.
pub(crate) fn apply_evacuations(shared: &Shared, listed: Evacuations, source: &str) {
    let zones: Vec<&str> = listed.zones.iter().map(Zone::as_str).collect();
    let zones = zones.join(",");
    let revision = listed.revision;
    let before = shared.tables().evacuations.clone();
    if !shared.tables().evacuations.update(listed) {
        return;
    }
    mark_returned_zones_cold(shared, &before);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("zones", &format!("{zones:?}")),
        ("store_revision", &StoreRevision::from_ordered(revision)),
        ("told_by", &source),
    ];
    shared.log.write(shared.now(), "zones-evacuated", fields);
    shared.changed.notify_waiters();
}
