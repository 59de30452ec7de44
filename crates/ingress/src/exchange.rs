//! A single attempt at a runner, up to the response head.

use std::fmt::{self, Display};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use flaxward_answers::is_answer_status;
use flaxward_routing::attempt::Failure;
use flaxward_routing::configuration::RouteKind;
use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::health::Observation;
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::names::{SoftwareVersion, Unit};
use flaxward_routing::quarantine::Suspects;
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::request::RequestProfile;
use flaxward_routing::runner_paths::Path;
use flaxward_routing::runners::Runner;
use flaxward_routing::stream_origins::StreamKey;
use flaxward_routing::tenants::Tenant;
use http::header::{CONNECTION, CONTENT_ENCODING, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, Method, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::interfaces::{ForwardingContext, HeadKind};
use crate::network::ConnectError;
use crate::permits::Admission;
use crate::pool::{Connection, SendError};
use crate::rejections::RejectionClaim;
use crate::state::{InFlight, Shared};

/// Request bodies longer than this may still be in transit when an early response arrives.
const MAX_ASSUMED_SENT_BYTES: usize = 4 * 1024;

/// Maximum number of parts of one prompt that are suspected of crashing runners, which bounds the work for a request.
const MAX_SUSPECTED_PARTS: usize = 16;

/// A client request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub method: Method,
    /// The host that the client addressed.
    pub host: String,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub profile: RequestProfile,
    pub kind: RouteKind,
    pub priority: u8,
    /// Regions in which it may be served, by the configuration in force on its arrival.
    pub homes: Homes,
    pub tenant: Option<Arc<Tenant>>,
    pub unit: Option<Unit>,
    /// The only software version that the runner may have, if the request continues a stream.
    pub software_version: Option<SoftwareVersion>,
    /// The stream that the response begins or continues, if its client may take it up.
    pub stream: Option<StreamKey>,
    pub deadline: Instant,
    /// Computed on first use, because most requests never need it.
    pub fingerprint: OnceLock<RequestFingerprint>,
}

impl ClientRequest {
    /// Fingerprint of the request, which stays the same when the client retries.
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

    /// Fingerprints of the parts of the prompt that other requests may share. The last part is the request's own.
    fn part_fingerprints(&self) -> Vec<RequestFingerprint> {
        let parts = &self.profile.parts;
        let shared = parts.iter().take(parts.len().saturating_sub(1));
        shared
            .take(MAX_SUSPECTED_PARTS)
            .map(|part| RequestFingerprint::of_part(part.id))
            .collect()
    }

    /// What is suspected if a runner crashes while running the request.
    pub(crate) fn suspects(&self) -> Suspects {
        Suspects::new(self.fingerprint(), self.part_fingerprints())
    }

    /// The unit that the request needs, and the runners that may have it, if it needs one.
    pub(crate) fn requirement(&self) -> Option<Requirement> {
        Some(Requirement {
            unit: self.unit.clone()?,
            homes: self.homes.clone(),
            software_version: self.software_version.clone(),
        })
    }

    /// The same request, which from now on may only be sent to runners of a software version.
    pub(crate) fn bound_to(&self, version: &SoftwareVersion) -> Self {
        Self {
            software_version: Some(version.clone()),
            ..self.clone()
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A runner's response whose head has been received.
pub(crate) struct Exchange {
    pub head: http::response::Parts,
    pub body: Incoming,
    pub connection: Option<Connection>,
    /// What kind of connection it is, also when it may not be reused.
    pub connection_kind: AttemptConnection,
    pub runner: Runner,
    pub in_flight: InFlight,
    pub weights_version: Option<u64>,
}

/// The point from which a stream is continued.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Continuation<'a> {
    pub last_event: Option<&'a str>,
    pub weights_version: Option<u64>,
}

/// The connection of an attempt, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptConnection {
    /// The attempt was not made.
    Unused,
    /// None was established.
    None(ConnectError),
    /// It was opened for the attempt.
    New(Path),
    /// It had carried an earlier request.
    Reused(Path),
}

impl AttemptConnection {
    fn of(connection: &Connection) -> Self {
        if connection.is_reused() {
            Self::Reused(connection.path())
        } else {
            Self::New(connection.path())
        }
    }
}

impl Display for AttemptConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unused => "unused",
            Self::None(ConnectError::Refused) => "refused",
            Self::None(ConnectError::TimedOut) => "timed-out",
            Self::None(ConnectError::Failed) => "failed",
            Self::New(Path::Direct) => "new",
            Self::New(Path::Relay(_)) => "new-relayed",
            Self::Reused(Path::Direct) => "reused",
            Self::Reused(Path::Relay(_)) => "reused-relayed",
        })
    }
}

/// An attempt without a response that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    pub failure: Failure,
    pub connection: AttemptConnection,
    /// Health observation if the runner is unreachable or misbehaves.
    pub observation: Option<Observation>,
    /// The runner's limit of rejections, if it rejected the request and was known to have one.
    pub rejection_limit: Option<RequestRate>,
}

impl FailedAttempt {
    /// An attempt that was not started, because there was no valid permit for it.
    pub(crate) fn not_permitted() -> Self {
        Self::new(Failure::NotPermitted, None, AttemptConnection::Unused)
    }

    pub(crate) fn new(
        failure: Failure,
        observation: Option<Observation>,
        connection: AttemptConnection,
    ) -> Self {
        Self {
            failure,
            connection,
            observation,
            rejection_limit: None,
        }
    }
}

/// Sends a request to a runner and waits for the response head until `attempt_deadline`.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    admission: Admission,
    continuation: Continuation<'_>,
    attempt_deadline: Instant,
) -> Result<Exchange, FailedAttempt> {
    let mut in_flight = InFlight::begin(shared, &runner.id, request.unit.as_ref());
    let may_retry = request.kind.may_repeat();
    let connecting = shared.connection(runner.address, may_retry);
    let connected = timeout_at(attempt_deadline, connecting).await;
    let mut connection = match connected.unwrap_or(Err(ConnectError::TimedOut)) {
        Ok(connection) => connection,
        Err(error) => {
            if error == ConnectError::Refused {
                shared.record_down(&runner.id);
            }
            let observation = Some(Observation::Unreachable);
            let connection = AttemptConnection::None(error);
            return Err(FailedAttempt::new(
                Failure::NotSent,
                observation,
                connection,
            ));
        }
    };
    let kind = AttemptConnection::of(&connection);
    let outgoing = outgoing_request(shared, request, runner, continuation);
    // The daemon may have been suspended since it got its permit, or the runner may have become cold.
    if !shared.may_send(runner, &admission) {
        shared.pool.put(connection);
        return Err(FailedAttempt::not_permitted());
    }
    let Some(mut claim) = RejectionClaim::begin(shared, runner, &admission.concurrency) else {
        shared.pool.put(connection);
        return Err(FailedAttempt::not_permitted());
    };
    in_flight.keep_permit(admission.concurrency);
    let response = match timeout_at(attempt_deadline, connection.send(outgoing)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(send_failure(&error, &connection)),
        Err(_) => {
            if connection.path() == Path::Direct {
                shared.check_path(runner.address);
            }
            let observation = Some(Observation::Failure);
            return Err(FailedAttempt::new(Failure::Silent, observation, kind));
        }
    };
    shared.record_path_answer(&connection);
    let mut result = classify_response(shared, request, runner, connection, response, in_flight);
    if let Err(failed) = &mut result
        && failed.failure == Failure::NotRun
    {
        failed.rejection_limit = claim.record_rejection();
    }
    result
}

fn send_failure(error: &SendError, connection: &Connection) -> FailedAttempt {
    // A runner may close a kept-alive connection at any time; a new connection that breaks is a fault.
    let observation = (!connection.is_reused()).then_some(Observation::Failure);
    let failure = match error {
        SendError::NotSent => Failure::NotSent,
        SendError::Broken => Failure::Broken,
    };
    FailedAttempt::new(failure, observation, AttemptConnection::of(connection))
}

fn classify_response(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    connection: Connection,
    response: Response<Incoming>,
    mut in_flight: InFlight,
) -> Result<Exchange, FailedAttempt> {
    let (head, body) = response.into_parts();
    let connection_kind = AttemptConnection::of(&connection);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    let kind = if is_answer_status(head.status) {
        let surface = &shared.surface;
        surface.classify(&request.profile.id, head.status, &head.headers)
    } else {
        HeadKind::Foreign
    };
    if matches!(kind, HeadKind::Answer | HeadKind::NotRun) {
        let notice = shared.surface.notice(head.status, &head.headers);
        shared.apply_notice(runner, notice, in_flight.sent_at());
    }
    match kind {
        HeadKind::Answer if !is_encoded => {}
        HeadKind::NotRun => {
            in_flight.record_rejection();
            return Err(FailedAttempt::new(Failure::NotRun, None, connection_kind));
        }
        HeadKind::Misdirected => {
            if let Some(unit) = &request.unit {
                let now = shared.now();
                shared
                    .tables()
                    .runners
                    .record_absent_unit(&runner.id, unit, now);
            }
            return Err(FailedAttempt::new(
                Failure::Misdirected,
                None,
                connection_kind,
            ));
        }
        HeadKind::Answer | HeadKind::Foreign => {
            let observation = Some(Observation::Failure);
            return Err(FailedAttempt::new(
                Failure::Broken,
                observation,
                connection_kind,
            ));
        }
    }
    // If the response arrives before the body was read completely, the rest of the body is still in transit, so the
    // connection cannot be reused.
    let is_early = !head.status.is_success() && request.body.len() > MAX_ASSUMED_SENT_BYTES;
    let weights_version = shared.surface.weights_version(&head.headers);
    Ok(Exchange {
        head,
        body,
        connection: (!is_early).then_some(connection),
        connection_kind,
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
    let context = ForwardingContext {
        time_left: request.time_left(),
        runner: &runner.id,
        priority: request.priority,
        tenant: request.tenant.as_ref().map(|tenant| &tenant.name),
        last_event: continuation.last_event,
        weights_version: continuation.weights_version,
    };
    shared.surface.prepare(&mut headers, &context);
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Further hop-by-hop headers, listed by name.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 4] = [
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
];

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
