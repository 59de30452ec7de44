//! Shuffled round-robin over peers: each peer once in random order, then all again in a new order.
//!
//! For the same number of sends, this misses far fewer peers than independent random choices.

use flaxward_types::DaemonName;
use flaxward_wire::Peer;
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// The peers left in the current round, the next one last.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    remaining: Vec<DaemonName>,
}

impl Rotation {
    /// The next peer among the candidates.
    pub fn next(&mut self, candidates: &[Peer], random: &mut ChaCha8Rng) -> Option<Peer> {
        if candidates.is_empty() {
            return None;
        }
        loop {
            if self.remaining.is_empty() {
                self.remaining = candidates.iter().map(|peer| peer.name.clone()).collect();
                self.remaining.shuffle(random);
            }
            let name = self.remaining.pop()?;
            if let Some(peer) = candidates.iter().find(|peer| peer.name == name) {
                return Some(peer.clone());
            }
        }
    }

    /// The next peers among the candidates, without duplicates.
    pub fn next_few(
        &mut self,
        count: usize,
        candidates: &[Peer],
        random: &mut ChaCha8Rng,
    ) -> Vec<Peer> {
        let mut chosen: Vec<Peer> = Vec::new();
        for _ in 0..count {
            let next = self.next(candidates, random);
            chosen.extend(next.filter(|peer| !chosen.contains(peer)));
        }
        chosen
    }

    /// Inserts a new peer at a random position of the current round, so that its turn comes soon.
    pub fn add(&mut self, name: DaemonName, random: &mut ChaCha8Rng) {
        let position = random.random_range(0..=self.remaining.len());
        self.remaining.insert(position, name);
    }
}
