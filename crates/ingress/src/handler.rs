//! A request from its arrival to the first look at what it needs: which configuration, route and service it
//! falls under. [`Job`] sends it to runners.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::configuration::{Configuration, Route};
use flaxward_routing::homes::Homes;
use flaxward_routing::tenants::Tenant;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::access;
use crate::answers::{self, AnswerBody};
use crate::exchange::{ClientRequest, remove_connection_headers};
use crate::job::Job;
use crate::refused::{RETRY_AFTER, Refused};
use crate::state::Shared;

/// Requests in progress at one daemon at most.
const MAX_REQUESTS: u32 = 2_000;
/// When to come back to a daemon that knows no configuration yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(300);
/// When to come back, to another daemon, if this one stops.
const RETRY_STOPPING: Duration = Duration::from_millis(20);

/// When to come back if only another configuration helps: the time in which one is in force everywhere at the target size.
const RETRY_NO_COMMON_HOME: Duration = Duration::from_secs(10);

/// Counts a request as in progress for as long as it lives, its answer included.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn begin(shared: &Arc<Shared>) -> Option<Self> {
        let before = shared.requests.fetch_add(1, Ordering::Relaxed);
        let guard = Self(shared.clone());
        (before < MAX_REQUESTS).then_some(guard)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a request.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let begun = Instant::now();
    let mut response = match serve(&shared, request, begun).await {
        Ok(response) => response,
        Err(refused) => {
            refused.log(&shared, begun);
            answers::refusal(refused.refusal())
        }
    };
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

fn early(code: ResultCode, request: &str, reason: &str) -> Refused {
    Refused::unsent(request, "", Refusal::new(code), reason.to_owned())
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    begun: Instant,
) -> Result<Response<AnswerBody>, Refused> {
    let Some(guard) = InProgress::begin(shared) else {
        let mut refused = early(ResultCode::Overloaded, "", "too many requests in progress");
        refused.refusal_mut().retry_after = Some(RETRY_AFTER);
        return Err(refused);
    };
    if shared.is_closing() {
        let mut refused = early(ResultCode::Stopping, "", "the daemon stops");
        refused.refusal_mut().retry_after = Some(RETRY_STOPPING);
        return Err(refused);
    }
    let Some(configuration) = shared.configuration() else {
        let mut refused = early(ResultCode::NoConfiguration, "", "no configuration");
        refused.refusal_mut().retry_after = Some(RETRY_UNCONFIGURED);
        return Err(refused);
    };
    let profile = shared.surface.profile(request.headers());
    let profile = profile.map_err(|error| {
        let reason = error.to_string();
        early(ResultCode::BadHeader, "", &reason)
    })?;
    let id = profile.id.clone();
    let host = host(request.headers(), request.uri().authority());
    let path = request.uri().path();
    let Some(route) = configuration.route(&host, path).cloned() else {
        let reason = format!(
            "no route for {host}{path} in version {}",
            configuration.version
        );
        return Err(early(ResultCode::UnknownPath, &id, &reason));
    };
    let tenant = access::tenant(shared, &configuration, &route, &id, request.headers())?;
    let bound_by = access::restricting_tenant(shared, &configuration, request.headers());
    let homes = homes(&route, bound_by.as_deref());
    if homes.is_empty() {
        return Err(nowhere_at_home(&id, &route, bound_by.as_deref()));
    }
    let allowed = profile
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = begun + allowed;
    let (head, body) = request.into_parts();
    let body = read_body(body, &configuration, deadline)
        .await
        .map_err(|code| early(code, &id, "the body was not read"))?;
    let Some(service) = shared.choose_service(&route, &homes) else {
        return Err(early(
            ResultCode::NoServiceMachine,
            &id,
            "the route has no service",
        ));
    };
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
        headers: passed_headers(shared, &configuration, head.headers),
        body,
        profile,
        kind: route.kind,
        priority: priority(&route, tenant.as_deref()),
        homes,
        tenant,
        unit,
        deadline,
        fingerprint: OnceLock::new(),
    };
    let job = Job::new(shared.clone(), client_request, route, service, begun);
    let answered = job.run(Box::new(guard)).await;
    if let (Err(refused), Some(charge)) = (&answered, charge)
        && refused.refusal().code.not_run()
    {
        charge.give_back(shared);
    }
    answered
}

/// Rank of a request: that of its tenant, if it has one.
fn priority(route: &Route, tenant: Option<&Tenant>) -> u8 {
    let of_tenant = tenant.and_then(|tenant| tenant.priority);
    of_tenant.unwrap_or(route.priority)
}

/// Where a request may be served: where both its route and its tenant allow it.
fn homes(route: &Route, tenant: Option<&Tenant>) -> Homes {
    match tenant {
        Some(tenant) => route.homes.intersection(&tenant.homes),
        None => route.homes.clone(),
    }
}

/// The refusal of a request that may be served in no region at all.
fn nowhere_at_home(id: &str, route: &Route, tenant: Option<&Tenant>) -> Refused {
    let of_tenant = tenant.map_or(&Homes::Anywhere, |tenant| &tenant.homes);
    let reason = format!(
        "the homes of the route, {}, and of the tenant, {of_tenant}, have no region in common",
        route.homes
    );
    let refusal = Refusal::new(ResultCode::NoHomeRunner).with_retry_after(RETRY_NO_COMMON_HOME);
    Refused::unsent(id, route.name.as_str(), refusal, reason)
}

/// The host that the client named.
fn host(headers: &HeaderMap, authority: Option<&http::uri::Authority>) -> String {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    named
        .or(authority.map(http::uri::Authority::as_str))
        .unwrap_or_default()
        .to_owned()
}

/// Path and query alone, as they go to a runner.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

fn passed_headers(
    shared: &Shared,
    configuration: &Configuration,
    mut headers: HeaderMap,
) -> HeaderMap {
    if !configuration.tenants().is_empty() {
        shared.surface.remove_key(&mut headers);
    }
    remove_connection_headers(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    headers
}

async fn read_body(
    body: Incoming,
    configuration: &Configuration,
    deadline: Instant,
) -> Result<Bytes, ResultCode> {
    let limited = Limited::new(body, configuration.limits.body_bytes);
    match timeout_at(deadline, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLong),
        Ok(Err(_)) => Err(ResultCode::BadBody),
        Err(_) => Err(ResultCode::SlowSender),
    }
}
