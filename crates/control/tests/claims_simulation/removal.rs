//! Removal of expired claims in the simulation, by a daemon whose clock is ahead and whose removals
//! may be applied late.

use std::time::Duration;

use flaxward_control::claims::{FoundClaim, Removal, RemovalAction, RemovalSettings, SHARDS};
use flaxward_types::Revision;

use super::{Flaw, Simulation};
use crate::requests_support::rule;

/// Lifetime of records in cases with removal; shorter than the waits of a case, so that records
/// expire.
const LIFETIME: Duration = Duration::from_mins(10);

/// How far the clock of the removing daemon is ahead; within the clock margin of 30 s.
const CLOCK_AHEAD_SECONDS: u64 = 29;

impl Simulation {
    /// A simulation with a short lifetime of records.
    pub fn with_removal(flaw: Flaw) -> Self {
        Self {
            lifetime: LIFETIME,
            ..Self::new(flaw)
        }
    }

    /// Runs one removal pass. A late removal is applied by [`Self::remove_late`].
    pub fn remove(&mut self, late: bool) {
        let now_unix = self.now_unix + CLOCK_AHEAD_SECONDS;
        let mut removal = Removal::new(RemovalSettings::default(), (0..SHARDS).collect());
        loop {
            match removal.next(now_unix) {
                RemovalAction::Wait(_) => break,
                RemovalAction::Select(group) => {
                    let found = self
                        .found()
                        .filter(|found| found.claim.removal_group == group.to_string());
                    removal.selected(Ok(found.into_iter().collect()), now_unix);
                }
                RemovalAction::Remove { version, .. } => {
                    self.apply_removal(version, late);
                    removal.removed(Ok(true), now_unix);
                }
            }
        }
        if self.flaw == Flaw::RemovesEarly
            && let Some(found) = self.found()
        {
            self.apply_removal(found.version, late);
        }
    }

    /// Applies a late removal.
    pub fn remove_late(&mut self) {
        if let Some(version) = self.late_removals.pop() {
            self.apply_removal(version, false);
        }
    }

    fn found(&self) -> Option<FoundClaim> {
        let (version, claim) = self.record.clone()?;
        Some(FoundClaim {
            name: "key".to_owned(),
            version,
            claim,
        })
    }

    fn apply_removal(&mut self, version: Revision, late: bool) {
        if late {
            self.late_removals.push(version);
            return;
        }
        let blind = self.flaw == Flaw::RemovesBlind;
        let is_current = self
            .record
            .as_ref()
            .is_some_and(|(current, _)| blind || *current == version);
        if is_current {
            self.record = None;
            self.removals += 1;
            self.runs.clear();
        }
    }

    /// A key whose record was removed may run again, but not within the lifetime.
    pub fn check_runs_apart(&self) -> Result<(), String> {
        let apart = |pair: &[u64]| pair[1] - pair[0] >= self.lifetime.as_secs();
        rule(
            self.run_at.windows(2).all(apart),
            "ran twice within the lifetime",
        )
    }
}
