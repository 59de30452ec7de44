//! Memory accounting for each runner: its inventory, and the loads ordered or reserved.

use flaxward_types::engine::HeldState;
use flaxward_types::records::Slot;
use flaxward_types::{ArtifactId, RunnerName};

use super::leading::{Context, Leading, slot};

/// Whether a runner has memory available for an artifact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Headroom {
    /// It fits now.
    Free,
    /// It fits once idle replicas are unloaded.
    AfterUnload,
    /// It does not fit.
    None,
}

impl Leading {
    /// Bytes in use on a runner according to its inventory.
    fn used_bytes(&self, name: &RunnerName) -> u64 {
        let runner = self.runners.get(name);
        runner.map_or(0, |runner| runner.holdings().map(|entry| entry.bytes).sum())
    }

    /// Bytes of loads on a runner that its inventory does not show yet.
    fn bytes_not_in_inventory(
        &self,
        name: &RunnerName,
        counts: impl Fn(&Slot, bool) -> bool,
    ) -> u64 {
        let on_runner = self
            .loads
            .iter()
            .filter(|(slot, load)| slot.runner == *name && counts(slot, load.is_ordered()));
        on_runner
            .filter(|(slot, _)| !self.is_in_inventory(slot))
            .map(|(_, load)| load.bytes)
            .sum()
    }

    fn is_in_inventory(&self, slot: &Slot) -> bool {
        let runner = self.runners.get(&slot.runner);
        runner.is_some_and(|runner| {
            runner
                .holdings()
                .any(|entry| entry.artifact == slot.artifact)
        })
    }

    fn memory(&self, name: &RunnerName) -> u64 {
        let inventory = self
            .runners
            .get(name)
            .and_then(|runner| runner.inventory.as_ref());
        inventory.map_or(0, |inventory| inventory.memory)
    }

    /// Whether the order for a load may be sent: it fits beside all that is in use or ordered.
    pub(super) fn fits_now(&self, slot: &Slot, bytes: u64) -> bool {
        let ordered =
            self.bytes_not_in_inventory(&slot.runner, |other, ordered| ordered && other != slot);
        let used = self.used_bytes(&slot.runner) + ordered;
        used + bytes <= self.memory(&slot.runner)
    }

    /// Whether an artifact of this size fits on a runner beside all that is in use or reserved.
    pub(super) fn headroom(&self, name: &RunnerName, bytes: u64, context: &Context) -> Headroom {
        let memory = self.memory(name);
        let used = self.used_bytes(name) + self.bytes_not_in_inventory(name, |_, _| true);
        if used + bytes <= memory {
            return Headroom::Free;
        }
        let reclaimable = self.reclaimable(name, context);
        if used.saturating_sub(reclaimable) + bytes <= memory {
            Headroom::AfterUnload
        } else {
            Headroom::None
        }
    }

    /// Whether an artifact fits into a runner's total memory.
    pub(super) fn could_fit(&self, name: &RunnerName, bytes: u64) -> bool {
        bytes <= self.memory(name)
    }

    /// Bytes that can be freed by unloads in progress and by evicting idle replicas.
    fn reclaimable(&self, name: &RunnerName, context: &Context) -> u64 {
        let Some(runner) = self.runners.get(name) else {
            return 0;
        };
        let can_be_freed = |artifact: &ArtifactId, state: HeldState| {
            let slot = slot(artifact, name);
            state == HeldState::Unloading
                || self.unloads.contains_key(&slot)
                || (state == HeldState::Ready && self.is_evictable(&slot, context))
        };
        runner
            .holdings()
            .filter(|entry| can_be_freed(&entry.artifact, entry.state))
            .map(|entry| entry.bytes)
            .sum()
    }

    /// Whether the artifact in a slot is not wanted, so that it may be evicted when memory is
    /// short.
    pub(super) fn is_evictable(&self, slot: &Slot, context: &Context) -> bool {
        let wanted = self.is_firm(&slot.artifact);
        let demanded = context.demands.summary(&slot.artifact).is_some();
        !wanted && !demanded && !self.carries_wanted_adapter(slot) && !self.loads.contains_key(slot)
    }

    fn is_firm(&self, artifact: &ArtifactId) -> bool {
        self.wanted
            .get(artifact)
            .is_some_and(|wanted| wanted.required)
    }

    /// Whether a base is needed by a wanted adapter on the same runner.
    pub(super) fn carries_wanted_adapter(&self, base: &Slot) -> bool {
        self.adapters_on(base).any(|adapter| self.is_firm(&adapter))
    }

    /// Adapters of a base on its runner, including those being loaded or unloaded.
    pub(super) fn adapters_on<'a>(
        &'a self,
        base: &'a Slot,
    ) -> impl Iterator<Item = ArtifactId> + 'a {
        let runner = self.runners.get(&base.runner);
        let present = runner
            .into_iter()
            .flat_map(|runner| runner.holdings().map(|entry| entry.artifact.clone()));
        let ordered = self
            .loads
            .keys()
            .chain(self.unloads.keys())
            .filter(|slot| slot.runner == base.runner)
            .map(|slot| slot.artifact.clone());
        present.chain(ordered).filter(move |artifact| {
            !base.artifact.is_adapter() && artifact.is_adapter() && artifact.base() == base.artifact
        })
    }

    /// Idle replicas to unload on a runner so that a load fits, least recently used first.
    pub(super) fn victims(&self, load: &Slot, bytes: u64, context: &Context) -> Vec<Slot> {
        let name = &load.runner;
        let Some(runner) = self.runners.get(name) else {
            return Vec::new();
        };
        let ordered = self.bytes_not_in_inventory(name, |other, ordered| ordered && other != load);
        let is_unloading = |artifact: &ArtifactId, state| {
            state == HeldState::Unloading || self.unloads.contains_key(&slot(artifact, name))
        };
        let mut used: u64 = ordered;
        let mut idle = Vec::new();
        for entry in runner.holdings() {
            let candidate = slot(&entry.artifact, name);
            if is_unloading(&entry.artifact, entry.state) {
                continue;
            }
            used += entry.bytes;
            if entry.state == HeldState::Ready && self.is_evictable(&candidate, context) {
                let last_active = context.demands.last_active(&entry.artifact);
                // Adapters are unloaded before the base that they need.
                idle.push((
                    last_active,
                    !entry.artifact.is_adapter(),
                    candidate,
                    entry.bytes,
                ));
            }
        }
        idle.sort();
        let memory = self.memory(name);
        let mut chosen = Vec::new();
        for (_, _, candidate, held_bytes) in idle {
            if used + bytes <= memory {
                break;
            }
            used -= held_bytes;
            chosen.push(candidate);
        }
        self.with_adapters(chosen)
    }

    /// Inserts the adapters of each base before it.
    fn with_adapters(&self, slots: Vec<Slot>) -> Vec<Slot> {
        let mut all = Vec::new();
        for base in slots {
            for adapter in self.adapters_on(&base) {
                all.push(slot(&adapter, &base.runner));
            }
            all.push(base);
        }
        all
    }
}
