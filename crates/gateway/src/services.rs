//! `/services/{name}/{**path}`: requests to plain services, with any method.

use std::sync::{Arc, OnceLock};

use flaxward_control::attempt::RequestPolicy;
use flaxward_types::{Refusal, ResultCode, ServiceName};
use salvo::prelude::{Request, Response};

use crate::back_end_ticket::BackEndTicket;
use crate::body::read_request_body;
use crate::call::{Call, CallKind, new_attempt};
use crate::endpoint::{Endpoint, IncomingRequest};
use crate::gateway::{ClaimOutcome, Gateway};
use crate::head::{back_end_headers, is_safe};
use crate::run::{Run, finish};

/// Path prefix of all services.
pub(crate) const SERVICES_PREFIX: &str = "/services/";

/// Handles requests to plain services.
pub(crate) struct Services;

impl Endpoint for Services {
    async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        request: &mut Request,
        response: &mut Response,
        request_id: &str,
    ) -> Result<(), Refusal> {
        let IncomingRequest {
            mut admitted,
            head,
            deadline,
        } = IncomingRequest::new(gateway, request, request_id)?;
        let (service, path) = split_path(request.uri().path())?;
        let configuration = gateway.configuration().await?;
        let spec = configuration
            .service(&service)
            .ok_or_else(|| Refusal::new(ResultCode::UnknownService))?;
        let path_and_query = match request.uri().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        let method = request.method().clone();
        let headers = back_end_headers(request.headers(), &head);
        let body = read_request_body(request, gateway, &mut admitted).await?;
        let call = Call {
            kind: CallKind::Service,
            target: service.to_string(),
            policy: RequestPolicy {
                repeatable: head.repeatable.unwrap_or(is_safe(&method)),
                has_key: head.key.is_some(),
                deadline,
            },
            method,
            path_and_query,
            headers,
            body,
            request_id: head.request_id.clone(),
            priority: head.priority,
            deadline,
            first_attempt: new_attempt(),
            fingerprint: OnceLock::new(),
        };
        let claim = match gateway.claim(&call, &head, service.as_str()).await? {
            ClaimOutcome::Proceed(claim) => claim,
            ClaimOutcome::Recorded(answer) => {
                answer.write(response);
                return Ok(());
            }
        };
        let pool = &gateway.service_pool;
        let ticket = pool.issue_ticket(service, spec.concurrency, head.priority, deadline);
        let ticket = BackEndTicket::Service(ticket);
        let gateway = Arc::clone(gateway);
        let run = Run::new(gateway, call, ticket, claim, admitted);
        let answer = finish(run).await?;
        answer.write(response);
        Ok(())
    }
}

/// Splits a path into the service and the rest of the path, which stays as the caller wrote it.
fn split_path(path: &str) -> Result<(ServiceName, &str), Refusal> {
    let unknown = || Refusal::new(ResultCode::UnknownPath);
    let path = path.strip_prefix(SERVICES_PREFIX).ok_or_else(unknown)?;
    let (name, rest) = match path.find('/') {
        Some(position) => path.split_at(position),
        None => (path, "/"),
    };
    let unknown_service = |_| Refusal::new(ResultCode::UnknownService);
    let service = name.parse().map_err(unknown_service)?;
    Ok((service, rest))
}
