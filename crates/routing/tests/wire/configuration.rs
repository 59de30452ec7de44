//! A sample configuration with every field set.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::cold::ColdStart;
use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Route, RouteKind, Service,
    WeightedService,
};
use flaxward_routing::homes::Homes;
use flaxward_routing::names::{ModelName, Region, RouteName, ServiceName, TenantName};
use flaxward_routing::tenants::{KeyDigest, Quota, QuotaUnit, Tenant, TenantKeys, Tenants};

fn route(name: &str, kind: RouteKind) -> Route {
    let part = |service: &str, weight| WeightedService {
        service: ServiceName::new(service),
        weight,
    };
    Route {
        name: RouteName::new(name),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(15),
        target: Duration::from_millis(600),
        priority: 2,
        services: vec![part("pool", 90), part("plain", 10)],
        max_attempts: 2,
        event_gap: Duration::from_millis(300),
        is_generation: true,
        is_public: true,
        homes: Homes::from_regions([Region::new("east")]),
    }
}

fn pool() -> Service {
    let specification = ModelSpecification {
        weights_mb: 72_700.0,
        adapter_mb: 66.0,
        store_load: Duration::from_secs(19),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_millis(1_300),
    };
    Service {
        name: ServiceName::new("pool"),
        max_connections: 630,
        engine: Some(Engine {
            slots: 12,
            weights_mb: 200_000.0,
            adapter_slots: 8,
            loads_per_second: 40.0,
            models: [(ModelName::new("m"), specification)].into(),
        }),
        cold_start: Some(ColdStart {
            duration: Duration::from_secs(3),
            requests_per_second: 10.0,
        }),
    }
}

fn plain() -> Service {
    Service {
        name: ServiceName::new("plain"),
        max_connections: 96,
        engine: None,
        cold_start: None,
    }
}

fn tenant() -> TenantKeys {
    TenantKeys {
        tenant: Arc::new(Tenant {
            name: TenantName::new("t"),
            priority: Some(1),
            quota: Some(Quota {
                unit: QuotaUnit::Tokens { plain: 200 },
                rate: 1_500.0,
                burst: 2_000.0,
            }),
            homes: Homes::Anywhere,
        }),
        keys: vec![KeyDigest::of(b"k")],
    }
}

pub fn configuration() -> Configuration {
    let routes = vec![
        route("safe", RouteKind::Repeatable),
        route("unsafe", RouteKind::AtMostOnce),
        route("stream", RouteKind::Stream { resumable: true }),
    ];
    let limits = ClientLimits::default();
    let configuration = Configuration::new(34, limits, routes, vec![pool(), plain()]);
    configuration.with_tenants(Tenants::new(vec![tenant()]).unwrap())
}
