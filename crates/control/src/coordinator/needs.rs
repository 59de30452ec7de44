//! What the zone needs of each quota, and the operations that follow.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::ResultCode;
use flaxward_types::records::QuotaSubject;

use super::choice::demand_age;
use super::leading::{Block, Context, Leading};
use super::loads::{remote_in_progress, remote_queued};
use super::quota::QuotaNeed;

/// Demand that has lasted this long makes the zone ask other zones for units. Before that, the
/// gateways have gone to a zone that has some.
const ASK_AFTER: Duration = Duration::from_secs(2);

impl Leading {
    /// Reads and writes quotas as needed.
    pub(super) fn step_quotas(&mut self, subjects: &BTreeSet<QuotaSubject>, context: &Context) {
        let reading = self.quotas.read_all(context.now);
        self.actions.extend(reading);
        if !context.may_record {
            self.unstepped.extend(subjects.iter().cloned());
            return;
        }
        for subject in subjects {
            let rule = self.rule(subject, context);
            let need = self.need(subject, context);
            let step = self
                .quotas
                .step(subject, &rule, &need, context.now, context.settings);
            self.actions.extend(step);
        }
    }

    /// What the zone needs of a subject.
    pub(super) fn need(&self, subject: &QuotaSubject, context: &Context) -> QuotaNeed {
        if *subject == QuotaSubject::WeightStore {
            return self.weight_store_need(context);
        }
        let mut need = QuotaNeed {
            bound: self.placement.bound(subject),
            claims: self.homes_wanted.contains(subject),
            ..QuotaNeed::default()
        };
        for (artifact, wanted) in self.wanted.of_subject(subject) {
            let block = self.blocks.get(artifact);
            let hopeless = matches!(
                block,
                Some(Block::Refused(
                    ResultCode::NoMemory | ResultCode::LoadFailed,
                    _
                ))
            );
            if hopeless {
                continue;
            }
            need.needed += wanted.replicas;
            // Gateways cannot find an adapter elsewhere when its base is here.
            let base_is_here =
                artifact.is_adapter() && self.live_replicas(&artifact.base(), context.now) > 0;
            need.asks |= base_is_here || demand_age(artifact, context) >= ASK_AFTER;
            let unrecorded = self
                .loads
                .keys()
                .any(|slot| slot.artifact == *artifact && !self.placement.usable(slot));
            need.claims |= block.is_some() || unrecorded;
        }
        if need.needed > 0 {
            need.needed += self.locked_slots(subject, context.now);
        }
        need
    }

    fn weight_store_need(&self, context: &Context) -> QuotaNeed {
        // Each zone keeps a permit for a wake in an outage, if there are enough for all.
        let zones = u32::try_from(context.zones.len()).unwrap_or(u32::MAX);
        let plenty = self.policy.weight_store_parallel >= zones;
        let used = remote_in_progress(&self.loads);
        let queued = remote_queued(&self.loads);
        QuotaNeed {
            needed: used + queued,
            kept: u32::from(plenty),
            bound: used,
            asks: queued > 0,
            claims: queued > 0,
        }
    }
}
