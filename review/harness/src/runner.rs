//! Stand-ins of runners. Each start is a new life: a new id in the list, no model, a count of orders from 0. What a runner
//! had loaded before is on its disk and loads sooner.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Server, answer};
use crate::json::{Json, number, object, text};
use crate::lock;
use crate::record::Record;
use crate::store::Store;

const REQUEST_ID: &str = "X-Flaxward-Request-Id";
const STAMP: &str = "X-Flaxward-Server-Stamp";
const NOT_RUN: &str = "X-Flaxward-Not-Run";
/// Three heartbeats of 1,200 ms, after which the entry of a runner that says nothing goes away.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);

/// What the runners of a service do.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    /// Whether it runs models, and needs orders to load them.
    pub has_engine: bool,
    pub load: Duration,
    pub disk_load: Duration,
    /// Time until the first event, and between two events.
    pub prefill: Duration,
    pub step: Duration,
    /// Time that a request takes which is not a stream.
    pub work: Duration,
    /// The part of prompts, in hex, that crashes a runner which begins to write an answer on it.
    pub crashing_part: Option<String>,
    /// How long a runner is away after a crash.
    pub down: Duration,
}

/// A request that a runner has got and did not turn away.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub request: String,
    pub runner: String,
    pub service: String,
    pub prompt: String,
}

struct Life {
    id: String,
    born: u64,
    models: BTreeSet<String>,
    loading: Option<(String, Instant)>,
    orders: u64,
    fence: u64,
    running: u32,
    is_draining: bool,
    is_listed: bool,
}

/// All runners, with what they share.
pub struct Runners {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Times of crashes.
    pub crashes: Mutex<Vec<f64>>,
    lives: AtomicU64,
}

pub struct Runner {
    pub kind: Kind,
    shared: Arc<Runners>,
    address: Mutex<Option<SocketAddr>>,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    disk: Mutex<BTreeSet<String>>,
}

impl Runners {
    pub fn new(record: Arc<Record>, store: Arc<Store>) -> Arc<Self> {
        Arc::new(Self {
            record,
            store,
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            lives: AtomicU64::new(0),
        })
    }

    /// Adds a runner that holds some models.
    pub fn add(self: &Arc<Self>, kind: &Kind, models: &[&str]) -> io::Result<Arc<Runner>> {
        let runner = Arc::new(Runner {
            kind: kind.clone(),
            shared: self.clone(),
            address: Mutex::default(),
            life: Mutex::default(),
            server: Mutex::default(),
            disk: Mutex::default(),
        });
        runner.start(models)?;
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(250));
                beating.beat();
            }
        });
        Ok(runner)
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0))
}

impl Life {
    fn advance(&mut self, disk: &Mutex<BTreeSet<String>>) {
        if let Some((model, _)) = self.loading.take_if(|(_, done)| *done <= Instant::now()) {
            lock(disk).insert(model.clone());
            self.models.insert(model);
        }
    }

    fn models(&self) -> Json {
        let model = |name: &String| {
            object([
                ("name", text(name)),
                ("version", number(1)),
                ("adapters", Json::List(Vec::new())),
            ])
        };
        Json::List(self.models.iter().map(model).collect())
    }
}

impl Runner {
    fn start(self: &Arc<Self>, models: &[&str]) -> io::Result<()> {
        let number = self.shared.lives.fetch_add(1, Ordering::SeqCst);
        let models: BTreeSet<String> = models.iter().map(|it| (*it).to_owned()).collect();
        lock(&self.disk).extend(models.iter().cloned());
        let life = Life {
            id: format!("i-{:06x}", 0x00a0_0000 + number),
            born: unix_ms(),
            models,
            loading: None,
            orders: 0,
            fence: 0,
            running: 0,
            is_draining: false,
            is_listed: true,
        };
        let id = life.id.clone();
        *lock(&self.life) = Some(life);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = lock(&self.address).unwrap_or(any);
        let serving = self.clone();
        let own = id.clone();
        let handler =
            move |request: Message, out: &mut TcpStream| serving.serve(&own, request, out);
        let server = Server::start(address, Arc::new(handler))?;
        *lock(&self.address) = Some(server.address);
        *lock(&self.server) = Some(server);
        self.shared
            .record
            .note(format!("runner {id} of {} starts", self.kind.service));
        self.beat();
        Ok(())
    }

    /// Writes its entry; the store notes no change if it is the same.
    fn beat(&self) {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut() else {
            return;
        };
        life.advance(&self.disk);
        if !life.is_listed {
            return;
        }
        let address = lock(&self.address).map(|it| it.to_string());
        let entry = object([
            ("service", text(&self.kind.service)),
            ("address", text(address.unwrap_or_default())),
            ("zone", text(&self.kind.zone)),
            ("version", text(&self.kind.version)),
            ("slots", number(self.kind.slots)),
            (
                "state",
                text(if life.is_draining {
                    "draining"
                } else {
                    "ready"
                }),
            ),
            ("cold_left_ms", number(0)),
            ("stage", text("both")),
            ("models", life.models()),
            ("born", number(life.born)),
            ("call_seq", number(0)),
        ]);
        self.shared.store.put("servers", &life.id, entry);
    }

    /// It plans to end, and says so or lets its entry go away. It serves on. Returns its id.
    pub fn leave(&self, has_word: bool) -> String {
        let id = {
            let mut life = lock(&self.life);
            let Some(life) = life.as_mut() else {
                return String::new();
            };
            life.is_draining = true;
            life.is_listed = has_word;
            life.id.clone()
        };
        if has_word {
            self.beat();
        } else {
            self.shared.store.remove("servers", &id);
        }
        id
    }

    /// It ends without a word, and is back some time later at its address.
    fn crash(self: &Arc<Self>, id: &str) {
        let mut life = lock(&self.life);
        if life.as_ref().is_none_or(|life| life.id != id) {
            return;
        }
        *life = None;
        drop(life);
        let shared = &self.shared;
        lock(&shared.crashes).push(shared.record.now());
        shared.record.note(format!("runner {id} crashes"));
        let server = lock(&self.server).take();
        if let Some(mut server) = server {
            server.kill();
        }
        let (runner, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFE);
            runner.shared.store.remove("servers", &id);
        });
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(runner.kind.down);
            if let Err(error) = runner.start(&[]) {
                runner
                    .shared
                    .record
                    .tell(format!("a runner did not start: {error}"));
            }
        });
    }

    fn serve(self: &Arc<Self>, own: &str, request: Message, out: &mut TcpStream) -> bool {
        if request.path == "/v1/report" {
            return self.report(own, out);
        }
        if request.path == "/health" {
            let is_draining = lock(&self.life).as_ref().is_some_and(|it| it.is_draining);
            let status = if is_draining { 503 } else { 200 };
            return answer(out, status, &[("X-Flaxward-Instance-Id", own)], "");
        }
        let request_id = request.header("x-flaxward-request-id").unwrap_or_default();
        let expected = request.header("x-flaxward-expect-instance");
        if expected.is_some_and(|it| it != own) {
            let headers = [("X-Flaxward-Instance-Id", own), (REQUEST_ID, request_id)];
            return answer(out, 421, &headers, "");
        }
        if request.path == "/v1/order" {
            return self.order(own, &request, out);
        }
        if request_id.is_empty() {
            return answer(out, 400, &[(NOT_RUN, "1")], "");
        }
        self.run(own, &request, request_id, out)
    }

    fn report(&self, own: &str, out: &mut TcpStream) -> bool {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut().filter(|it| it.id == own) else {
            return false;
        };
        life.advance(&self.disk);
        let disk = lock(&self.disk).iter().map(text).collect();
        let available = object([
            ("resident", Json::List(Vec::new())),
            ("disk_cached", Json::List(disk)),
        ]);
        let report = object([
            ("born", number(life.born)),
            ("stage", text("both")),
            ("models", life.models()),
            ("available", available),
            ("busy_ratio", Json::Bool(life.loading.is_some())),
            ("call_seq", number(life.orders)),
            ("waiting_count", number(0)),
            ("running_count", number(life.running)),
            ("kv_used", number(0)),
            ("kv_total", number(130_679)),
            ("handles", number(0)),
            ("pending", Json::List(Vec::new())),
        ]);
        answer(
            out,
            200,
            &[("Content-Type", "application/json")],
            &report.to_string(),
        )
    }

    fn order(&self, own: &str, request: &Message, out: &mut TcpStream) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let field = |name: &str| body.get(name).and_then(Json::as_text).unwrap_or_default();
        let fence = body.get("fence").and_then(Json::as_u64);
        let (Some(fence), false) = (fence, field("holder").is_empty()) else {
            return answer(out, 400, &[], "");
        };
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut().filter(|it| it.id == own) else {
            return false;
        };
        life.advance(&self.disk);
        let note = |status: u16| {
            let text = format!(
                "order {} {} to {own} by {} fence {fence}: {status}",
                field("op"),
                field("model"),
                field("holder")
            );
            self.shared.record.note(text);
        };
        if fence < life.fence {
            note(412);
            return answer(out, 412, &[], "");
        }
        life.fence = fence;
        let expected = body.get("expect_rev").and_then(Json::as_u64);
        if expected.is_some_and(|it| it != life.orders) || life.loading.is_some() {
            note(409);
            return answer(out, 409, &[], "");
        }
        let model = field("model").to_owned();
        match field("op") {
            "load" if life.models.contains(&model) => {
                note(200);
                return answer(out, 200, &[], "");
            }
            "load" => {
                let is_on_disk = lock(&self.disk).contains(&model);
                let time = if is_on_disk {
                    self.kind.disk_load
                } else {
                    self.kind.load
                };
                life.loading = Some((model, Instant::now() + time));
            }
            "unload" => {
                life.models.remove(&model);
            }
            _ => return answer(out, 400, &[], ""),
        }
        life.orders += 1;
        note(202);
        answer(out, 202, &[], "")
    }

    fn run(self: &Arc<Self>, own: &str, request: &Message, id: &str, out: &mut TcpStream) -> bool {
        {
            let mut life = lock(&self.life);
            let Some(life) = life.as_mut().filter(|it| it.id == own) else {
                return false;
            };
            life.advance(&self.disk);
            let model = request.header("x-flaxward-model").unwrap_or_default();
            if self.kind.has_engine && !life.models.contains(model) {
                let headers = [("X-Flaxward-Instance-Id", own), (REQUEST_ID, id)];
                return answer(out, 421, &headers, "");
            }
            if life.running >= self.kind.slots {
                return answer(out, 503, &[(NOT_RUN, "1"), (REQUEST_ID, id)], "");
            }
            life.running += 1;
        }
        let prompt = request
            .header("x-flaxward-prompt-prefix")
            .unwrap_or_default();
        let shared = &self.shared;
        lock(&shared.arrivals).push(Arrival {
            at: shared.record.now(),
            request: id.to_owned(),
            runner: own.to_owned(),
            service: self.kind.service.clone(),
            prompt: prompt.to_owned(),
        });
        let after = request.header("last-event-id").unwrap_or("-");
        shared.record.note(format!(
            "runner {own} gets {id} prompt {prompt} after {after}"
        ));
        let is_kept = if request.header("x-flaxward-token-counts").is_some() {
            self.stream(own, request, id, prompt, out)
        } else {
            thread::sleep(self.kind.work);
            let stamp = format!("{own}.{id}");
            answer(
                out,
                200,
                &[(REQUEST_ID, id), (STAMP, &stamp)],
                &format!("done {id}"),
            )
        };
        if let Some(life) = lock(&self.life).as_mut().filter(|it| it.id == own) {
            life.running -= 1;
        }
        is_kept
    }

    fn stream(
        self: &Arc<Self>,
        own: &str,
        request: &Message,
        id: &str,
        prompt: &str,
        out: &mut TcpStream,
    ) -> bool {
        thread::sleep(self.kind.prefill);
        let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
        let bad = self.kind.crashing_part.as_deref();
        if bad.is_some_and(|bad| parts.any(|part| part == bad)) {
            self.crash(own);
            return false;
        }
        // An event of a stream holds two tokens.
        let counts = request
            .header("x-flaxward-token-counts")
            .unwrap_or_default();
        let tokens = counts
            .split_once(',')
            .and_then(|(_, out)| out.trim().parse().ok());
        let events: u64 = tokens.unwrap_or(20) / 2;
        let after = request
            .header("last-event-id")
            .and_then(|it| it.parse().ok());
        let first: u64 = after.map_or(1, |after: u64| after + 1);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{STAMP}: {own}.{id}\r\nX-Flaxward-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..=events {
            let text = format!("id: {event}\ndata: {} {event}\n\n", self.kind.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                self.shared
                    .record
                    .note(format!("runner {own}: {id} is closed at event {event}"));
                return false;
            }
            thread::sleep(self.kind.step);
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    }
}
