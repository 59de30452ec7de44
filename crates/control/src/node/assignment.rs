//! Assignment of runners to the observing daemons of a zone.

use flaxward_types::engine::Machine;
use flaxward_types::{DaemonName, RunnerName};
use flaxward_wire::Peer;
use xxhash_rust::xxh3::xxh3_64;

/// The runners that `me` observes among the members of the zone, by rendezvous hashing: a member that
/// joins or leaves moves only its own runners.
pub fn assigned_runners(me: &DaemonName, members: &[Peer], engines: &[Machine]) -> Vec<Machine> {
    let observer = |machine: &Machine| {
        let names = members.iter().map(|peer| &peer.name);
        names.max_by_key(|name| score(name, &machine.name))
    };
    engines
        .iter()
        .filter(|machine| observer(machine) == Some(me))
        .cloned()
        .collect()
}

fn score(daemon: &DaemonName, runner: &RunnerName) -> u64 {
    xxh3_64(format!("{daemon}/{runner}").as_bytes())
}
