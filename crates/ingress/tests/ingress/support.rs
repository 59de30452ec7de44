//! Test ingress with one route of each kind and a test wire format.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use flaxward_clock::SystemTime;
use flaxward_ingress::interfaces::{
    FencedOrder, ForwardingContext, HeadKind, ProfileError, RunnerControl, Surface,
};
use flaxward_ingress::network::TcpNetwork;
use flaxward_ingress::settings::{KeyTrust, OverloadLimits};
use flaxward_ingress::{Ingress, IngressSettings};
use flaxward_routing::budget::RetryBudgetSettings;
use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Route, RouteKind, Service,
    WeightedService,
};
use flaxward_routing::homes::Homes;
use flaxward_routing::lease::LeaseSettings;
use flaxward_routing::locality::Regions;
use flaxward_routing::names::{
    ModelName, RouteName, RunnerId, RunnerStart, ServiceName, SoftwareVersion, TenantName, Zone,
};
use flaxward_routing::notices::RunnerNotice;
use flaxward_routing::placement::{OrderAnswer, PlacementSettings, RunnerReport};
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::request::{PromptPart, RequestProfile};
use flaxward_routing::runners::Runner;
use flaxward_routing::strength::MachineStrength;
use flaxward_routing::tenants::{KeyDigest, Quota, QuotaUnit, Tenant, TenantKeys, Tenants};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::runner::ScriptedRunner;
use crate::store::MemoryStore;

pub const SERVICE: &str = "pool";
/// The model that all runners hold from the start.
pub const MODEL: &str = "m";
/// Models that no runner holds until it is ordered to load them.
pub const RARE_MODEL: &str = "rare";
pub const OTHER_RARE_MODEL: &str = "other";

/// Wire format of the tests, with the headers `x-id`, `x-deadline`, `x-model`, `last-event-id`, `x-resumes`, `x-parts`,
/// `x-stamp`, `x-not-run`, `x-leaves`, `x-rate-limit`, `x-rejection-limit`, `x-rest`.
struct TestSurface;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The parts of the prompt: `ID,ID`.
fn parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let ids = header_text(headers, "x-parts").into_iter();
    let ids = ids.flat_map(|ids| ids.split(','));
    ids.map(|id| PromptPart {
        id: id.parse().unwrap(),
        tokens: 10,
    })
    .collect()
}

impl Surface for TestSurface {
    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn profile(&self, headers: &HeaderMap) -> Result<RequestProfile, ProfileError> {
        let id = header_text(headers, "x-id").ok_or(ProfileError::Missing("x-id"))?;
        let deadline = header_text(headers, "x-deadline").map(|value| value.parse().unwrap());
        Ok(RequestProfile {
            id: id.to_owned(),
            deadline: deadline.map(Duration::from_millis),
            model: header_text(headers, "x-model").map(|name| (ModelName::new(name), None)),
            parts: parts(headers),
            last_event: header_text(headers, "last-event-id").map(str::to_owned),
            resumes: header_text(headers, "x-resumes").map(str::to_owned),
            ..RequestProfile::default()
        })
    }

    fn key(&self, headers: &HeaderMap) -> Option<KeyDigest> {
        header_text(headers, "x-key").map(|key| KeyDigest::of(key.as_bytes()))
    }

    fn remove_key(&self, headers: &mut HeaderMap) {
        headers.remove("x-key");
    }

    fn prepare(&self, headers: &mut HeaderMap, context: &ForwardingContext<'_>) {
        headers.remove("x-tenant");
        if let Some(tenant) = context.tenant {
            headers.insert("x-tenant", HeaderValue::from_str(tenant.as_str()).unwrap());
        }
        let left = context.time_left.as_millis().to_string();
        headers.insert("x-deadline", HeaderValue::from_str(&left).unwrap());
        let runner = HeaderValue::from_str(context.runner.as_str()).unwrap();
        headers.insert("x-runner", runner);
        if let Some(event) = context.last_event {
            headers.insert("last-event-id", HeaderValue::from_str(event).unwrap());
        }
    }

    fn classify(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> HeadKind {
        if header_text(headers, "x-id") != Some(id) {
            HeadKind::Foreign
        } else if headers.contains_key("x-not-run") {
            HeadKind::NotRun
        } else if status == StatusCode::MISDIRECTED_REQUEST {
            HeadKind::Misdirected
        } else {
            HeadKind::Answer
        }
    }

    fn notice(&self, _status: StatusCode, headers: &HeaderMap) -> RunnerNotice {
        let number = |name| header_text(headers, name).map(|value| value.parse::<f64>().unwrap());
        RunnerNotice {
            leaves: headers.contains_key("x-leaves"),
            rate_limit: number("x-rate-limit").and_then(RequestRate::per_second),
            rejection_limit: number("x-rejection-limit").and_then(RequestRate::per_second),
            rest: number("x-rest").map(Duration::from_secs_f64),
        }
    }

    fn weights_version(&self, _headers: &HeaderMap) -> Option<u64> {
        None
    }
}

/// Control interface of runners that respond neither to orders nor to report queries.
pub struct SilentControl;

#[async_trait]
impl RunnerControl for SilentControl {
    async fn report(&self, _address: SocketAddr) -> Option<RunnerReport> {
        None
    }

    async fn order(&self, _address: SocketAddr, _order: &FencedOrder<'_>) -> OrderAnswer {
        OrderAnswer::Unknown
    }
}

/// Control interface of runners that execute load orders immediately.
#[derive(Default)]
pub struct ImmediateLoadControl {
    loaded: Mutex<Vec<ModelName>>,
    orders: AtomicU64,
    start: Mutex<Option<RunnerStart>>,
    is_busy: AtomicBool,
    calls: Mutex<Vec<Instant>>,
    /// The expected order counts of the received orders.
    pub expected: Mutex<Vec<u64>>,
}

impl ImmediateLoadControl {
    /// Number of orders received.
    pub fn order_count(&self) -> u64 {
        self.orders.load(Ordering::Relaxed)
    }

    /// Sets whether reports show an order in progress that this coordinator has not sent.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Relaxed);
    }

    /// Times of all calls, both report queries and orders.
    pub fn calls(&self) -> Vec<Instant> {
        self.calls.lock().unwrap().clone()
    }

    fn record_call(&self) {
        self.calls.lock().unwrap().push(Instant::now());
    }

    /// Simulates a restart of the runners: their loaded models and order counts are reset.
    pub fn restart(&self, start: RunnerStart) {
        *self.start.lock().unwrap() = Some(start);
        self.loaded.lock().unwrap().clear();
        self.orders.store(0, Ordering::Relaxed);
    }
}

#[async_trait]
impl RunnerControl for ImmediateLoadControl {
    async fn report(&self, _address: SocketAddr) -> Option<RunnerReport> {
        self.record_call();
        let loaded = self.loaded.lock().unwrap().clone();
        let models = loaded.into_iter().chain([ModelName::new(MODEL)]);
        Some(RunnerReport {
            start: *self.start.lock().unwrap(),
            holdings: models.map(|model| (model, BTreeSet::new())).collect(),
            order_count: self.orders.load(Ordering::Relaxed),
            is_busy: self.is_busy.load(Ordering::Relaxed),
            ..RunnerReport::default()
        })
    }

    async fn order(&self, _address: SocketAddr, order: &FencedOrder<'_>) -> OrderAnswer {
        self.record_call();
        self.expected.lock().unwrap().push(order.expected_count);
        self.orders.fetch_add(1, Ordering::Relaxed);
        let model = order.order.unit.model.clone();
        self.loaded.lock().unwrap().push(model);
        OrderAnswer::Accepted
    }
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: RouteName::new(prefix),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(1_500),
        target: Duration::from_millis(300),
        event_gap: Duration::from_millis(300),
        priority: 1,
        services: vec![WeightedService {
            service: ServiceName::new(SERVICE),
            weight: 1,
        }],
        max_attempts: 2,
        is_generation: false,
        is_public: false,
        homes: Homes::Anywhere,
    }
}

fn engine() -> Engine {
    let model = ModelSpecification {
        weights_mb: 1.0,
        adapter_mb: 0.0,
        store_load: Duration::from_millis(200),
        disk_load: Duration::from_millis(200),
        memory_load: Duration::from_millis(200),
    };
    Engine {
        slots: 8,
        weights_mb: 10.0,
        adapter_slots: 2,
        loads_per_second: 1.0,
        models: [MODEL, RARE_MODEL, OTHER_RARE_MODEL]
            .map(|name| (ModelName::new(name), model.clone()))
            .into(),
    }
}

/// The service of the runners, which have no cold period.
pub fn service() -> Service {
    Service {
        name: ServiceName::new(SERVICE),
        max_connections: 100,
        engine: Some(engine()),
        cold_start: None,
    }
}

/// A configuration with the routes `/safe/`, `/unsafe/` and `/stream/` and additional ones.
pub fn configuration(version: u64, additional: Vec<Route>) -> Configuration {
    let mut routes = vec![
        route("/safe/", RouteKind::Repeatable),
        route("/unsafe/", RouteKind::AtMostOnce),
        route("/stream/", RouteKind::Stream { resumable: true }),
    ];
    routes.extend(additional);
    Configuration::new(version, ClientLimits::default(), routes, vec![service()])
}

/// A tenant with the given keys and, if a rate is given, a request quota with that rate and an equal burst.
pub fn tenant(name: &str, keys: &[&str], rate: Option<f64>) -> TenantKeys {
    let quota = rate.map(|rate| Quota {
        unit: QuotaUnit::Requests,
        rate,
        burst: rate,
    });
    TenantKeys {
        tenant: Arc::new(Tenant {
            name: TenantName::new(name),
            priority: None,
            quota,
            homes: Homes::Anywhere,
        }),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    }
}

/// A configuration with tenants and an additional route `/open/` that needs no key.
pub fn configuration_with_tenants(version: u64, tenants: Vec<TenantKeys>) -> Configuration {
    let open = Route {
        is_public: true,
        ..route("/open/", RouteKind::Repeatable)
    };
    configuration(version, vec![open]).with_tenants(Tenants::new(tenants).unwrap())
}

pub fn runner(index: usize, address: SocketAddr) -> Runner {
    let holdings: BTreeMap<ModelName, BTreeSet<_>> =
        [(ModelName::new(MODEL), BTreeSet::new())].into();
    Runner {
        id: RunnerId::new(&format!("r{index}")),
        revision: 0,
        service: ServiceName::new(SERVICE),
        software_version: Some(SoftwareVersion::new("v1")),
        address,
        // The first runner is in the ingress's zone, so it is tried first.
        zone: Zone::new(if index == 0 { "z0" } else { "z1" }),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// List entries of runners at these addresses.
pub fn runners(addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<Runner> {
    let indexed = addresses.into_iter().enumerate();
    indexed
        .map(|(index, address)| runner(index, address))
        .collect()
}

/// A running ingress and its store.
pub struct TestIngress {
    pub ingress: Option<Ingress>,
    pub store: Arc<MemoryStore>,
    pub address: SocketAddr,
    pub ready_address: SocketAddr,
}

impl TestIngress {
    /// Starts an ingress with these runners, of which the first one is tried first.
    pub async fn start(runners: &[&ScriptedRunner]) -> Self {
        Self::start_with_settings(settings("d"), runners).await
    }

    /// Starts an ingress with custom settings and these runners, of which the first one is tried first.
    pub async fn start_with_settings(
        settings: IngressSettings,
        runners: &[&ScriptedRunner],
    ) -> Self {
        let store = MemoryStore::default();
        let test = Self::start_with(settings, store, Arc::new(SilentControl)).await;
        let addresses = runners.iter().map(|it| it.address);
        test.store.set_runners(self::runners(addresses));
        test.store.set_configuration(configuration(1, Vec::new()));
        test.until_ready().await;
        test
    }

    pub async fn start_unconfigured() -> Self {
        Self::start_with_store("d", MemoryStore::default(), Arc::new(SilentControl)).await
    }

    /// Starts an ingress with a store and a control interface of runners.
    pub async fn start_with_store(
        name: &str,
        store: MemoryStore,
        control: Arc<dyn RunnerControl>,
    ) -> Self {
        Self::start_with(settings(name), store, control).await
    }

    /// Starts an ingress with custom settings.
    pub async fn start_with(
        settings: IngressSettings,
        store: MemoryStore,
        control: Arc<dyn RunnerControl>,
    ) -> Self {
        let store = Arc::new(store);
        let ingress = Ingress::start(
            settings,
            Arc::new(TestSurface),
            store.clone(),
            control,
            None,
        );
        let ingress = ingress.await.unwrap();
        Self {
            store,
            address: ingress.address,
            ready_address: ingress.ready_address,
            ingress: Some(ingress),
        }
    }

    pub async fn until_ready(&self) {
        while self.ready_status().await != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn ready_status(&self) -> u16 {
        let url = format!("http://{}/ready", self.ready_address);
        let response = client().get(url).send().await;
        response.map_or(0, |response| response.status().as_u16())
    }

    /// Builds a client request.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        client()
            .post(format!("http://{}{path}", self.address))
            .header("host", "a.example")
            .header("x-id", id)
            .body("the body")
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

pub fn settings(name: &str) -> IngressSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    IngressSettings {
        name: name.to_owned(),
        time: Arc::new(SystemTime),
        network: Arc::new(TcpNetwork),
        zone: Zone::new("z0"),
        regions: Regions::default(),
        listen: any,
        ready_listen: any,
        peer_listen: any,
        metrics_listen: None,
        strength: MachineStrength::default(),
        propagation_bound: Duration::from_secs(2),
        evacuation_bound: None,
        cold_runners: None,
        key_trust: KeyTrust::default(),
        stop_grace: Duration::from_secs(4),
        // Each request earns its own retries: a daemon that has just started has no others.
        retry_budget: RetryBudgetSettings {
            ratio: 10.0,
            allowance: 50.0,
            window: Duration::from_secs(10),
        },
        quarantine: QuarantineSettings {
            crashes: 3,
            first: Duration::from_secs(30),
            repeated: Duration::from_mins(10),
        },
        lease: LeaseSettings {
            duration: Duration::from_secs(3),
            renewal: Duration::from_millis(300),
            margin: Duration::from_millis(300),
            silence: Duration::from_millis(300),
        },
        overload_limits: OverloadLimits::of_machine(256_000_000, 4_096, 2_000),
        placement: PlacementSettings::default(),
    }
}

/// A share, as a number from 0 to 1.
#[allow(clippy::cast_precision_loss)]
pub fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}
