//! Routes and services as the operators have set them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cold::ColdStart;
use crate::homes::Homes;
use crate::names::{ModelName, RouteName, ServiceName};
use crate::tenants::Tenants;

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// A broken stream may be continued at another runner.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after a run whose outcome is unknown.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One part of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// Where requests of one host and prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// One service, or the parts of a split.
    pub services: Vec<WeightedService>,
    /// Runners to which one request may be sent.
    pub max_attempts: u32,
    /// Longest pause between events of a stream that is in time.
    pub event_gap: Duration,
    /// Requests name a model and the parts of their prompt.
    pub is_generation: bool,
    /// Requests need no key.
    pub is_public: bool,
    /// Where requests may be served.
    pub homes: Homes,
}

/// Shortest time after which callers may give up a stream that sends nothing.
const LEAST_STREAM_PATIENCE: Duration = Duration::from_secs(2);

impl Route {
    /// Time without an event after which callers give a stream up, its first event included.
    pub fn stream_patience(&self) -> Duration {
        let by_target = self.target * 4;
        let by_gap = self.event_gap * 8;
        by_target.max(by_gap).max(LEAST_STREAM_PATIENCE)
    }
}

/// A model that the runners of a service can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpecification {
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the runner's disk.
    pub disk_load: Duration,
    /// Time of a load from the runner's host memory.
    pub memory_load: Duration,
}

/// The model engine of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one runner runs at once.
    pub slots: u32,
    /// Memory of one runner for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters that one runner holds at most.
    pub adapter_slots: usize,
    /// Loads from the weight store, per second, all runners together.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpecification>,
}

/// A group of equal runners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one runner accepts from all callers together.
    pub max_connections: u32,
    /// The model engine, if its runners are model runners.
    pub engine: Option<Engine>,
    /// What its runners bear after their start; `None` if they bear all at once.
    pub cold_start: Option<ColdStart>,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time allowed for the head.
    pub header_time: Duration,
    /// Time for which an idle connection is kept.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// Bounds on what a client may send.
    pub limits: ClientLimits,
    services: HashMap<ServiceName, Arc<Service>>,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    tenants: Tenants,
}

impl Configuration {
    /// Indexes routes and services.
    pub fn new(
        version: u64,
        limits: ClientLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let routes = routes_by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            limits,
            services,
            routes_by_host,
            tenants: Tenants::default(),
        }
    }

    /// The same with tenants, whose keys requests must carry.
    #[must_use]
    pub fn with_tenants(mut self, tenants: Tenants) -> Self {
        self.tenants = tenants;
        self
    }

    /// The tenants; none if requests need no key.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// The route with the longest prefix that begins the path, among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
