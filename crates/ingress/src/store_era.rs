//! Detects that the store was restored from a backup: its latest changes are lost, and their
//! revision numbers are assigned again.

use std::fmt::Display;
use std::time::Duration;

use flaxward_routing::revision::{EraStart, StoreRevision};

use crate::counters::STORE_RESTORES;
use crate::state::Shared;

/// Time within which operators and runners have rewritten what the store has lost, and entries of
/// removed runners have expired: three heartbeats of a runner plus processing; 1.2 s is the longest
/// heartbeat in the platform's specifications.
const REWRITE_WINDOW: Duration = Duration::from_secs(5);

impl Shared {
    /// Records the era of a revision that another daemon has announced. Ignored until this daemon
    /// has an answer of the store itself: legacy builds announce revisions without eras.
    pub(crate) fn observe_store_era(&self, revision: StoreRevision) {
        let is_known = self.tables().store_era.is_some();
        if is_known {
            self.record_store_era(revision);
        }
    }

    /// Records the era of an answer of the store, and logs it if it is later than the known one.
    /// Watches started in the earlier era are restarted.
    pub(crate) fn record_store_era(&self, revision: StoreRevision) {
        let now = self.now();
        let era = revision.era;
        let mut tables = self.tables();
        let before = tables.store_era.map(|start| start.first.era);
        if before.is_some_and(|known| known >= era) {
            let known = tables.store_era.as_mut();
            let unnumbered = known.filter(|it| it.first.era == era && it.first.number == 0);
            if let Some(start) = unnumbered {
                start.first = revision;
            }
            return;
        }
        if before.is_some() {
            tables.restored_at = Some(now);
        }
        let known_before = tables.runners.revision();
        tables.store_era = Some(EraStart {
            first: revision,
            known_before,
        });
        let known_revision = StoreRevision::from_ordered(known_before);
        drop(tables);
        let event = match before {
            None => "store-era-known",
            Some(_) => "store-restored",
        };
        let fields: &[(&str, &dyn Display)] = &[
            ("era", &era),
            ("before", &before.unwrap_or_default()),
            ("store_revision", &revision),
            ("known_revision", &known_revision),
        ];
        self.log.write(now, event, fields);
        if before.is_some() {
            metrics::counter!(STORE_RESTORES.name).increment(1);
            self.restart_watches();
        }
    }

    /// Whether the store may still lack what operators and runners have to rewrite after a restore.
    pub(crate) fn is_store_incomplete(&self) -> bool {
        let now = self.now();
        let restored_at = self.tables().restored_at;
        restored_at.is_some_and(|at| now.since(at) < REWRITE_WINDOW)
    }

    /// Whether a revision belongs to an earlier era than the current one of the store.
    pub(crate) fn is_past_era(&self, revision: StoreRevision) -> bool {
        let known = self.tables().store_era;
        known.is_some_and(|start| revision.era < start.first.era)
    }
}
