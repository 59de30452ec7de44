//! Confirms with the store that this daemon knows all software versions of the runners.
//!
//! A daemon that hears none of the others may be cut off from them, and may have missed a runner of a second version. The
//! store shows whether it has: it returns all changes of runners since the revision that the daemon knows.

use std::fmt::Display;
use std::time::Duration;

use flaxward_routing::revision::StoreRevision;
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

/// When the versions were last confirmed. The lock is held during a call, so that requests that arrive together share it.
#[derive(Debug, Default)]
pub(crate) struct VersionCheck {
    confirmed_at: Mutex<Option<Timestamp>>,
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
        let outcome = self.read_versions().await;
        self.log_version_check(&outcome);
        if outcome.is_ok() {
            *confirmed_at = Some(asked_at);
        }
        outcome.is_ok()
    }

    /// Records the versions of all runners that were listed since the known revision. The list of runners is left as it
    /// is: the watch of runners keeps it up to date, and changes must not be applied twice.
    async fn read_versions(&self) -> Result<usize, UnconfirmedError> {
        let known = self.known_runners_revision();
        let known = StoreRevision::from_ordered(known.ok_or(UnconfirmedError::NoList)?);
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

    fn log_version_check(&self, outcome: &Result<usize, UnconfirmedError>) {
        let outcome = match outcome {
            Ok(changes) => format!("confirmed, {changes} changes"),
            Err(error) => error.to_string(),
        };
        let fields: &[(&str, &dyn Display)] = &[("outcome", &outcome)];
        self.log.write(self.now(), "versions-checked", fields);
    }
}
