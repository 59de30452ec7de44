//! Test harness: a gateway on a local port with emulated back ends.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_backends::http_client::Timeouts;
use flaxward_backends::resolving::RetryLimits;
use flaxward_backends::{ObjectsHttp, ResolvingStore};
use flaxward_control::configuration::Configuration;
use flaxward_emulator::engine::{EngineTiming, LoadedAtStart, StreamFault, StreamFaultRule};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::platform::ANY_PORT;
use flaxward_emulator::{
    Engine, EngineConfig, ObjectApiConfig, ObjectApiServer, Service, ServiceConfig,
};
use flaxward_gateway::{Gateway, GatewaySettings, back_end_client, listen};
use flaxward_types::configuration::{CopyRule, ModelSpec, ServiceSpec, VersionSpec};
use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::routing::{Demand, Outlook, Replica, RouteAnswer};
use flaxward_types::{
    ConfigurationItem, DaemonName, ItemKey, ModelName, Revision, RunnerName, ServiceName, Term,
    VersionName, ZoneName,
};
use reqwest::{Method, RequestBuilder};
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

pub const ARTIFACT: &str = "turbine@v1";

/// The coordinator's reply to each demand.
#[derive(Clone)]
pub struct Routing {
    pub ready: Vec<Replica>,
    pub outlook: Outlook,
}

pub struct Harness {
    pub gateway: Arc<Gateway>,
    pub address: SocketAddr,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub objects: ObjectApiServer,
    pub client: reqwest::Client,
    pub configuration: watch::Sender<Arc<Configuration>>,
    routing: Arc<Mutex<Routing>>,
}

/// A response as received by the caller.
#[derive(Debug)]
pub struct FetchedResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    pub text: String,
}

impl FetchedResponse {
    /// The error object in the body, or in the last event of a stream.
    pub fn error(&self) -> Value {
        let last = self.text.rsplit("data: ").next().unwrap_or_default();
        let value: Value = serde_json::from_str(last.trim()).unwrap_or_default();
        value["error"].clone()
    }

    pub fn code(&self) -> Option<u64> {
        self.error()["code"].as_u64()
    }

    pub fn retry_after(&self) -> Option<u64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

pub async fn fetch(request: RequestBuilder) -> FetchedResponse {
    let response = request.send().await.expect("a response");
    FetchedResponse {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        text: response.text().await.expect("a complete body"),
    }
}

pub fn zone() -> ZoneName {
    ZoneName::literal("scl-a")
}

/// The models `turbine` and `full` (with a queue limit of 0) and the service `despacho`.
pub fn configuration() -> Configuration {
    let version = VersionName::literal("v1");
    let mut items = Vec::new();
    for (name, queue_limit) in [("turbine", 4), ("full", 0)] {
        let model = ModelName::literal(name);
        let spec = ModelSpec {
            serving: version.clone(),
            copies: CopyRule::default(),
            priority: 5,
            queue_limit,
        };
        let weights = VersionSpec {
            checkpoint: name.to_owned(),
            weights: ByteSize::gib(1),
            kv_cache: ByteSize::gib(1),
        };
        let key = ItemKey::Version(model.clone(), version.clone());
        items.push((ItemKey::Model(model), ConfigurationItem::Model(spec)));
        items.push((key, ConfigurationItem::Version(weights)));
    }
    let service = ItemKey::Service(ServiceName::literal("despacho"));
    let spec = ServiceSpec { concurrency: 2 };
    items.push((service, ConfigurationItem::Service(spec)));
    let items = items
        .into_iter()
        .map(|(key, item)| (key, Revision(1), item));
    Configuration::new(Revision(1), items)
}

impl Harness {
    /// Starts two engines with the model loaded, the first of which is preferred, and two machines
    /// of the service.
    pub async fn start(configure: impl FnOnce(&mut GatewaySettings)) -> Self {
        Self::start_with_decode_time(0, configure).await
    }

    /// Like [`Self::start`], with the given decode time per token on both engines.
    pub async fn start_with_decode_time(
        decode_us: u64,
        configure: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for index in 0..2 {
            let loaded = LoadedAtStart {
                artifact: ARTIFACT.parse().unwrap(),
                bytes: 1 << 30,
            };
            let config = EngineConfig {
                name: RunnerName::literal(&format!("e{index}")),
                loaded: vec![loaded],
                timing: EngineTiming {
                    decode_us,
                    ..EngineTiming::default()
                },
                ..EngineConfig::default()
            };
            engines.push(Engine::start(config).await.unwrap());
            let config = ServiceConfig {
                name: RunnerName::literal(&format!("s{index}")),
                zone: zone(),
                service: ServiceName::literal("despacho"),
                listen: ANY_PORT,
                time_ms: 0,
                seed: 1,
            };
            services.push(Service::start(config).await.unwrap());
        }
        let objects = ObjectApiServer::start(ObjectApiConfig::default())
            .await
            .unwrap();
        let store = ObjectsHttp::new(&objects.url(), "scl-a/d1", Timeouts::default()).unwrap();
        let mut settings = GatewaySettings::new(vec![zone()]);
        settings.admission.avoid_period = Duration::from_millis(20);
        configure(&mut settings);
        let (sender, receiver) = watch::channel(Arc::new(configuration()));
        let (demands, demand_receiver) = mpsc::unbounded_channel();
        let gateway = Gateway::new(
            settings,
            receiver,
            back_end_client(Duration::from_secs(1)).unwrap(),
            demands,
            Arc::new(ResolvingStore::new(store, RetryLimits::default())),
            DaemonName::literal("d1"),
        );
        let routing = Routing {
            ready: engines.iter().zip([0, 100]).map(replica).collect(),
            outlook: Outlook::Ready,
        };
        let routing = Arc::new(Mutex::new(routing));
        tokio::spawn(run_coordinator(
            Arc::clone(&gateway),
            demand_receiver,
            Arc::clone(&routing),
        ));
        let background = Arc::clone(&gateway);
        tokio::spawn(async move { background.run().await });
        gateway.on_known_coordinators(BTreeSet::from([zone()]));
        let acceptor = listen(ANY_PORT).await.expect("a free port");
        let address = acceptor.local_addr().unwrap();
        let server = gateway.server(acceptor);
        tokio::spawn(server.serve(gateway.router()));
        // No request in these tests takes this long unless it hangs.
        let client = reqwest::Client::builder().timeout(Duration::from_secs(10));
        let harness = Self {
            gateway,
            address,
            engines,
            services,
            objects,
            client: client.build().unwrap(),
            configuration: sender,
            routing,
        };
        harness.set_machines(&[0, 1]);
        harness
    }

    /// Sets the coordinator's reply to all further demands.
    pub fn set_routing(&self, ready: &[usize], outlook: Outlook) {
        let replica = |&index: &usize| replica((&self.engines[index], 0));
        let ready = ready.iter().map(replica).collect();
        *self.routing.lock().unwrap() = Routing { ready, outlook };
    }

    /// Makes the back end at this address the only replica.
    pub fn set_replica(&self, address: SocketAddr) {
        self.set_replicas(&[("e9".to_owned(), address)]);
    }

    /// Replaces all replicas by these.
    pub fn set_replicas(&self, replicas: &[(String, SocketAddr)]) {
        let replicas = replicas.iter().map(|(name, address)| Replica {
            runner: RunnerName::literal(name),
            address: address.to_string(),
            outstanding: 0,
        });
        self.routing.lock().unwrap().ready = replicas.collect();
    }

    /// Injects a stream fault into an engine.
    pub fn add_fault(&self, index: usize, fault: StreamFault, strikes: Strikes) {
        let artifact = None;
        self.engines[index].update_faults(|faults| {
            faults.streams.push(StreamFaultRule {
                fault,
                strikes,
                artifact,
            });
        });
    }

    /// Replaces the machines of the service by those with these indices.
    pub fn set_machines(&self, indices: &[usize]) {
        let machines = indices.iter().map(|&index| {
            let service = &self.services[index];
            machine(service.config().name.as_str(), service.address())
        });
        self.gateway.on_machines(&machines.collect::<Vec<_>>());
    }

    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("http://{}{path}", self.address))
    }

    pub fn completion_request(&self, body: &Value) -> RequestBuilder {
        self.request(Method::POST, "/v1/completions")
            .body(body.to_string())
    }

    /// Number of times that the machines of the service ran the request with this key.
    pub fn times_run(&self, key: &str) -> usize {
        let services = self.services.iter();
        services
            .map(|service| service.record().times_run(key))
            .sum()
    }

    /// Number of requests accepted by each engine.
    pub fn accepted_requests(&self) -> Vec<u64> {
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.record().requests_accepted)
            .collect()
    }
}

/// A machine-list entry for a machine of the service.
pub fn machine(name: &str, address: SocketAddr) -> Machine {
    Machine {
        name: RunnerName::literal(name),
        zone: zone(),
        address: address.to_string(),
        role: MachineRole::Service(ServiceName::literal("despacho")),
        leaving: false,
    }
}

/// A back end that passes each request to the test as text, with the connection to respond on.
pub async fn raw_back_end() -> (SocketAddr, mpsc::UnboundedReceiver<(String, TcpStream)>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut bytes = vec![0; 16_384];
            let length = connection.read(&mut bytes).await.unwrap();
            if length == 0 {
                // After a request is aborted, the gateway probes whether this port still listens.
                continue;
            }
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            sender.send((text, connection)).unwrap();
        }
    });
    (address, requests)
}

/// Polls until the condition is true; has no timeout of its own and relies on the test runner's.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Repeats a request until its idempotency key is no longer in progress.
pub async fn fetch_until_settled(request: &RequestBuilder) -> FetchedResponse {
    loop {
        let response = fetch(request.try_clone().unwrap()).await;
        if response.code() != Some(4001) {
            return response;
        }
    }
}

fn replica((engine, outstanding): (&Engine, u32)) -> Replica {
    Replica {
        runner: engine.config().name.clone(),
        address: engine.address().to_string(),
        outstanding,
    }
}

async fn run_coordinator(
    gateway: Arc<Gateway>,
    mut demands: mpsc::UnboundedReceiver<(ZoneName, Vec<Demand>)>,
    routing: Arc<Mutex<Routing>>,
) {
    let mut sequence = 0;
    while let Some((zone, demands)) = demands.recv().await {
        for Demand { artifact, .. } in demands {
            sequence += 1;
            let Routing { ready, outlook } = routing.lock().unwrap().clone();
            gateway.on_routes(vec![RouteAnswer {
                artifact,
                zone: zone.clone(),
                term: Term(1),
                sequence,
                ready,
                outlook,
            }]);
        }
    }
}
