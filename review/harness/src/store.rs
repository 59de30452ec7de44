//! A stand-in of the platform's store: objects by kind and name, one counter of revisions, conditions, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Server, answer};
use crate::json::{Json, number, object, text};
use crate::lock;

#[derive(Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    events: Vec<(u64, String, bool, Json)>,
}

#[derive(Default)]
struct Shared {
    contents: Mutex<Contents>,
    changed: Condvar,
}

pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
    _server: Server,
}

impl Contents {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.get("spec") == Some(&spec)
        {
            return known.clone();
        }
        self.revision += 1;
        let metadata = object([
            ("name", text(name)),
            ("rev", number(self.revision)),
            ("created", number(1)),
            ("finalizers", Json::List(Vec::new())),
            ("deletion_pending", Json::Bool(false)),
        ]);
        let made = object([
            ("metadata", metadata),
            ("spec", spec),
            ("status", Json::Null),
        ]);
        self.objects.insert(key, made.clone());
        self.events
            .push((self.revision, kind.to_owned(), false, made.clone()));
        made
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(
            any,
            Arc::new(move |request, out| serve(&serving, &request, out)),
        )?;
        Ok(Self {
            shared,
            address: server.address,
            _server: server,
        })
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        lock(&self.shared.contents).put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut contents = lock(&self.shared.contents);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(gone) = contents.objects.remove(&key) {
            contents.revision += 1;
            let revision = contents.revision;
            contents
                .events
                .push((revision, kind.to_owned(), true, gone));
        }
        drop(contents);
        self.shared.changed.notify_all();
    }
}

fn send(out: &mut TcpStream, status: u16, body: &Json) -> bool {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
    answer(out, status, &headers, &body.to_string())
}

fn serve(shared: &Shared, request: &Message, out: &mut TcpStream) -> bool {
    let Some(rest) = request.path.strip_prefix("/v1/objects/") else {
        return send(out, 404, &Json::Null);
    };
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    match (request.method.as_str(), name) {
        ("GET", None) => match request.query("watch").and_then(|it| it.parse().ok()) {
            Some(after) => watch(shared, kind, after, request, out),
            None => {
                let contents = lock(&shared.contents);
                let objects = contents.objects.iter().filter(|((of, _), _)| of == kind);
                let items = objects.map(|(_, object)| object.clone()).collect();
                let listed = object([
                    ("items", Json::List(items)),
                    ("has_more", Json::Bool(false)),
                    ("at", number(contents.revision)),
                ]);
                drop(contents);
                send(out, 200, &listed)
            }
        },
        ("GET", Some(name)) => {
            let key = (kind.to_owned(), name.to_owned());
            let found = lock(&shared.contents).objects.get(&key).cloned();
            match found {
                Some(found) => send(out, 200, &found),
                None => send(out, 404, &Json::Null),
            }
        }
        ("POST" | "PUT", name) => change(shared, request, kind, name, out),
        _ => send(out, 400, &Json::Null),
    }
}

fn change(
    shared: &Shared,
    request: &Message,
    kind: &str,
    name: Option<&str>,
    out: &mut TcpStream,
) -> bool {
    let body = String::from_utf8_lossy(&request.body);
    let Some(body) = Json::parse(&body) else {
        return send(out, 400, &Json::Null);
    };
    let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
    let name = name.or(metadata.get("name").and_then(Json::as_text));
    let Some(name) = name else {
        return send(out, 400, &Json::Null);
    };
    let in_query = request.query("rev").and_then(|it| it.parse().ok());
    let expected = metadata.get("rev").and_then(Json::as_u64).or(in_query);
    let spec = body.get("spec").cloned().unwrap_or(Json::Null);
    let mut contents = lock(&shared.contents);
    let key = (kind.to_owned(), name.to_owned());
    let known = contents.objects.get(&key).cloned();
    let is_new = request.method == "POST";
    let answered = match known {
        Some(known) if is_new => (409, known),
        None if !is_new => (404, Json::Null),
        Some(known) => {
            let revision = known.get("metadata").and_then(|it| it.get("rev")?.as_u64());
            if expected.is_some() && expected != revision {
                (409, known)
            } else {
                (200, contents.put(kind, name, spec))
            }
        }
        None => (201, contents.put(kind, name, spec)),
    };
    drop(contents);
    shared.changed.notify_all();
    send(out, answered.0, &answered.1)
}

fn watch(shared: &Shared, kind: &str, after: u64, request: &Message, out: &mut TcpStream) -> bool {
    let wait = request.query("wait_ms").and_then(|it| it.parse().ok());
    let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
    let mut contents = lock(&shared.contents);
    loop {
        if after > contents.revision {
            drop(contents);
            return send(out, 410, &Json::Null);
        }
        let events = contents.events.iter();
        let events = events.filter(|(revision, of, _, _)| *revision > after && of == kind);
        let events: Vec<Json> = events
            .map(|(_, _, gone, it)| object([("gone", Json::Bool(*gone)), ("object", it.clone())]))
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let at = number(contents.revision);
            drop(contents);
            return send(
                out,
                200,
                &object([("events", Json::List(events)), ("at", at)]),
            );
        }
        contents = match shared.changed.wait_timeout(contents, left) {
            Ok((contents, _)) => contents,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}
