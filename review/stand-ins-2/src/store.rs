//! The platform's store, as PROTOCOL.md tells it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Exchange, listen, serve};
use crate::json;

/// Time that an answer takes, at least and at most: the sheets say 4 ms.
const ANSWER_MICROS: (u64, u64) = (2_000, 8_000);

/// The time that the next answer takes.
fn answer_time() -> Duration {
    static DRAWN: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let (least, most) = ANSWER_MICROS;
    let step = |known: u64| {
        known
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1)
    };
    let known = DRAWN.fetch_add(0x2545_f491_4f6c_dd1d, Ordering::Relaxed);
    Duration::from_micros(least + (step(step(known)) >> 33) % (most - least))
}

struct Change {
    revision: u64,
    kind: String,
    is_gone: bool,
    object: String,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

impl Contents {
    fn object(name: &str, revision: u64, spec: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{revision},\"created\":1,\"finalizers\":[],\
             \"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let object = Self::object(name, self.revision, spec);
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, (self.revision, spec.to_owned()));
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            is_gone: false,
            object: object.clone(),
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = self.objects.remove(&key) {
            self.revision += 1;
            let object = Self::object(name, self.revision, &spec);
            self.changes.push(Change {
                revision: self.revision,
                kind: kind.to_owned(),
                is_gone: true,
                object,
            });
        }
    }

    fn list(&self, kind: &str) -> String {
        let of_kind = self.objects.iter().filter(|((it, _), _)| it == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, spec))| Self::object(name, *revision, spec))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn events_after(&self, kind: &str, after: u64) -> Option<String> {
        let later = self
            .changes
            .iter()
            .rev()
            .take_while(|it| it.revision > after);
        let mut events: Vec<String> = later
            .filter(|it| it.kind == kind)
            .map(|it| format!("{{\"gone\":{},\"object\":{}}}", it.is_gone, it.object))
            .collect();
        events.reverse();
        let events_text = events.join(",");
        (!events.is_empty())
            .then(|| format!("{{\"events\":[{events_text}],\"at\":{}}}", self.revision))
    }
}

#[derive(Default)]
struct Shared {
    contents: Mutex<Contents>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        serve(listener, move |exchange| answer(&serving, exchange));
        Self { address, shared }
    }

    /// Writes an object; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.contents.lock().unwrap().put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    /// The same, if it differs from what is there.
    pub fn put_if_other(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = self.shared.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if contents
            .objects
            .get(&key)
            .is_none_or(|(_, known)| known != spec)
        {
            contents.put(kind, name, spec);
            drop(contents);
            self.shared.changed.notify_all();
        }
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.contents.lock().unwrap().remove(kind, name);
        self.shared.changed.notify_all();
    }
}

fn number(query: &str, key: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    value.parse().ok()
}

fn answer(shared: &Shared, exchange: &mut Exchange<'_>) -> bool {
    let request = exchange.request.clone();
    let (method, target) = request.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(rest) = path.strip_prefix("/v1/objects/") else {
        return exchange.answer(404, &[], b"{}");
    };
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    let (status, body) = match (method, name) {
        ("GET", None) => match number(query, "watch") {
            Some(after) => watch(shared, kind, after, number(query, "wait_ms").unwrap_or(0)),
            None => (200, shared.contents.lock().unwrap().list(kind)),
        },
        ("GET", Some(name)) => {
            let contents = shared.contents.lock().unwrap();
            let key = (kind.to_owned(), name.to_owned());
            match contents.objects.get(&key) {
                Some((revision, spec)) => (200, Contents::object(name, *revision, spec)),
                None => (404, "{}".to_owned()),
            }
        }
        ("POST" | "PUT", name) => write(shared, kind, name, &request.body),
        _ => (405, "{}".to_owned()),
    };
    std::thread::sleep(answer_time());
    exchange.answer(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

fn watch(shared: &Shared, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut contents = shared.contents.lock().unwrap();
    loop {
        if let Some(events) = contents.events_after(kind, after) {
            return (200, events);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let at = contents.revision;
            return (200, format!("{{\"events\":[],\"at\":{at}}}"));
        }
        contents = shared.changed.wait_timeout(contents, left).unwrap().0;
    }
}

fn write(shared: &Shared, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, String) {
    let text = String::from_utf8_lossy(body).into_owned();
    let (Some(metadata), Some(spec)) = (json::field(&text, "metadata"), json::field(&text, "spec"))
    else {
        return (400, "{}".to_owned());
    };
    let named = json::field(metadata, "name").map(json::string);
    let Some(name) = name.or(named) else {
        return (400, "{}".to_owned());
    };
    let expected: Option<u64> = json::field(metadata, "rev").and_then(|text| text.parse().ok());
    let mut contents = shared.contents.lock().unwrap();
    let key = (kind.to_owned(), name.to_owned());
    let known = contents.objects.get(&key).cloned();
    let is_create = expected.is_none();
    match known {
        Some((revision, spec)) if is_create || expected != Some(revision) => {
            return (409, Contents::object(name, revision, &spec));
        }
        None if !is_create => return (404, "{}".to_owned()),
        _ => {}
    }
    let object = contents.put(kind, name, spec);
    drop(contents);
    shared.changed.notify_all();
    (if is_create { 201 } else { 200 }, object)
}
