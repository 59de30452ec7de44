//! The replicas of a busy model that one gateway is told.
//!
//! A model with many replicas would make every answer long and every change news to every gateway.
//! Each gateway is told a few of them, by rendezvous hashing: gateways differ in their samples, so
//! that together they use all replicas, and a replica that comes or goes changes only the samples
//! that it is in.

use flaxward_types::DaemonName;
use flaxward_types::routing::Replica;
use xxhash_rust::xxh3::xxh3_64;

/// Replicas of one artifact that one gateway is told of at most. `docs/design/control-traffic.md`
/// has the loads that were measured with this and other sizes.
pub const SAMPLE: usize = 8;

/// The replicas that a gateway is told of, at most `size`, in their given order.
pub fn sample(gateway: &DaemonName, mut ready: Vec<Replica>, size: usize) -> Vec<Replica> {
    if ready.len() <= size {
        return ready;
    }
    let mut scores: Vec<u64> = ready
        .iter()
        .map(|replica| score(gateway, replica))
        .collect();
    scores.sort_unstable_by(|one, other| other.cmp(one));
    let lowest = scores[size - 1];
    ready.retain(|replica| score(gateway, replica) >= lowest);
    ready.truncate(size);
    ready
}

fn score(gateway: &DaemonName, replica: &Replica) -> u64 {
    xxh3_64(format!("{gateway}/{}", replica.runner).as_bytes())
}
