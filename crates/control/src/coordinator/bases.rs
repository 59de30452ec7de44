//! Base replicas for required adapters: a base is needed on a runner with memory for both.

use flaxward_types::ArtifactId;
use flaxward_types::records::Slot;

use super::leading::{Context, Leading};
use super::memory::Headroom;
use super::placement::subject_of;

impl Leading {
    /// Number of base replicas that an adapter requires: one, or one more than there are if the adapter
    /// fits beside none of them.
    pub(super) fn required_base_replicas(&self, adapter: &ArtifactId, context: &Context) -> u32 {
        let base = adapter.base();
        let live = self.live_replicas(&base, context.now);
        let served = self.live_replicas(adapter, context.now) > 0;
        if live == 0 || served || self.fits_beside_base(adapter, context) {
            return 1;
        }
        let limit = self.rule(&subject_of(&base), context).limit;
        (live + 1).min(limit).max(1)
    }

    /// Whether an adapter fits on a runner that holds or loads its base.
    fn fits_beside_base(&self, adapter: &ArtifactId, context: &Context) -> bool {
        let bytes = context.configuration.bytes(adapter).unwrap_or(0);
        let mut runners = self.runners.keys();
        runners.any(|name| {
            self.takes_loads(name, context.now)
                && self.has_base(adapter, name)
                && self.headroom(name, bytes, context) != Headroom::None
        })
    }

    /// Whether a base replica serves only adapters and carries no required one: it may be evicted in
    /// favour of a replica on a runner with memory for them.
    pub(super) fn is_without_required_adapters(&self, base: &Slot, context: &Context) -> bool {
        let demanded = context.demands.summary(&base.artifact).is_some();
        let kept = self.kept.contains_key(&base.artifact);
        !demanded && !kept && !self.carries_wanted_adapter(base)
    }
}
