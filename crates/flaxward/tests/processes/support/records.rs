//! What the engines really did.

use flaxward_emulator::Platform;
use flaxward_emulator::engine::{LoadRecord, RequestRecord};
use flaxward_types::{ArtifactId, RunnerName};

/// The loads of an artifact at all engines, in the order of their beginnings.
pub fn loads(platform: &Platform, artifact: &str) -> Vec<(RunnerName, LoadRecord)> {
    let artifact: ArtifactId = artifact.parse().expect("an artifact");
    let mut loads = Vec::new();
    for (name, engine) in platform.engines() {
        let records = engine.record().loads.into_iter();
        let own = records.filter(|load| load.artifact == artifact);
        loads.extend(own.map(|load| (name.clone(), load)));
    }
    loads.sort_by_key(|(_, load)| load.begun_unix_ms);
    loads
}

/// Most replicas at any one moment, loading ones and those not yet freed included.
pub fn most_at_once(platform: &Platform, artifact: &str) -> usize {
    let loads = loads(platform, artifact);
    let taken_at = |moment: u64| {
        let taken = |load: &&(RunnerName, LoadRecord)| {
            let (begun, freed) = (load.1.begun_unix_ms, load.1.freed_unix_ms);
            begun <= moment && freed.is_none_or(|freed| freed > moment)
        };
        loads.iter().filter(taken).count()
    };
    let moments = loads.iter().map(|(_, load)| load.begun_unix_ms);
    moments.map(taken_at).max().unwrap_or(0)
}

/// Asserts that no engine ever held more than its memory.
pub fn assert_memory_kept(platform: &Platform) {
    for (name, engine) in platform.engines() {
        let record = engine.record();
        assert!(
            record.max_used <= record.memory,
            "{name} held {} of {} bytes",
            record.max_used,
            record.memory
        );
    }
}

/// Requests accepted by all engines, with the engine of each.
pub fn requests(platform: &Platform) -> Vec<(RunnerName, RequestRecord)> {
    let engines = platform.engines().iter();
    engines
        .flat_map(|(name, engine)| {
            let requests = engine.record().requests.into_iter();
            requests.map(|request| (name.clone(), request))
        })
        .collect()
}
