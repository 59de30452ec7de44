//! What a soak begins with: its runners, models, services and routes.

use std::time::Duration;

use flaxward_platform_stand_in::{RouteSpec, ServiceSpec, WorkKind};

use crate::caller_faults::KEYED_ROUTE;
use crate::faults::FaultKind;
use crate::regions::REGIONS;
use crate::runner_faults::{COLD_AFTER_START, COLD_PER_SECOND};

/// Runners with an engine.
pub(crate) const ENGINES: usize = 3;
/// Runners of the plain service.
pub(crate) const PLAIN_RUNNERS: usize = 2;
/// Models of the service with an engine; the first is the one that most requests need.
pub(crate) const MODELS: [&str; 4] = ["common", "rare-a", "rare-b", "rare-c"];
/// Models that a runner holds at once.
pub(crate) const MODELS_HELD: usize = 2;
/// Time that a load takes.
pub(crate) const LOAD_TIME: Duration = Duration::from_millis(600);
/// Requests that a runner runs at once.
pub(crate) const SLOTS: u32 = 16;
/// Time for a plain answer.
pub(crate) const PLAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a stream.
pub(crate) const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the service with an engine.
pub(crate) const ENGINE_SERVICE: &str = "pool";
/// Name of the plain service.
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// A route like most.
pub(crate) fn route(name: &str, kind: WorkKind, service: &str) -> RouteSpec {
    let is_stream = matches!(kind, WorkKind::Stream { .. });
    RouteSpec {
        name: name.to_owned(),
        kind,
        service: service.to_owned(),
        timeout: if is_stream {
            STREAM_TIMEOUT
        } else {
            PLAIN_TIMEOUT
        },
        max_attempts: 2,
        home_regions: Vec::new(),
        needs_key: false,
    }
}

/// The routes at the start: a few for each soak, and those that its kinds of faults need.
pub(crate) fn first_routes(has_kind: impl Fn(FaultKind) -> bool) -> Vec<RouteSpec> {
    let mut routes = vec![
        route("safe", WorkKind::Repeatable, PLAIN_SERVICE),
        route("once", WorkKind::AtMostOnce, PLAIN_SERVICE),
        route(
            "stream",
            WorkKind::Stream { resumable: true },
            ENGINE_SERVICE,
        ),
        route(
            "stream-once",
            WorkKind::Stream { resumable: false },
            ENGINE_SERVICE,
        ),
    ];
    if has_kind(FaultKind::HomeRoutes) {
        let like = [&routes[0], &routes[2]];
        let homes: Vec<RouteSpec> = like
            .into_iter()
            .flat_map(|route| REGIONS.map(|region| region.home_route(route)))
            .collect();
        routes.extend(homes);
    }
    if has_kind(FaultKind::TenantQuota) {
        routes.push(RouteSpec {
            needs_key: true,
            ..route(KEYED_ROUTE, WorkKind::Repeatable, PLAIN_SERVICE)
        });
    }
    routes
}

/// The services; their runners may be ones that are cold at times.
pub(crate) fn services(has_cold: bool) -> Vec<ServiceSpec> {
    let cold = has_cold.then_some((COLD_PER_SECOND, COLD_AFTER_START));
    let engine = ServiceSpec {
        name: ENGINE_SERVICE.to_owned(),
        models: MODELS.map(str::to_owned).to_vec(),
        model_capacity: u32::try_from(MODELS_HELD).unwrap_or(u32::MAX),
        load_time: LOAD_TIME,
        cold,
    };
    let plain = ServiceSpec {
        name: PLAIN_SERVICE.to_owned(),
        models: Vec::new(),
        model_capacity: 0,
        load_time: Duration::ZERO,
        cold,
    };
    vec![engine, plain]
}
