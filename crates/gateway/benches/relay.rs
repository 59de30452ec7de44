//! Benchmark of the cost of relaying token events: the gateway compared with a plain pass-through
//! built on the same libraries.
//!
//! The engine and the callers run on separate threads; the relay runs on a single thread, whose
//! processor time is read from the kernel. Run with `cargo bench -p flaxward-gateway`.
//! `FLAXWARD_BENCH_STREAMS` and `FLAXWARD_BENCH_TOKENS` set the number of streams and of tokens per
//! stream, `FLAXWARD_BENCH_DECODE_US` the decode time per token in microseconds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use bytesize::ByteSize;
use flaxward_backends::ObjectsHttp;
use flaxward_backends::http_client::Timeouts;
use flaxward_control::configuration::Configuration;
use flaxward_emulator::engine::{EngineTiming, LoadedAtStart};
use flaxward_emulator::platform::ANY_PORT;
use flaxward_emulator::{Engine, EngineConfig, ObjectApiConfig, ObjectApiServer};
use flaxward_gateway::{Gateway, GatewaySettings, back_end_client, listen};
use flaxward_types::configuration::{CopyRule, ModelSpec, VersionSpec};
use flaxward_types::routing::{Outlook, Replica, RouteAnswer};
use flaxward_types::{
    ConfigurationItem, DaemonName, ItemKey, ModelName, Revision, RunnerName, Term, VersionName,
    ZoneName,
};
use futures::StreamExt;
use salvo::http::ResBody;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::sync::{mpsc, watch};

const ARTIFACT: &str = "turbine@v1";
const PATH: &str = "/v1/completions";

/// A relay that forwards requests and responses without parsing them.
struct PassThrough {
    client: reqwest::Client,
    engine: SocketAddr,
}

#[async_trait]
impl Handler for PassThrough {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let body = request.payload().await.expect("a body").clone();
        let url = format!("http://{}{PATH}", self.engine);
        let engine_response = self.client.post(url).body(body).send().await;
        response.body(ResBody::stream(
            engine_response.expect("a response").bytes_stream(),
        ));
    }
}

/// Processor time used by the calling thread.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("kernel statistics");
    let nanoseconds = text.split(' ').next().and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a number"))
}

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn configuration() -> Configuration {
    let (model, version) = (ModelName::literal("turbine"), VersionName::literal("v1"));
    let spec = ModelSpec {
        serving: version.clone(),
        copies: CopyRule::default(),
        priority: 5,
        queue_limit: 10_000,
    };
    let weights = VersionSpec {
        checkpoint: "turbine".to_owned(),
        weights: ByteSize::gib(1),
        kv_cache: ByteSize::gib(1),
    };
    let items = [
        (
            ItemKey::Model(model.clone()),
            ConfigurationItem::Model(spec),
        ),
        (
            ItemKey::Version(model, version),
            ConfigurationItem::Version(weights),
        ),
    ];
    let items = items
        .into_iter()
        .map(|(key, item)| (key, Revision(1), item));
    Configuration::new(Revision(1), items)
}

/// A gateway with a single replica.
fn gateway(engine: SocketAddr, store: &str) -> Router {
    let zone = ZoneName::literal("scl-a");
    let (configuration_sender, configuration) = watch::channel(Arc::new(configuration()));
    let (demands, mut demand_receiver) = mpsc::unbounded_channel();
    let store = ObjectsHttp::new(store, "scl-a/d1", Timeouts::default());
    let gateway = Gateway::new(
        GatewaySettings::new(vec![zone.clone()]),
        configuration,
        back_end_client(Duration::from_secs(1)).expect("a client"),
        demands,
        Arc::new(store.expect("a store")),
        DaemonName::literal("d1"),
    );
    gateway.on_known_coordinators(BTreeSet::from([zone.clone()]));
    let router = gateway.router();
    let background = Arc::clone(&gateway);
    tokio::spawn(async move { background.run().await });
    tokio::spawn(async move {
        let _configuration_sender = configuration_sender;
        let mut sequence = 0;
        while demand_receiver.recv().await.is_some() {
            sequence += 1;
            gateway.on_routes(vec![RouteAnswer {
                artifact: ARTIFACT.parse().expect("an artifact"),
                zone: zone.clone(),
                term: Term(1),
                sequence,
                ready: vec![Replica {
                    runner: RunnerName::literal("e0"),
                    address: engine.to_string(),
                    outstanding: 0,
                }],
                outlook: Outlook::Ready,
            }]);
        }
    });
    router
}

/// Runs a relay on a separate thread while the callers read; returns its processor time.
fn measure(
    name: &str,
    make_router: impl FnOnce() -> Router + Send + 'static,
    callers: impl Fn(SocketAddr),
) -> Duration {
    let (address_sender, address) = channel();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let thread = std::thread::Builder::new().name(name.to_owned());
    let relay = thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async {
            let acceptor = listen(ANY_PORT).await.expect("a free port");
            let address = acceptor.local_addr();
            tokio::spawn(Server::new(acceptor).serve(make_router()));
            address_sender
                .send(address.expect("an address"))
                .expect("a listener");
            let time_at_start = processor_time();
            let _ = stopped.await;
            processor_time().saturating_sub(time_at_start)
        })
    });
    let relay = relay.expect("a thread");
    callers(address.recv().expect("an address"));
    let _ = stop.send(());
    relay.join().expect("the relay's processor time")
}

/// Reads one stream to its end; returns its length in bytes.
async fn read_stream(client: reqwest::Client, address: SocketAddr, tokens: u64) -> usize {
    let body =
        format!(r#"{{"model":"{ARTIFACT}","prompt":"why","stream":true,"max_tokens":{tokens}}}"#);
    let request = client.post(format!("http://{address}{PATH}")).body(body);
    let mut chunks = request.send().await.expect("a response").bytes_stream();
    let mut length = 0;
    while let Some(chunk) = chunks.next().await {
        length += chunk.expect("a chunk").len();
    }
    length
}

fn main() {
    let streams = setting("FLAXWARD_BENCH_STREAMS", 300);
    let tokens = setting("FLAXWARD_BENCH_TOKENS", 300);
    let decode_us = setting("FLAXWARD_BENCH_DECODE_US", 20_000);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let (engine, store) = runtime.block_on(async {
        let loaded = LoadedAtStart {
            artifact: ARTIFACT.parse().expect("an artifact"),
            bytes: 1 << 30,
        };
        let engine = Engine::start(EngineConfig {
            loaded: vec![loaded],
            timing: EngineTiming {
                decode_us,
                ..EngineTiming::default()
            },
            ..EngineConfig::default()
        });
        let store = ObjectApiServer::start(ObjectApiConfig::default());
        (
            engine.await.expect("an engine"),
            store.await.expect("a store"),
        )
    });
    let address = engine.address();
    let store = store.url();
    let callers = |relay: SocketAddr| {
        let client = reqwest::Client::new();
        let started_at = Instant::now();
        let all = (0..streams).map(|_| runtime.spawn(read_stream(client.clone(), relay, tokens)));
        let lengths = runtime.block_on(futures::future::join_all(all));
        let lengths: BTreeSet<usize> = lengths
            .into_iter()
            .map(|length| length.expect("a stream"))
            .collect();
        println!(
            "  {:.2} s, lengths {lengths:?}",
            started_at.elapsed().as_secs_f64()
        );
    };
    let events = streams * tokens;
    let per_event = |time: Duration| time.as_secs_f64() * 1e6 / events as f64;
    println!("{streams} streams of {tokens} tokens, {decode_us} us per token");
    for round in 0..3 {
        let pass_through = measure(
            "pass-through",
            move || {
                let client = back_end_client(Duration::from_secs(1)).expect("a client");
                let engine = address;
                Router::with_path("{**rest}").goal(PassThrough { client, engine })
            },
            callers,
        );
        let store = store.clone();
        let relay = measure("gateway", move || gateway(address, &store), callers);
        println!(
            "round {round}: pass-through {:.2} us/event, gateway {:.2} us/event, {:.0} events/s per core, {:.2} of pass-through throughput",
            per_event(pass_through),
            per_event(relay),
            1e6 / per_event(relay),
            per_event(pass_through) / per_event(relay),
        );
    }
}
