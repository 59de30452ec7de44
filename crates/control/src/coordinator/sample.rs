//! Selects the subset of a model's replicas that is announced to one gateway.
//!
//! For a model with many replicas, announcing all of them would make every answer long and every
//! change an update to every gateway. Each gateway receives a small sample selected by rendezvous
//! hashing: samples differ between gateways, so that together they use all replicas, and adding or
//! removing a replica changes only the samples that contain it.

use flaxward_types::DaemonName;
use flaxward_types::routing::Replica;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of replicas of one artifact that are announced to one gateway.
/// `docs/design/control-traffic.md` has the loads measured with this and other sizes.
pub const SAMPLE_SIZE: usize = 8;

/// The replicas to announce to a gateway: at most `size`, in the given order.
pub fn sample(gateway: &DaemonName, mut ready: Vec<Replica>, size: usize) -> Vec<Replica> {
    if ready.len() <= size {
        return ready;
    }
    let mut scores: Vec<u64> = ready
        .iter()
        .map(|replica| score(gateway, replica))
        .collect();
    scores.sort_unstable_by(|one, other| other.cmp(one));
    let min_score = scores[size - 1];
    ready.retain(|replica| score(gateway, replica) >= min_score);
    ready.truncate(size);
    ready
}

fn score(gateway: &DaemonName, replica: &Replica) -> u64 {
    xxh3_64(format!("{gateway}/{}", replica.runner).as_bytes())
}
