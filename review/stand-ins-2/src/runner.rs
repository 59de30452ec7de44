//! Runners, as PROTOCOL.md tells them.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{listen, serve, Exchange};
use crate::json;
use crate::record::Record;

/// What a runner does.
#[derive(Clone, Debug)]
pub struct Work {
    /// Time in which it answers a request that is not a stream.
    pub plain: Duration,
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub event_gap: Duration,
    /// Time to load a model; `None` without an engine.
    pub load: Option<Duration>,
}

/// What an engine holds.
#[derive(Default)]
struct Engine {
    models: BTreeSet<String>,
    loading: Option<(String, Instant)>,
    orders: u64,
    fence: u64,
}

impl Engine {
    fn advance(&mut self) {
        if let Some((model, _)) = self.loading.take_if(|(_, ready)| Instant::now() >= *ready) {
            self.models.insert(model);
        }
    }
}

/// A request that a runner began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub runner: String,
    pub service: String,
    pub request: String,
}

struct Shared {
    id: String,
    service: String,
    version: String,
    work: Work,
    is_over: AtomicBool,
    running: AtomicU64,
    engine: Mutex<Engine>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    pub zone: String,
    shared: Arc<Shared>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        zone: &str,
        work: Work,
        runs: Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            work,
            is_over: AtomicBool::new(false),
            running: AtomicU64::new(0),
            engine: Mutex::default(),
            runs,
            record: record.clone(),
        });
        let serving = shared.clone();
        serve(listener, move |exchange| answer(&serving, exchange));
        Self {
            address,
            zone: zone.to_owned(),
            shared,
        }
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Its entry of kind `servers`.
    pub fn entry(&self, is_draining: bool) -> String {
        let state = if is_draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":0}}",
            self.shared.service, self.address, self.zone, self.shared.version
        )
    }

    /// Ends it: whatever it runs is cut off, and it takes nothing more.
    pub fn end(&self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
    }

    /// Requests at work.
    pub fn running(&self) -> u64 {
        self.shared.running.load(Ordering::SeqCst)
    }
}

fn answer(shared: &Shared, exchange: &mut Exchange<'_>) -> bool {
    if shared.is_over.load(Ordering::SeqCst) {
        return false;
    }
    let request = exchange.request.clone();
    let (_, path) = request.target();
    if path == "/v1/report" {
        return exchange.answer(200, &[], report(shared).as_bytes());
    }
    if path == "/v1/order" {
        let expected = request.header("X-Flaxward-Expect-Instance");
        let status = match expected.is_some_and(|expected| expected != shared.id) {
            true => 421,
            false => take_order(shared, &String::from_utf8_lossy(&request.body)),
        };
        return exchange.answer(status, &[], b"");
    }
    let Some(id) = request.header("X-Flaxward-Request-Id").map(str::to_owned) else {
        return exchange.answer(400, &[("X-Flaxward-Not-Run", "1")], b"");
    };
    let expected = request.header("X-Flaxward-Expect-Instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        let headers = [("X-Flaxward-Request-Id", id.as_str())];
        return exchange.answer(421, &headers, b"");
    }
    if shared.work.load.is_some() {
        let mut engine = shared.engine.lock().unwrap();
        engine.advance();
        let model = request.header("X-Flaxward-Model").unwrap_or("");
        if !engine.models.contains(model) {
            drop(engine);
            let headers = [("X-Flaxward-Request-Id", id.as_str())];
            return exchange.answer(421, &headers, b"");
        }
    }
    shared.running.fetch_add(1, Ordering::SeqCst);
    let at = shared.record.seconds();
    shared.record.line(&format!("request {id} runs at {}", shared.id));
    shared.runs.lock().unwrap().push(Run {
        at,
        runner: shared.id.clone(),
        service: shared.service.clone(),
        request: id.clone(),
    });
    let goes_on = if path.starts_with("/stream") {
        stream(shared, exchange, &id)
    } else {
        plain(shared, exchange, &id)
    };
    shared.running.fetch_sub(1, Ordering::SeqCst);
    goes_on
}

fn report(shared: &Shared) -> String {
    let mut engine = shared.engine.lock().unwrap();
    engine.advance();
    let model = |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
    let models: Vec<String> = engine.models.iter().map(model).collect();
    format!(
        "{{\"stage\":\"both\",\"models\":[{}],\"busy_ratio\":{},\"call_seq\":{},\"waiting_count\":0,\
         \"running_count\":{},\"kv_used\":0,\"kv_total\":130679,\"handles\":0}}",
        models.join(","),
        engine.loading.is_some(),
        engine.orders,
        shared.running.load(Ordering::SeqCst)
    )
}

fn take_order(shared: &Shared, order: &str) -> u16 {
    let Some(load) = shared.work.load else {
        return 400;
    };
    let mut engine = shared.engine.lock().unwrap();
    engine.advance();
    let text = |key: &str| json::field(order, key).map(json::string).map(str::to_owned);
    let number = |key: &str| json::field(order, key).and_then(|text| text.parse::<u64>().ok());
    let (Some(operation), Some(model), Some(fence)) = (text("op"), text("model"), number("fence"))
    else {
        return 400;
    };
    if fence < engine.fence {
        return 412;
    }
    engine.fence = fence;
    let is_expected = number("expect_rev").is_none_or(|expected| expected == engine.orders);
    if !is_expected || engine.loading.is_some() {
        return 409;
    }
    match operation.as_str() {
        "load" if engine.models.contains(&model) => return 200,
        "load" => engine.loading = Some((model, Instant::now() + load)),
        "unload" => {
            engine.models.remove(&model);
        }
        _ => return 400,
    }
    engine.orders += 1;
    202
}

fn plain(shared: &Shared, exchange: &mut Exchange<'_>, id: &str) -> bool {
    std::thread::sleep(shared.work.plain);
    if shared.is_over.load(Ordering::SeqCst) {
        return false;
    }
    let stamp = format!("stamp.{}", shared.id);
    let headers = [
        ("X-Flaxward-Request-Id", id),
        ("X-Flaxward-Server-Stamp", stamp.as_str()),
        ("X-Flaxward-Weight-Versions", "1"),
        ("Keep-Alive", "timeout=5"),
    ];
    let body = format!("answer of {} ({}) to {id}", shared.id, shared.service);
    exchange.answer(200, &headers, body.as_bytes())
}

/// Streams the events after the last one that the client has. The data of an event names its number and the
/// software version that wrote it.
fn stream(shared: &Shared, exchange: &mut Exchange<'_>, id: &str) -> bool {
    let last = exchange.request.header("Last-Event-Id");
    let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Flaxward-Request-Id: {id}\r\nX-Flaxward-Server-Stamp: stamp.{}\r\n\
         X-Flaxward-Weight-Versions: 1\r\n\r\n",
        shared.id
    );
    if exchange.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in last + 1..=shared.work.events {
        std::thread::sleep(shared.work.event_gap);
        if shared.is_over.load(Ordering::SeqCst) {
            return false;
        }
        let event = format!("id: {number}\ndata: {number} {}\n\n", shared.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if exchange.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    exchange.stream.write_all(b"0\r\n\r\n").is_ok()
}
