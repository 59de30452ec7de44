//! `/services/{name}/{**path}`: plain services, any method.

use std::sync::Arc;

use flaxward_control::attempt::RequestPolicy;
use flaxward_types::{Refusal, ResultCode, ServiceName};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::answer::{write_refusal, write_request_id};
use crate::body::read_body;
use crate::call::{Call, CallKind, new_attempt};
use crate::gateway::{Gateway, Reply};
use crate::head::{is_safe, passed_on, read_head, request_id};
use crate::place::Place;
use crate::run::{Run, finish};

/// Path under which all services stand.
pub(crate) const SERVICES_PREFIX: &str = "/services/";

/// Handles requests to plain services.
pub(crate) struct Services {
    /// The gateway.
    pub gateway: Arc<Gateway>,
}

#[async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let request_id = request_id(request.headers());
        match self.answer(request, response, &request_id).await {
            Ok(()) => write_request_id(response, &request_id),
            Err(refusal) => {
                let refusal = self.gateway.with_retry_after(refusal);
                write_refusal(response, &refusal, &request_id);
            }
        }
    }
}

impl Services {
    async fn answer(
        &self,
        request: &mut Request,
        response: &mut Response,
        request_id: &str,
    ) -> Result<(), Refusal> {
        let mut admitted = self.gateway.enter()?;
        let settings = &self.gateway.settings;
        let head = read_head(request.headers(), request_id.to_owned(), settings)?;
        let deadline = self.gateway.clock.now() + head.deadline;
        let (service, path) = split_path(request.uri().path())?;
        let configuration = self.gateway.configuration().await?;
        let spec = configuration
            .service(&service)
            .ok_or_else(|| Refusal::new(ResultCode::UnknownService))?;
        let path_and_query = match request.uri().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        let method = request.method().clone();
        let headers = passed_on(request.headers());
        let body = read_body(request, &self.gateway, &mut admitted.held_bytes).await?;
        let call = Call {
            kind: CallKind::Service,
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
        };
        let claim = match self.gateway.claim(&call, &head, service.as_str()) {
            Some(claim) => match claim.await? {
                Reply::Proceed(ticket) => Some(ticket),
                Reply::Recorded(answer) => {
                    answer.write(response);
                    return Ok(());
                }
            },
            None => None,
        };
        let pool = &self.gateway.service_pool;
        let ticket = pool.enter(service.clone(), spec.concurrency, head.priority, deadline);
        let place = Place::Service(ticket);
        let gateway = Arc::clone(&self.gateway);
        let run = Run::new(gateway, call, place, claim, admitted, service.as_str());
        let answer = finish(run).await?;
        answer.write(response);
        Ok(())
    }
}

/// The service and the rest of the path, as the caller wrote it.
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
