//! Learns from the store which software versions the runners have or had.
//!
//! A daemon that hears none of the others may be cut off from them, and may have missed a runner of a second version. The
//! store shows whether it has: it returns all changes of runners since the revision that the daemon knows.
//!
//! A daemon that has just started does not know which versions there were before. The lease record holds them up to a
//! revision, and the store returns the changes since then.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use flaxward_routing::revision::StoreRevision;
use flaxward_routing::stream_origins::VersionRecord;
use flaxward_types::time::Timestamp;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::time::{error::Elapsed, timeout};

use crate::interfaces::{RunnerChange, StoreError};
use crate::state::Shared;

/// Duration of the watch of runners, which only reads past changes.
const WATCH_WAIT: Duration = Duration::from_millis(1);
/// Timeout for it, since the store may not answer. A client waits for the outcome.
const WATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the first list of runners, without which a record is not adopted.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// State of the checks.
#[derive(Debug, Default)]
pub(crate) struct VersionCheck {
    /// When the versions were last confirmed. The lock is held during a call, so that requests that arrive together share
    /// it.
    confirmed_at: Mutex<Option<Timestamp>>,
    /// A record is being adopted.
    is_adopting: AtomicBool,
}

/// Why the versions are not confirmed.
#[derive(Debug, Error)]
enum UnconfirmedError {
    #[error("no list of runners is known")]
    NoList,
    #[error("no answer in time")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store was restored since the list was read")]
    Restored,
}

impl Shared {
    /// Makes sure that all versions of runners are known that the store had listed when this was called. Returns whether
    /// they are.
    pub(crate) async fn confirm_versions(&self) -> bool {
        let called_at = self.now();
        let mut confirmed_at = self.version_check.confirmed_at.lock().await;
        if *confirmed_at >= Some(called_at) {
            return true;
        }
        let asked_at = self.now();
        let known = self.known_runners_revision();
        let outcome = match known {
            Some(known) => self.note_versions_since(known).await,
            None => Err(UnconfirmedError::NoList),
        };
        self.log_version_check("confirm", &outcome);
        if outcome.is_ok() {
            *confirmed_at = Some(asked_at);
        }
        outcome.is_ok()
    }

    /// Adopts what the lease record tells of versions that were listed before this daemon knew the runners.
    pub(crate) fn adopt_versions(self: &Arc<Self>, record: &VersionRecord) {
        if !self.tables().stream_origins.lacks(record, self.now())
            || self.version_check.is_adopting.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let (shared, record) = (self.clone(), record.clone());
        tokio::spawn(async move {
            let outcome = shared.try_adopt_versions(&record).await;
            shared.log_version_check("adopt", &outcome);
            let is_adopting = &shared.version_check.is_adopting;
            is_adopting.store(false, Ordering::Relaxed);
        });
    }

    async fn try_adopt_versions(&self, record: &VersionRecord) -> Result<usize, UnconfirmedError> {
        timeout(LIST_TIMEOUT, self.until_runners_known()).await?;
        let changes = self.note_versions_since(record.revision).await?;
        let now = self.now();
        self.tables().stream_origins.adopt(record, now);
        Ok(changes)
    }

    async fn until_runners_known(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.tables().runners_known {
                return;
            }
            changed.await;
        }
    }

    /// Records the versions of all runners that were listed since a revision. Returns the number of changes. The list of
    /// runners is left as it is: the watch of runners keeps it up to date, and changes must not be applied twice.
    async fn note_versions_since(&self, revision: u64) -> Result<usize, UnconfirmedError> {
        let known = StoreRevision::from_ordered(revision);
        let changes = timeout(WATCH_TIMEOUT, self.store.watch_runners(known, WATCH_WAIT)).await??;
        if changes.revision.era != known.era {
            return Err(UnconfirmedError::Restored);
        }
        let now = self.now();
        let mut tables = self.tables();
        for change in &changes.items {
            if let RunnerChange::Present(runner) = change {
                let version = runner.software_version.as_ref();
                tables
                    .stream_origins
                    .note_listed(&runner.service, version, now);
            }
        }
        Ok(changes.items.len())
    }

    fn log_version_check(&self, purpose: &str, outcome: &Result<usize, UnconfirmedError>) {
        let outcome = match outcome {
            Ok(changes) => format!("known, {changes} changes"),
            Err(error) => error.to_string(),
        };
        let fields: &[(&str, &dyn Display)] = &[("purpose", &purpose), ("outcome", &outcome)];
        self.log.write(self.now(), "versions-checked", fields);
    }
}
