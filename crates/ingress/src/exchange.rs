//! One attempt at one runner, up to the head of its answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::attempt::Failure;
use flaxward_routing::configuration::RouteKind;
use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::health::Observation;
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::names::Unit;
use flaxward_routing::request::RequestProfile;
use flaxward_routing::runners::Runner;
use flaxward_routing::tenants::Tenant;
use http::header::{CONNECTION, CONTENT_ENCODING, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, Method, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::outside::{HeadKind, Passage};
use crate::permits::Admission;
use crate::pool::{Connection, SendError};
use crate::state::{InFlight, Shared};

/// Bodies longer than this may still be on their way when an early answer comes.
const SURELY_SENT_BYTES: usize = 4 * 1024;

/// A request of a client, read whole.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub method: Method,
    /// The host that the client named.
    pub host: String,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub profile: RequestProfile,
    pub kind: RouteKind,
    pub priority: u8,
    /// Where it may be served, by the configuration under which it came.
    pub homes: Homes,
    pub tenant: Option<Arc<Tenant>>,
    pub unit: Option<Unit>,
    pub deadline: Instant,
    /// Found when it is first asked for: most requests never need it.
    pub fingerprint: OnceLock<RequestFingerprint>,
}

impl ClientRequest {
    /// What stays the same when the client tries again.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::of(&RequestContent {
                method: self.method.as_str(),
                host: &self.host,
                target: self
                    .uri
                    .path_and_query()
                    .map_or("", |target| target.as_str()),
                tenant: self.tenant.as_ref().map(|tenant| &tenant.name),
                body: &self.body,
            })
        })
    }

    /// The unit that it needs and where, if it needs one.
    pub(crate) fn requirement(&self) -> Option<Requirement> {
        Some(Requirement {
            unit: self.unit.clone()?,
            homes: self.homes.clone(),
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A runner's answer, of which the head has come.
pub(crate) struct Exchange {
    pub head: http::response::Parts,
    pub body: Incoming,
    pub connection: Option<Connection>,
    pub runner: Runner,
    pub in_flight: InFlight,
    pub weights_version: Option<u64>,
}

/// Where a stream is continued.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Continuation<'a> {
    pub last_event: Option<&'a str>,
    pub weights_version: Option<u64>,
}

/// An attempt that came to no answer which can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    pub failure: Failure,
    /// The runner cannot be reached or does not behave, so its health suffers.
    pub observation: Option<Observation>,
}

impl FailedAttempt {
    /// One that was not begun, because a cold runner has no room.
    pub(crate) fn not_permitted() -> Self {
        Self::new(Failure::NotPermitted, None)
    }

    fn new(failure: Failure, observation: Option<Observation>) -> Self {
        Self {
            failure,
            observation,
        }
    }
}

/// Sends a request to a runner and waits for the head of the answer, until `patience` at most.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    admission: &Admission,
    continuation: Continuation<'_>,
    patience: Instant,
) -> Result<Exchange, FailedAttempt> {
    let in_flight = InFlight::begin(shared, &runner.id, request.unit.as_ref());
    let may_repeat = request.kind.may_repeat();
    let connecting = shared.pool.get(runner.address, may_repeat);
    let Ok(Ok(mut connection)) = timeout_at(patience, connecting).await else {
        let observation = Some(Observation::Unreachable);
        return Err(FailedAttempt::new(Failure::NotSent, observation));
    };
    let outgoing = outgoing_request(shared, request, runner, continuation);
    // A daemon may have been suspended since it got its permit, and a runner may just have turned cold.
    if !shared.may_send(runner, admission) {
        shared.pool.put(connection);
        return Err(FailedAttempt::not_permitted());
    }
    let response = match timeout_at(patience, connection.send(outgoing)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(send_failure(&error, &connection)),
        Err(_) => {
            let observation = Some(Observation::Failure);
            return Err(FailedAttempt::new(Failure::Silent, observation));
        }
    };
    judge(shared, request, runner, connection, response, in_flight)
}

fn send_failure(error: &SendError, connection: &Connection) -> FailedAttempt {
    // A kept connection that ends is the runner's right; a new one that breaks is not.
    let observation = (!connection.is_reused()).then_some(Observation::Failure);
    match error {
        SendError::Refused | SendError::Connect | SendError::NotSent => {
            FailedAttempt::new(Failure::NotSent, observation)
        }
        SendError::Broken => FailedAttempt::new(Failure::Broken, observation),
    }
}

fn judge(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    connection: Connection,
    response: Response<Incoming>,
    in_flight: InFlight,
) -> Result<Exchange, FailedAttempt> {
    let (head, body) = response.into_parts();
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    let kind = shared
        .surface
        .judge(&request.profile.id, head.status, &head.headers);
    if matches!(kind, HeadKind::Answer | HeadKind::NotRun) {
        let notice = shared.surface.notice(head.status, &head.headers);
        shared.apply_notice(&runner.id, notice, in_flight.sent_at());
    }
    match kind {
        HeadKind::Answer if !is_encoded => {}
        HeadKind::NotRun => return Err(FailedAttempt::new(Failure::NotRun, None)),
        HeadKind::Misdirected => {
            if let Some(unit) = &request.unit {
                let now = shared.now();
                shared
                    .tables()
                    .runners
                    .record_absent_unit(&runner.id, unit, now);
            }
            return Err(FailedAttempt::new(Failure::Misdirected, None));
        }
        HeadKind::Answer | HeadKind::Foreign => {
            let observation = Some(Observation::Failure);
            return Err(FailedAttempt::new(Failure::Broken, observation));
        }
    }
    // An answer that comes before the body was taken in whole leaves the rest of it on the way.
    let is_early = !head.status.is_success() && request.body.len() > SURELY_SENT_BYTES;
    let weights_version = shared.surface.weights_version(&head.headers);
    Ok(Exchange {
        head,
        body,
        connection: (!is_early).then_some(connection),
        runner: runner.clone(),
        in_flight,
        weights_version,
    })
}

fn outgoing_request(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
    continuation: Continuation<'_>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.version_mut() = Version::HTTP_11;
    let mut headers = request.headers.clone();
    let passage = Passage {
        time_left: request.time_left(),
        runner: &runner.id,
        priority: request.priority,
        tenant: request.tenant.as_ref().map(|tenant| &tenant.name),
        last_event: continuation.last_event,
        weights_version: continuation.weights_version,
    };
    shared.surface.prepare(&mut headers, &passage);
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of their own.
const MORE_CONNECTION_HEADERS: [&str; 4] = [
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
];

/// Removes the headers that concern one connection only, those that `Connection` names included.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in MORE_CONNECTION_HEADERS {
        headers.remove(name);
    }
}
