//! Configuration of routes and services, as set by the operators.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cold::ColdStart;
use crate::homes::Homes;
use crate::names::{ModelName, RouteName, ServiceName};
use crate::tenants::Tenants;

/// Retry and response semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may be executed more than once.
    Repeatable,
    /// Requests are executed at most once.
    AtMostOnce,
    /// The response is an event stream.
    Stream {
        /// An interrupted stream may be resumed on another runner.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be retried after an attempt with unknown outcome.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One target of a weighted traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the traffic, relative to the other targets.
    pub weight: u32,
}

/// Routing of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host name, in lower case and without a port.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Retry and response semantics.
    pub kind: RouteKind,
    /// Maximum time that a request is held.
    pub timeout: Duration,
    /// Target response time.
    pub target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// A single service, or the targets of a weighted split.
    pub services: Vec<WeightedService>,
    /// Maximum number of runners to which one request may be sent.
    pub max_attempts: u32,
    /// Target for the maximum gap between events of a stream.
    pub event_gap: Duration,
    /// Requests name a model and the parts of their prompt.
    pub is_generation: bool,
    /// Requests need no API key.
    pub is_public: bool,
    /// Regions in which requests may be served.
    pub homes: Homes,
}

/// Lower bound of [`Route::stream_silence_timeout`].
const MIN_STREAM_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

impl Route {
    /// Time without an event after which callers abandon a stream; it also applies to the first event.
    pub fn stream_silence_timeout(&self) -> Duration {
        let by_target = self.target * 4;
        let by_gap = self.event_gap * 8;
        by_target.max(by_gap).max(MIN_STREAM_SILENCE_TIMEOUT)
    }
}

/// Specification of a model that the runners of a service can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpecification {
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
    /// Load time from the weight store.
    pub store_load: Duration,
    /// Load time from the runner's disk.
    pub disk_load: Duration,
    /// Load time from the runner's host memory.
    pub memory_load: Duration,
}

/// Model engine of the runners of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that one runner processes concurrently.
    pub slots: u32,
    /// Memory of one runner available for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters loaded on one runner.
    pub adapter_slots: usize,
    /// Loads from the weight store per second, summed over all runners.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpecification>,
}

/// A group of identical runners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one runner accepts, summed over all callers.
    pub max_connections: u32,
    /// Model engine; `None` if the runners do not serve models.
    pub engine: Option<Engine>,
    /// Limits on runners after their start; `None` if they take full load immediately.
    pub cold_start: Option<ColdStart>,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the request head.
    pub header_time: Duration,
    /// Time after which an idle connection is closed.
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
    /// Increases with each change.
    pub version: u64,
    /// Limits on client requests.
    pub limits: ClientLimits,
    services: HashMap<ServiceName, Arc<Service>>,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    tenants: Tenants,
}

impl Configuration {
    /// Creates a configuration without tenants, and indexes its routes and services.
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

    /// Adds tenants; requests must then carry one of their API keys.
    #[must_use]
    pub fn with_tenants(mut self, tenants: Tenants) -> Self {
        self.tenants = tenants;
        self
    }

    /// The tenants; empty if requests need no API key.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// Whether any route or tenant has home regions.
    pub fn has_homes(&self) -> bool {
        let of_routes = self.routes().map(|route| &route.homes);
        let mut homes = of_routes.chain(self.tenants.iter().map(|tenant| &tenant.homes));
        homes.any(|homes| *homes != Homes::Anywhere)
    }

    /// Finds the route of a host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes, in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// Total number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
