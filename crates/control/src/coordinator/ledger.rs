//! Memory of each runner: what its inventory shows, and the loads ordered or reserved.

use flaxward_types::engine::HeldState;
use flaxward_types::records::Slot;
use flaxward_types::{ArtifactId, RunnerName};

use super::leading::{Context, Leading, slot};

/// Room on a runner for an artifact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// It fits now.
    Free,
    /// It fits once something idle is unloaded.
    AfterUnload,
    /// It does not fit.
    None,
}

impl Leading {
    /// Bytes held on a runner by its inventory.
    fn held_bytes(&self, name: &RunnerName) -> u64 {
        let runner = self.runners.get(name);
        runner.map_or(0, |runner| runner.holdings().map(|held| held.bytes).sum())
    }

    /// Bytes of loads on a runner that its inventory does not show yet.
    fn unseen_bytes(&self, name: &RunnerName, counts: impl Fn(&Slot, bool) -> bool) -> u64 {
        let on_runner = self
            .loads
            .iter()
            .filter(|(slot, load)| slot.runner == *name && counts(slot, load.is_ordered()));
        on_runner
            .filter(|(slot, _)| !self.is_held(slot))
            .map(|(_, load)| load.bytes)
            .sum()
    }

    fn is_held(&self, slot: &Slot) -> bool {
        let runner = self.runners.get(&slot.runner);
        runner.is_some_and(|runner| runner.holdings().any(|held| held.artifact == slot.artifact))
    }

    fn memory(&self, name: &RunnerName) -> u64 {
        let inventory = self
            .runners
            .get(name)
            .and_then(|runner| runner.inventory.as_ref());
        inventory.map_or(0, |inventory| inventory.memory)
    }

    /// Whether the order for a load may be sent: all that is held or ordered leaves room.
    pub(super) fn fits_now(&self, slot: &Slot, bytes: u64) -> bool {
        let ordered = self.unseen_bytes(&slot.runner, |other, ordered| ordered && other != slot);
        let taken = self.held_bytes(&slot.runner) + ordered;
        taken + bytes <= self.memory(&slot.runner)
    }

    /// Whether an artifact with some bytes fits on a runner besides all that is held or reserved.
    pub(super) fn room(&self, name: &RunnerName, bytes: u64, context: &Context) -> Room {
        let memory = self.memory(name);
        let taken = self.held_bytes(name) + self.unseen_bytes(name, |_, _| true);
        if taken + bytes <= memory {
            return Room::Free;
        }
        let reclaimable = self.reclaimable(name, context);
        if taken.saturating_sub(reclaimable) + bytes <= memory {
            Room::AfterUnload
        } else {
            Room::None
        }
    }

    /// Whether an artifact would ever fit on a runner.
    pub(super) fn could_fit(&self, name: &RunnerName, bytes: u64) -> bool {
        bytes <= self.memory(name)
    }

    /// Bytes that unloads under way or idle replicas will free.
    fn reclaimable(&self, name: &RunnerName, context: &Context) -> u64 {
        let Some(runner) = self.runners.get(name) else {
            return 0;
        };
        let goes = |artifact: &ArtifactId, state: HeldState| {
            let slot = slot(artifact, name);
            state == HeldState::Unloading
                || self.unloads.contains_key(&slot)
                || (state == HeldState::Ready && self.is_evictable(&slot, context))
        };
        runner
            .holdings()
            .filter(|held| goes(&held.artifact, held.state))
            .map(|held| held.bytes)
            .sum()
    }

    /// Whether nobody wants what is in a slot, so that it may go when memory is short.
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

    /// Whether a base carries an adapter that somebody wants on the same runner.
    pub(super) fn carries_wanted_adapter(&self, base: &Slot) -> bool {
        self.adapters_on(base).any(|adapter| self.is_firm(&adapter))
    }

    /// Adapters on top of a base on its runner, also those being loaded or unloaded.
    pub(super) fn adapters_on<'a>(
        &'a self,
        base: &'a Slot,
    ) -> impl Iterator<Item = ArtifactId> + 'a {
        let runner = self.runners.get(&base.runner);
        let held = runner
            .into_iter()
            .flat_map(|runner| runner.holdings().map(|held| held.artifact.clone()));
        let ordered = self
            .loads
            .keys()
            .chain(self.unloads.keys())
            .filter(|slot| slot.runner == base.runner)
            .map(|slot| slot.artifact.clone());
        held.chain(ordered).filter(move |artifact| {
            !base.artifact.is_adapter() && artifact.is_adapter() && artifact.base() == base.artifact
        })
    }

    /// Idle replicas to unload on a runner so that a load fits, least recently used first.
    pub(super) fn victims(&self, load: &Slot, bytes: u64, context: &Context) -> Vec<Slot> {
        let name = &load.runner;
        let Some(runner) = self.runners.get(name) else {
            return Vec::new();
        };
        let ordered = self.unseen_bytes(name, |other, ordered| ordered && other != load);
        let leaving = |artifact: &ArtifactId, state| {
            state == HeldState::Unloading || self.unloads.contains_key(&slot(artifact, name))
        };
        let mut taken: u64 = ordered;
        let mut idle = Vec::new();
        for held in runner.holdings() {
            let candidate = slot(&held.artifact, name);
            if leaving(&held.artifact, held.state) {
                continue;
            }
            taken += held.bytes;
            if held.state == HeldState::Ready && self.is_evictable(&candidate, context) {
                let used = context.demands.last_active(&held.artifact);
                // Adapters go before the base that they need.
                idle.push((used, !held.artifact.is_adapter(), candidate, held.bytes));
            }
        }
        idle.sort();
        let memory = self.memory(name);
        let mut chosen = Vec::new();
        for (_, _, candidate, held_bytes) in idle {
            if taken + bytes <= memory {
                break;
            }
            taken -= held_bytes;
            chosen.push(candidate);
        }
        self.with_adapters(chosen)
    }

    /// Puts the adapters on top of each base before it.
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
