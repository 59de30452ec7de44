//! Removal of expired claims in the world of claims, by a daemon whose clock is ahead and whose
//! removals may be carried out late.

use std::time::Duration;

use flaxward_control::claims::{FoundClaim, Removal, RemovalAction, RemovalSettings, SHARDS};
use flaxward_types::Revision;

use super::{Flaw, World};
use crate::requests_support::rule;

/// How long records are kept where they are removed: shorter than the waits of a case.
const LIFETIME: Duration = Duration::from_mins(10);

/// How much the clock of the daemon that removes is ahead; within the margin.
const AHEAD_SECONDS: u64 = 29;

impl World {
    /// A world in which records expire soon.
    pub fn with_removal(flaw: Flaw) -> Self {
        Self {
            lifetime: LIFETIME,
            ..Self::new(flaw)
        }
    }

    /// One pass of removal. A removal that is late is carried out by [`Self::remove_late`].
    pub fn remove(&mut self, late: bool) {
        let now_unix = self.now_unix + AHEAD_SECONDS;
        let mut removal = Removal::new(RemovalSettings::default(), (0..SHARDS).collect());
        loop {
            match removal.next(now_unix) {
                RemovalAction::Rest(_) => break,
                RemovalAction::Select(group) => {
                    let found = self
                        .found()
                        .filter(|found| found.claim.removal_group == group.to_string());
                    removal.selected(Ok(found.into_iter().collect()), now_unix);
                }
                RemovalAction::Remove { version, .. } => {
                    self.carry_out(version, late);
                    removal.removed(Ok(true), now_unix);
                }
            }
        }
        if self.flaw == Flaw::RemovesEarly
            && let Some(found) = self.found()
        {
            self.carry_out(found.version, late);
        }
    }

    /// Carries out a removal that is late.
    pub fn remove_late(&mut self) {
        if let Some(version) = self.late_removals.pop() {
            self.carry_out(version, false);
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

    fn carry_out(&mut self, version: Revision, late: bool) {
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

    /// A key that was forgotten may run again, but not sooner than promised.
    pub fn check_runs_apart(&self) -> Result<(), String> {
        let apart = |pair: &[u64]| pair[1] - pair[0] >= self.lifetime.as_secs();
        rule(
            self.run_at.windows(2).all(apart),
            "ran twice within the lifetime",
        )
    }
}
