//! Handling of a request from its arrival until its route, tenant and service are determined. [`Dispatch`] then sends
//! it to runners.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use flaxward_client_limits::{BodyError, ClientActivity, TrackedBody, discard_rest, read_body};
use flaxward_routing::configuration::{Configuration, Route};
use flaxward_routing::homes::Homes;
use flaxward_routing::tenants::Tenant;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::access;
use crate::dispatch::Dispatch;
use crate::exchange::{ClientRequest, remove_hop_by_hop_headers};
use crate::refused::{RETRY_AFTER, RETRY_STOPPING, Refused};
use crate::responses::{self, ResponseBody};
use crate::state::Shared;
use crate::stream_origins::{self, StreamStart};

/// `Retry-After` of a daemon that has no configuration yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(300);
/// `Retry-After` if only a new configuration helps: the time in which one takes effect on all daemons at the target
/// cluster size.
const RETRY_NO_COMMON_HOME: Duration = Duration::from_secs(10);

/// Counts a request as in progress until it is dropped, which is after its response has ended.
struct InProgress {
    shared: Arc<Shared>,
    /// Whether it has one of the places of the requests whose bodies are complete.
    is_admitted: bool,
}

impl InProgress {
    fn begin(shared: &Arc<Shared>) -> Self {
        shared.requests.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: shared.clone(),
            is_admitted: false,
        }
    }

    /// Takes a place for a request whose body is complete. A client that does not send its body takes none.
    ///
    /// # Errors
    /// Refuses the request if all places are taken.
    fn admit(&mut self, id: &str) -> Result<(), Refused> {
        let limit = self.shared.settings.overload_limits.requests;
        let admitted =
            self.shared
                .admitted
                .try_update(Ordering::Relaxed, Ordering::Relaxed, |admitted| {
                    (admitted < limit).then_some(admitted + 1)
                });
        self.is_admitted = admitted.is_ok();
        admitted.map(drop).map_err(|_| too_many_requests(id))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.requests.fetch_sub(1, Ordering::Relaxed);
        if self.is_admitted {
            self.shared.admitted.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Handles a client request. `client` is the activity of its connection.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    client: Arc<ClientActivity>,
) -> Response<ResponseBody> {
    let arrived_at = Instant::now();
    client.await_client(arrived_at);
    let (head, mut body) = request.into_parts();
    let awaits_continue = head.headers.contains_key(EXPECT);
    let mut response = match serve(&shared, head, &mut body, &client, arrived_at).await {
        Ok(response) => response,
        Err(refused) => {
            refused.log(&shared, arrived_at);
            if !awaits_continue {
                discard(&shared, body);
            }
            responses::refusal(refused.refusal())
        }
    };
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response.map(|body| TrackedBody::new(body, client).boxed_unsync())
}

/// Discards what is left of a refused request's body, so that its client can read the refusal.
fn discard(shared: &Shared, body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let limits = shared.configuration().map(|it| it.limits);
    let max_bytes = limits.unwrap_or_default().body_bytes;
    tokio::spawn(discard_rest(body, max_bytes));
}

fn refuse_early(code: ResultCode, request: &str, reason: &str) -> Refused {
    Refused::unsent(request, "", Refusal::new(code), reason.to_owned())
}

async fn serve(
    shared: &Arc<Shared>,
    head: Parts,
    body: &mut Incoming,
    client: &Arc<ClientActivity>,
    arrived_at: Instant,
) -> Result<Response<ResponseBody>, Refused> {
    let mut in_progress = InProgress::begin(shared);
    if shared.admitted.load(Ordering::Relaxed) >= shared.settings.overload_limits.requests {
        return Err(too_many_requests(""));
    }
    if shared.is_closing() {
        let mut refused = refuse_early(ResultCode::Stopping, "", "the daemon is stopping");
        refused.refusal_mut().retry_after = Some(RETRY_STOPPING);
        return Err(refused);
    }
    let Some(configuration) = shared.configuration() else {
        let mut refused = refuse_early(ResultCode::NoConfiguration, "", "no configuration loaded");
        refused.refusal_mut().retry_after = Some(RETRY_UNCONFIGURED);
        return Err(refused);
    };
    let profile = shared.surface.profile(&head.headers);
    let profile = profile.map_err(|error| {
        let reason = error.to_string();
        refuse_early(ResultCode::BadHeader, "", &reason)
    })?;
    let id = profile.id.clone();
    let host = host(&head.headers, head.uri.authority());
    let path = head.uri.path();
    let Some(route) = configuration.route(&host, path).cloned() else {
        let reason = format!(
            "no route for {host}{path} in version {}",
            configuration.version
        );
        return Err(refuse_early(ResultCode::UnknownPath, &id, &reason));
    };
    let tenant = access::tenant(shared, &configuration, &route, &id, &head.headers)?;
    let bound_by = access::restricting_tenant(shared, &configuration, &head.headers);
    let homes = homes(&route, bound_by.as_deref());
    if homes.is_empty() {
        return Err(no_common_home(&id, &route, bound_by.as_deref()));
    }
    let time_limit = profile
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived_at + time_limit;
    let max_bytes = configuration.limits.body_bytes;
    // Not the activity of the connection, which would be closed without a refusal.
    let sender = Arc::new(ClientActivity::new(Instant::now()));
    let body = read_body(body, &shared.request_bodies, &sender, max_bytes, deadline)
        .await
        .map_err(|error| refuse_body(error, &id))?;
    in_progress.admit(&id)?;
    client.await_daemon();
    let Some(service) = shared.choose_service(&route, &homes) else {
        return Err(refuse_early(
            ResultCode::NoServiceMachine,
            &id,
            "the route has no available service",
        ));
    };
    let StreamStart {
        service,
        software_version,
        stream,
    } = stream_origins::stream_start(shared, &route, &profile, service).await?;
    let charge = match &tenant {
        Some(tenant) => Some(access::charge(shared, tenant, &route, &profile).await?),
        None => None,
    };
    let has_engine = configuration
        .service(&service)
        .is_some_and(|service| service.engine.is_some());
    let unit = has_engine.then(|| profile.unit(&service)).flatten();
    let client_request = ClientRequest {
        method: head.method,
        host,
        uri: origin_form(&head.uri),
        headers: forwarded_headers(shared, &configuration, head.headers),
        body,
        profile,
        kind: route.kind,
        priority: priority(&route, tenant.as_deref()),
        homes,
        tenant,
        unit,
        software_version,
        stream,
        deadline,
        fingerprint: OnceLock::new(),
    };
    let dispatch = Dispatch::new(
        shared.clone(),
        client_request,
        client.clone(),
        route,
        service,
        arrived_at,
    );
    let result = dispatch.run(Box::new(in_progress)).await;
    if let (Err(refused), Some(charge)) = (&result, charge)
        && refused.refusal().code.not_run()
    {
        charge.give_back(shared);
    }
    result
}

/// Priority of a request: that of its tenant if set, otherwise that of its route.
fn priority(route: &Route, tenant: Option<&Tenant>) -> u8 {
    let tenant_priority = tenant.and_then(|tenant| tenant.priority);
    tenant_priority.unwrap_or(route.priority)
}

/// Regions in which a request may be served: those that both its route and its tenant allow.
fn homes(route: &Route, tenant: Option<&Tenant>) -> Homes {
    match tenant {
        Some(tenant) => route.homes.intersection(&tenant.homes),
        None => route.homes.clone(),
    }
}

/// Refusal of a request whose route and tenant have no home region in common.
fn no_common_home(id: &str, route: &Route, tenant: Option<&Tenant>) -> Refused {
    let tenant_homes = tenant.map_or(&Homes::Anywhere, |tenant| &tenant.homes);
    let reason = format!(
        "the homes of the route, {}, and of the tenant, {tenant_homes}, have no region in common",
        route.homes
    );
    let refusal = Refusal::new(ResultCode::NoHomeRunner).with_retry_after(RETRY_NO_COMMON_HOME);
    Refused::unsent(id, route.name.as_str(), refusal, reason)
}

/// The host from the `Host` header or the request target.
fn host(headers: &HeaderMap, authority: Option<&http::uri::Authority>) -> String {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    named
        .or(authority.map(http::uri::Authority::as_str))
        .unwrap_or_default()
        .to_owned()
}

/// Reduces a URI to origin form (path and query), as sent to runners.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

fn forwarded_headers(
    shared: &Shared,
    configuration: &Configuration,
    mut headers: HeaderMap,
) -> HeaderMap {
    if !configuration.tenants().is_empty() {
        shared.surface.remove_key(&mut headers);
    }
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    headers
}

fn too_many_requests(id: &str) -> Refused {
    let mut refused = refuse_early(ResultCode::Overloaded, id, "too many requests in progress");
    refused.refusal_mut().retry_after = Some(RETRY_AFTER);
    refused
}

/// Refusal of a request whose body was not read.
fn refuse_body(error: BodyError, id: &str) -> Refused {
    let code = match error {
        BodyError::TooLong => ResultCode::BodyTooLong,
        BodyError::Broken => ResultCode::BadBody,
        BodyError::TimedOut => ResultCode::SlowSender,
        BodyError::NoMemory => ResultCode::Overloaded,
    };
    let mut refused = refuse_early(code, id, &error.to_string());
    if error == BodyError::NoMemory {
        refused.refusal_mut().retry_after = Some(RETRY_AFTER);
    }
    refused
}
