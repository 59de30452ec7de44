//! Callers: what they send, and what they see.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::setup::{MODELS, PLAIN_TIMEOUT, STREAM_TIMEOUT};
use flaxward_platform_stand_in::caller::{is_response_to, prompt_parts, request_headers};
use flaxward_platform_stand_in::{WorkKind, event_count};
use reqwest::{Client, Response, StatusCode};

/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Body of most requests: many callers ask for the same.
pub const COMMON_BODY: &str = "the body";
/// Time after the deadline at which a caller no longer waits.
const LAST_PATIENCE: Duration = Duration::from_secs(3);

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Identity of the request.
    pub request: String,
    /// Path.
    pub path: String,
    /// What its kind of request is like.
    pub kind: WorkKind,
    /// The model, if the service has an engine.
    pub model: Option<String>,
    /// The body.
    pub body: String,
    /// The parts of the prompt, if it is told.
    pub parts: Vec<u64>,
    /// Time for an answer.
    pub deadline: Duration,
    /// The key of a tenant, if the route needs one.
    pub key: Option<String>,
}

impl Ask {
    /// A request like most of a route: for the common model if it has an engine, and without a key.
    pub fn new(request: String, path: &str, kind: WorkKind) -> Self {
        let is_stream = matches!(kind, WorkKind::Stream { .. });
        Self {
            request,
            path: path.to_owned(),
            kind,
            model: is_stream.then(|| MODELS[0].to_owned()),
            body: COMMON_BODY.to_owned(),
            parts: Vec::new(),
            deadline: if is_stream {
                STREAM_TIMEOUT
            } else {
                PLAIN_TIMEOUT
            },
            key: None,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Whole and its own.
    Served,
    /// A success that is not whole, or not its own.
    Wrong(String),
    /// Another status than success.
    Refused(u16),
    /// No connection came about.
    Unreached,
    /// The connection ended without a whole answer.
    Broken,
    /// Nothing came.
    Silent,
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was asked.
    pub ask: Ask,
    /// The daemon that was asked.
    pub daemon: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// When the head of an answer came, if one did.
    pub answered_at: Option<Instant>,
    /// How.
    pub ending: Ending,
}

/// Sends a request to a daemon.
pub async fn send(client: &Client, ask: Ask, daemon: usize, address: SocketAddr) -> Outcome {
    let sent_at = Instant::now();
    let mut answered_at = None;
    let asking = asked(client, &ask, address, &mut answered_at);
    let ending = tokio::time::timeout(ask.deadline + LAST_PATIENCE, asking).await;
    Outcome {
        daemon,
        sent_at,
        ended_at: Instant::now(),
        answered_at,
        ending: ending.unwrap_or(Ending::Silent),
        ask,
    }
}

async fn asked(
    client: &Client,
    ask: &Ask,
    address: SocketAddr,
    answered_at: &mut Option<Instant>,
) -> Ending {
    let headers = request_headers(&ask.request, ask.deadline, ask.model.as_deref());
    let mut request = client
        .post(format!("http://{address}{}", ask.path))
        .headers(headers)
        .header("host", HOST)
        .body(ask.body.clone());
    if !ask.parts.is_empty() {
        let (name, value) = prompt_parts(&ask.parts);
        request = request.header(name, value);
    }
    if let Some(key) = &ask.key {
        request = request.bearer_auth(key);
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Ending::Unreached,
        Err(_) => return Ending::Broken,
    };
    *answered_at = Some(Instant::now());
    if response.status() != StatusCode::OK {
        return Ending::Refused(response.status().as_u16());
    }
    whole(ask, response).await
}

async fn whole(ask: &Ask, response: Response) -> Ending {
    if !is_response_to(response.headers(), &ask.request) {
        return Ending::Wrong("the answer of another request".to_owned());
    }
    let Ok(body) = response.text().await else {
        return Ending::Broken;
    };
    let expected = match ask.kind {
        WorkKind::Stream { .. } => stream_text(&ask.request),
        WorkKind::Repeatable | WorkKind::AtMostOnce => format!("answer to {}", ask.request),
    };
    if body == expected {
        Ending::Served
    } else {
        let got = body.lines().last().unwrap_or_default();
        Ending::Wrong(format!("{} bytes, the last line {got:?}", body.len()))
    }
}

/// The whole stream of a request.
fn stream_text(request: &str) -> String {
    let events = (1..=event_count(request)).map(|id| format!("id: {id}\ndata: {request}\n\n"));
    events.collect()
}
