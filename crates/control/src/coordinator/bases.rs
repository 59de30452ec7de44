//! Where the base of a wanted adapter is needed: on a runner that has room for both.

use flaxward_types::ArtifactId;
use flaxward_types::records::Slot;

use super::leading::{Context, Leading};
use super::memory::Headroom;
use super::placement::subject_of;

impl Leading {
    /// Replicas of its base that an adapter calls for: one, unless those there are have no room for
    /// the adapter, which then needs one more.
    pub(super) fn bases_for(&self, adapter: &ArtifactId, context: &Context) -> u32 {
        let base = adapter.base();
        let live = self.live_replicas(&base, context.now);
        let served = self.live_replicas(adapter, context.now) > 0;
        if live == 0 || served || self.has_room_on_base(adapter, context) {
            return 1;
        }
        let limit = self.rule(&subject_of(&base), context).limit;
        (live + 1).min(limit).max(1)
    }

    /// Whether an adapter fits on a runner that holds its base, or is about to.
    fn has_room_on_base(&self, adapter: &ArtifactId, context: &Context) -> bool {
        let bytes = context.configuration.bytes(adapter).unwrap_or(0);
        let mut runners = self.runners.keys();
        runners.any(|name| {
            self.takes_loads(name, context.now)
                && self.has_base(adapter, name)
                && self.headroom(name, bytes, context) != Headroom::None
        })
    }

    /// Whether a base is wanted for nothing but adapters, and carries none that is wanted: it may
    /// make way for a replica on a runner that has room for them.
    pub(super) fn is_stranded(&self, base: &Slot, context: &Context) -> bool {
        let demanded = context.demands.summary(&base.artifact).is_some();
        let kept = self.kept.contains_key(&base.artifact);
        !demanded && !kept && !self.carries_wanted_adapter(base)
    }
}
