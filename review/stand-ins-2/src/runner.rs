//! Runners, as PROTOCOL.md tells them.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Exchange, Server, listen, listen_again, serve};
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Time after a crash in which the entry of the runner goes away.
const ENTRY_LIFE: Duration = Duration::from_millis(1_500);

/// What a runner does.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Least time until the first event of a stream, and how much longer it may take.
    pub first_event: Duration,
    pub first_event_spread: Duration,
    /// Number of events of a stream, and the time between two of them.
    pub events: u64,
    pub event_gap: Duration,
    /// Model that the engine holds at first, and the time to load it after a crash; `None` without an engine.
    pub model: Option<(&'static str, Duration)>,
    /// Whether it starts again under its id, so that its entry names its start.
    pub keeps_id: bool,
    /// A part of a prompt that crashes the runner as it begins to write, and the time until it is back.
    pub crashing_part: Option<(&'static str, Duration)>,
}

impl Work {
    /// How much longer a request takes to its first event: its prompt is read beside others.
    fn drawn_delay(&self, id: &str) -> Duration {
        let step = |known: u64, byte: u8| {
            let mixed = known ^ u64::from(byte);
            mixed.wrapping_mul(0x0000_0100_0000_01b3).rotate_left(29)
        };
        let drawn = id.bytes().fold(0xcbf2_9ce4_8422_2325, step) % 1_000;
        self.first_event_spread.mul_f64(drawn as f64 / 1_000.0)
    }
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

    fn models(&self) -> String {
        let model =
            |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        let models: Vec<String> = self.models.iter().map(model).collect();
        models.join(",")
    }
}

struct Shared {
    id: String,
    service: String,
    version: String,
    zone: String,
    work: Work,
    born_ms: u128,
    is_over: AtomicBool,
    running: AtomicU64,
    engine: Mutex<Engine>,
    server: Mutex<Option<(Server, SocketAddr)>>,
    crashes: Arc<Mutex<Vec<f64>>>,
    store: Store,
    record: Record,
}

/// A running runner, and those that come after it.
pub struct Runner {
    /// When it has crashed.
    pub crashes: Arc<Mutex<Vec<f64>>>,
    shared: Arc<Shared>,
}

/// How a runner crashes behind a cut from the store, and starts again. All times are from the begin of the cut.
#[derive(Clone, Copy)]
pub struct Rebirth {
    pub crash_after: Duration,
    pub start_after: Duration,
    /// Software version of the process that starts.
    pub version: &'static str,
    /// When the entry in the store lapses, and when the cut ends.
    pub lapse_after: Duration,
    pub heal_after: Duration,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        zone: &str,
        work: Work,
        store: &Store,
        record: &Record,
    ) -> Self {
        let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
        let model = work.model.map(|(model, _)| model.to_owned());
        let engine = Engine {
            models: model.into_iter().collect(),
            ..Engine::default()
        };
        let shared = Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            work,
            born_ms: unix_ms(),
            is_over: AtomicBool::new(false),
            running: AtomicU64::new(0),
            engine: Mutex::new(engine),
            server: Mutex::default(),
            crashes: crashes.clone(),
            store: store.clone(),
            record: record.clone(),
        }
        .open();
        Self { crashes, shared }
    }

    /// Crashes while it is cut off from the store. The next process has its id and its address.
    pub fn crash_behind_cut(&self, rebirth: Rebirth) {
        let cut_at = Instant::now();
        let wait_until =
            |after: Duration| std::thread::sleep(after.saturating_sub(cut_at.elapsed()));
        let (id, store, record) = (&self.shared.id, &self.shared.store, &self.shared.record);
        record.line(&format!("runner {id} is cut off from the store"));
        wait_until(rebirth.crash_after);
        let Some(address) = self.shared.end() else {
            return;
        };
        wait_until(rebirth.start_after);
        let listener = listen_again(address);
        let next = self.shared.next(id.clone(), rebirth.version);
        let next = Shared {
            born_ms: unix_ms(),
            ..next
        };
        let next = next.listen_at(listener).0;
        wait_until(rebirth.lapse_after);
        store.remove("servers", id);
        record.line(&format!("the entry of runner {id} has lapsed"));
        wait_until(rebirth.heal_after);
        next.write_entry(address);
        record.line(&format!("runner {id} reaches the store again"));
    }
}

fn unix_ms() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis())
}

impl Shared {
    /// Serves, and writes its entry.
    fn open(self) -> Arc<Self> {
        let (shared, address) = self.listen_at(listen());
        shared.write_entry(address);
        if shared.work.model.is_none() {
            return shared;
        }
        let beating = shared.clone();
        std::thread::spawn(move || {
            while !beating.is_over.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(250));
                beating.write_entry(address);
            }
            std::thread::sleep(ENTRY_LIFE);
            beating.store.remove("servers", &beating.id);
        });
        shared
    }

    fn listen_at(self, listener: TcpListener) -> (Arc<Self>, SocketAddr) {
        let shared = Arc::new(self);
        let address = listener.local_addr().expect("an address");
        let serving = shared.clone();
        let server = serve(listener, move |exchange| answer(&serving, exchange));
        *shared.server.lock().unwrap() = Some((server, address));
        let line = format!(
            "runner {} of version {} starts at {address}",
            shared.id, shared.version
        );
        shared.record.line(&line);
        (shared, address)
    }

    /// Its entry of kind `servers`, which changes as models come.
    fn write_entry(&self, address: SocketAddr) {
        let engine = match self.work.model {
            None if self.work.keeps_id => format!(",\"born\":{}", self.born_ms),
            None => String::new(),
            Some(_) => {
                let mut engine = self.engine.lock().unwrap();
                engine.advance();
                let (models, born) = (engine.models(), self.born_ms);
                format!(",\"stage\":\"both\",\"models\":[{models}],\"born\":{born}")
            }
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0{engine}}}",
            self.service, self.zone, self.version
        );
        if !self.is_over.load(Ordering::SeqCst) {
            self.store.put_if_other("servers", &self.id, &entry);
        }
    }

    /// Ends the process of the runner, if it has not ended. Returns where it has listened.
    fn end(&self) -> Option<SocketAddr> {
        if self.is_over.swap(true, Ordering::SeqCst) {
            return None;
        }
        let (server, address) = self.server.lock().unwrap().take()?;
        server.close(address);
        let at = self.record.seconds();
        self.record
            .line_at(at, &format!("runner {} has crashed", self.id));
        self.crashes.lock().unwrap().push(at);
        Some(address)
    }

    /// The process that takes its place, without models.
    fn next(&self, id: String, version: &str) -> Self {
        Self {
            id,
            service: self.service.clone(),
            version: version.to_owned(),
            zone: self.zone.clone(),
            work: self.work.clone(),
            born_ms: 0,
            is_over: AtomicBool::new(false),
            running: AtomicU64::new(0),
            engine: Mutex::default(),
            server: Mutex::default(),
            crashes: self.crashes.clone(),
            store: self.store.clone(),
            record: self.record.clone(),
        }
    }

    /// Ends the process of the runner. Another one takes its place, under an id of its own.
    fn crash(&self, down: Duration) {
        if self.end().is_none() {
            return;
        }
        let (base, life) = self.id.rsplit_once('.').unwrap_or((&self.id, "0"));
        let id = format!("{base}.{}", life.parse().unwrap_or(0) + 1);
        let next = self.next(id, &self.version);
        std::thread::spawn(move || {
            std::thread::sleep(down);
            Shared {
                born_ms: unix_ms(),
                ..next
            }
            .open();
        });
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
    let headers = [("X-Flaxward-Request-Id", id.as_str())];
    let expected = request.header("X-Flaxward-Expect-Instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        return exchange.answer(421, &headers, b"");
    }
    if shared.work.model.is_some() {
        let mut engine = shared.engine.lock().unwrap();
        engine.advance();
        let model = request.header("X-Flaxward-Model").unwrap_or("");
        if !engine.models.contains(model) {
            drop(engine);
            return exchange.answer(421, &headers, b"");
        }
    }
    shared.running.fetch_add(1, Ordering::SeqCst);
    shared
        .record
        .line(&format!("request {id} runs at {}", shared.id));
    let goes_on = stream(shared, exchange, &id);
    shared.running.fetch_sub(1, Ordering::SeqCst);
    goes_on
}

fn report(shared: &Shared) -> String {
    let mut engine = shared.engine.lock().unwrap();
    engine.advance();
    format!(
        "{{\"born\":{},\"stage\":\"both\",\"models\":[{}],\"busy_ratio\":{},\"call_seq\":{},\"waiting_count\":0,\
         \"running_count\":{},\"kv_used\":0,\"kv_total\":129500,\"handles\":0}}",
        shared.born_ms,
        engine.models(),
        engine.loading.is_some(),
        engine.orders,
        shared.running.load(Ordering::SeqCst)
    )
}

fn take_order(shared: &Shared, order: &str) -> u16 {
    let Some((_, load)) = shared.work.model else {
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
    shared
        .record
        .line(&format!("order {operation} {model} to {}", shared.id));
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

/// Streams the events after the last one that the client has. The data of an event names its number and the
/// software version that wrote it.
fn stream(shared: &Shared, exchange: &mut Exchange<'_>, id: &str) -> bool {
    let last = exchange.request.header("Last-Event-Id");
    let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    let prompt = exchange
        .request
        .header("X-Flaxward-Prompt-Prefix")
        .unwrap_or("");
    let crash = shared
        .work
        .crashing_part
        .filter(|(part, _)| prompt.contains(part));
    std::thread::sleep(shared.work.first_event + shared.work.drawn_delay(id));
    if let Some((_, down)) = crash {
        shared.crash(down);
    }
    if shared.is_over.load(Ordering::SeqCst) {
        return false;
    }
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
        let event = format!("id: {number}\ndata: {number} {}\n\n", shared.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if exchange.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        std::thread::sleep(shared.work.event_gap);
        if shared.is_over.load(Ordering::SeqCst) {
            return false;
        }
    }
    exchange.stream.write_all(b"0\r\n\r\n").is_ok()
}
