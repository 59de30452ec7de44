//! Runners and store revisions for tests with a store that is restored from backups.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::names::{RunnerId, ServiceName, Zone};
use flaxward_routing::revision::{StoreEra, StoreRevision};
use flaxward_routing::runners::Runner;

pub fn at(era: u64, number: u64) -> u64 {
    let era = StoreEra::new(era);
    StoreRevision { era, number }.ordered()
}

pub fn id(index: usize) -> RunnerId {
    RunnerId::new(&format!("r{index}"))
}

pub fn runner(index: usize, revision: u64, draining: bool) -> Runner {
    Runner {
        id: id(index),
        revision,
        service: ServiceName::new("s"),
        software_version: None,
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: Zone::new("z"),
        slots: 4,
        draining,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: BTreeMap::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}
