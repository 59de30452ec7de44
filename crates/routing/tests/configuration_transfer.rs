//! Tests of the transfer of configurations between daemons.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Route, RouteKind, Service,
    WeightedService,
};
use flaxward_routing::configuration_transfer::{
    Assembly, ConfigurationChunk, EncodedConfiguration,
};
use flaxward_routing::homes::Homes;
use flaxward_routing::names::{ModelName, Region, RouteName, ServiceName, TenantName};
use flaxward_routing::tenants::{KeyDigest, Tenant, TenantKeys, Tenants};
use proptest::prelude::*;

fn route(index: usize) -> Route {
    Route {
        name: RouteName::new(&format!("r{index}")),
        host: "a.example".to_owned(),
        prefix: format!("/{index}/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(15),
        target: Duration::from_millis(600),
        priority: 2,
        services: vec![WeightedService {
            service: ServiceName::new("pool"),
            weight: 100,
        }],
        max_attempts: 2,
        event_gap: Duration::from_millis(300),
        is_generation: true,
        is_public: index == 0,
        homes: Homes::Anywhere,
    }
}

fn service(models: usize) -> Service {
    let model = |index: usize| {
        let specification = ModelSpecification {
            weights_mb: 72_700.0,
            adapter_mb: 66.0,
            store_load: Duration::from_secs(19),
            disk_load: Duration::from_secs(2),
            memory_load: Duration::from_millis(1_300),
        };
        (ModelName::new(&format!("m{index}")), specification)
    };
    Service {
        name: ServiceName::new("pool"),
        max_connections: 630,
        engine: Some(Engine {
            slots: 12,
            weights_mb: 200_000.0,
            adapter_slots: 8,
            loads_per_second: 40.0,
            models: (0..models).map(model).collect::<BTreeMap<_, _>>(),
        }),
        cold_start: None,
    }
}

fn configuration(version: u64, routes: usize, models: usize, keys: &[&str]) -> Configuration {
    let tenant = TenantKeys {
        tenant: Arc::new(Tenant {
            name: TenantName::new("a"),
            priority: Some(1),
            quota: None,
            homes: Homes::from_regions([Region::new("west")]),
        }),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    };
    let routes = (0..routes).map(route).collect();
    let limits = ClientLimits::default();
    let tenants = Tenants::new(vec![tenant]).unwrap();
    Configuration::new(version, limits, routes, vec![service(models)]).with_tenants(tenants)
}

fn bytes(chunks: &[ConfigurationChunk]) -> usize {
    chunks.iter().map(|chunk| chunk.bytes.len()).sum()
}

#[test]
fn a_changed_key_transfers_few_bytes() {
    let old = EncodedConfiguration::of(&configuration(1, 20, 456, &["k1", "k2"]));
    let new = EncodedConfiguration::of(&configuration(2, 20, 456, &["k1"]));
    assert!(bytes(&new.chunks_for(&[])) > 5_000);
    let chunks = new.chunks_for(&old.digests());
    assert!(bytes(&chunks) < 200, "{}", bytes(&chunks));
    let mut assembly = Assembly::new(&old);
    let complete = chunks.into_iter().find_map(|chunk| assembly.add(&chunk));
    let decoded = complete.unwrap().decode().unwrap();
    assert_eq!(decoded.version, 2);
    let holds = |key: &[u8]| decoded.tenants().find_by_key(&KeyDigest::of(key)).is_some();
    assert!(holds(b"k1") && !holds(b"k2"));
    assert_eq!(decoded.route_count(), 20);
}

#[test]
fn an_unchanged_configuration_with_a_new_version_is_transferred() {
    let old = EncodedConfiguration::of(&configuration(1, 2, 2, &["k"]));
    let new = EncodedConfiguration::of(&configuration(7, 2, 2, &["k"]));
    let chunks = new.chunks_for(&old.digests());
    assert_eq!(chunks.len(), 1);
    let mut assembly = Assembly::new(&old);
    assert_eq!(assembly.add(&chunks[0]).unwrap().version(), 7);
}

#[test]
fn corrupted_chunks_are_rejected() {
    let encoded = EncodedConfiguration::of(&configuration(1, 2, 2, &["k"]));
    let mut assembly = Assembly::new(&EncodedConfiguration::default());
    for mut chunk in encoded.chunks_for(&[]) {
        chunk.bytes[0] ^= 1;
        assert!(assembly.add(&chunk).is_none());
    }
    let mut beyond = encoded.chunks_for(&[]).remove(0);
    beyond.offset = u32::MAX;
    assert!(assembly.add(&beyond).is_none());
    let mut oversized = encoded.chunks_for(&[]).remove(0);
    oversized.version = 9;
    oversized.parts[0].length = u32::MAX;
    assert!(assembly.add(&oversized).is_none());
}

proptest! {
    /// Chunks arrive in any order, some duplicated, some only after another request, and interleaved with those of
    /// another version.
    #[test]
    fn a_configuration_is_reassembled_from_chunks_in_any_order(
        routes in 0_usize..60,
        models in 0_usize..80,
        order in any::<prop::sample::Index>(),
        lost in prop::collection::vec(any::<bool>(), 40),
    ) {
        let old = EncodedConfiguration::of(&configuration(4, 3, 2, &["k1"]));
        let sent = configuration(5, routes, models, &["k1", "k2"]);
        let encoded = EncodedConfiguration::of(&sent);
        let mut assembly = Assembly::new(&old);
        let mut complete = None;
        for round in 0..3 {
            let mut chunks = encoded.chunks_for(&assembly.known());
            let middle = order.index(chunks.len());
            chunks.rotate_left(middle);
            for (index, chunk) in chunks.into_iter().enumerate() {
                assembly.add(&old.chunks_for(&[])[0]);
                if round == 0 && lost[index % lost.len()] {
                    continue;
                }
                assembly.add(&chunk);
                complete = assembly.add(&chunk).or(complete);
            }
        }
        let decoded = complete.unwrap().decode().unwrap();
        prop_assert_eq!(decoded.version, 5);
        prop_assert_eq!(decoded.route_count(), routes);
        let known = decoded.service(&ServiceName::new("pool")).cloned();
        prop_assert_eq!(known, sent.service(&ServiceName::new("pool")).cloned());
    }
}
