//! Keeps the list of evacuated zones up to date: from those who watch the store, or else from the store.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::names::Zone;
use flaxward_routing::revision::StoreRevision;
use tokio::time::sleep;

use super::{Backoff, changes_mode, goes_on, log_history_gone, wait_for_word};
use crate::interfaces::{Listing, StoreError};
use crate::spells::suspect_returned;
use crate::state::Shared;
use crate::unreadable::ObjectKind;

/// Part of the bound on evacuations for which the store holds a watch: two that are lost leave time for a third, and for
/// the word to the other daemons.
const WATCH_SHARE: f64 = 0.2;

/// Shortest time between two reads of the list.
const LEAST_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the list up to date, if the operators bound the time in which it must be followed; else it is never read.
pub(crate) async fn watch_evacuations(shared: Arc<Shared>) {
    let Some(bound) = shared.settings.evacuation_bound else {
        return;
    };
    let wait = bound.mul_f64(WATCH_SHARE);
    let mut backoff = Backoff::new("store/evacuations");
    let mut restarts = shared.store_restarts.subscribe();
    let mut words = shared.store_word.subscribe();
    let mut revision = None;
    loop {
        let word = *words.borrow_and_update();
        if let Some(until) = word.stands_until(shared.now()) {
            revision = None;
            wait_for_word(&shared, &mut words, until).await;
            continue;
        }
        let Some(after) = revision else {
            match shared.store.evacuated_zones().await {
                Ok(listing) => {
                    backoff.succeeded(&shared);
                    shared.note_store_era(listing.revision);
                    revision = Some(listing.revision);
                    listed(&shared, listing);
                    if backoff.pause_if_careful(&shared).await {
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
            _ = words.wait_for(|new| changes_mode(&shared, word, *new)) => continue,
        };
        match changed {
            Ok(watched) => {
                backoff.succeeded(&shared);
                shared.note_store_era(watched.revision);
                // The list is read anew if it has changed, or the watch may have missed that.
                if watched.has_changes || !goes_on(after, watched.revision) {
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
            sleep(LEAST_PAUSE).await;
        }
    }
}

fn listed(shared: &Shared, listing: Listing<Zone>) {
    shared.note_unreadable(ObjectKind::Evacuation, &listing.unreadable);
    let mut zones = listing.items;
    if shared.is_store_incomplete() {
        // What operators have asked for may not be written again yet.
        zones.extend(shared.tables().evacuations.zones.iter().cloned());
    }
    zones.sort();
    zones.dedup();
    take_evacuations(
        shared,
        Evacuations {
            revision: listing.revision.ordered(),
            zones,
        },
        "store",
    );
}

/// Takes in a list of evacuated zones; `source` tells who told it, for the log.
pub(crate) fn take_evacuations(shared: &Shared, listed: Evacuations, source: &str) {
    let zones: Vec<&str> = listed.zones.iter().map(Zone::as_str).collect();
    let zones = zones.join(",");
    let revision = listed.revision;
    let before = shared.tables().evacuations.clone();
    if !shared.tables().evacuations.update(listed) {
        return;
    }
    suspect_returned(shared, &before);
    let fields: &[(&str, &dyn std::fmt::Display)] = &[
        ("zones", &format!("{zones:?}")),
        ("store_revision", &StoreRevision::from_ordered(revision)),
        ("told_by", &source),
    ];
    shared.log.write(shared.now(), "zones-evacuated", fields);
    shared.changed.notify_waiters();
}
