//! Where the callers of a burst gather, so that one zone loads for all.
//!
//! Several zones may have units of a model. If each loaded a replica for its own callers, a burst that
//! reaches all of them would load, and then keep, one replica for each zone. So the first replica is
//! loaded by the first zone in the order of [`QuotaBook::zones_with_units`], which all find alike from
//! the quota's record, and the others send their callers there. Where that takes more than one
//! replica, that zone asks for their units.
//!
//! [`QuotaBook::zones_with_units`]: super::quota::QuotaBook::zones_with_units

use flaxward_types::ArtifactId;

use super::leading::{Block, Context, Leading, Wanted};
use super::needs::ASK_AFTER;
use super::placement::subject_of;

impl Leading {
    /// Sends callers to the zone where they gather, if that is another one. Those who keep coming
    /// back found nothing there, or are cut off from it, and are served under the own units.
    pub(super) fn gathers_elsewhere(
        &mut self,
        artifact: &ArtifactId,
        wanted: &Wanted,
        context: &Context,
    ) -> Option<Block> {
        if !self.may_gather_elsewhere(artifact, wanted, context) {
            return None;
        }
        let zones = self.quotas.zones_with_units(&subject_of(&artifact.base()));
        let has_units = zones.contains(context.zone);
        let is_first = zones.first() == Some(context.zone);
        if !has_units || is_first {
            return None;
        }
        let sent_on = self.sent_on.entry(artifact.clone());
        sent_on.or_insert(context.now);
        if self.asking_age(artifact, context) >= ASK_AFTER {
            return None;
        }
        let others = zones.into_iter().filter(|zone| zone != context.zone);
        Some(Block::Elsewhere(others.collect()))
    }

    /// Whether only callers want an artifact, and nothing is here for them yet. In an outage each
    /// zone serves its own, since no unit could follow the callers.
    fn may_gather_elsewhere(
        &self,
        artifact: &ArtifactId,
        wanted: &Wanted,
        context: &Context,
    ) -> bool {
        let is_kept = self.kept.contains_key(artifact);
        let by_callers = wanted.firm && !is_kept;
        let is_live = self.live_replicas(artifact, context.now) > 0;
        let base_is_live = self.live_replicas(&artifact.base(), context.now) > 0;
        by_callers && !is_live && !base_is_live && !context.in_outage
    }
}
