//! The daemon's HTTP server: callers, operators and health, on one address.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::prelude::*;
use tokio::sync::watch;

/// Paths for health and metrics.
///
/// `/healthz` answers while the process lives; `/readyz` only while the daemon takes requests, so
/// that a load balancer leaves out one that is starting or stopping.
pub fn health_router(ready: watch::Receiver<bool>, metrics: Option<PrometheusHandle>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready { ready }))
        .push(Router::with_path("metrics").get(Metrics {
            handle: metrics.map(Arc::new),
        }))
}

struct Health;

#[async_trait]
impl Handler for Health {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        response.render("ok\n");
    }
}

struct Ready {
    ready: watch::Receiver<bool>,
}

#[async_trait]
impl Handler for Ready {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        if *self.ready.borrow() {
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("not ready\n");
        }
    }
}

struct Metrics {
    handle: Option<Arc<PrometheusHandle>>,
}

#[async_trait]
impl Handler for Metrics {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        if let Some(handle) = &self.handle {
            response.render(handle.render());
        } else {
            response.status_code(StatusCode::NOT_FOUND);
            response.render("this process collects no metrics\n");
        }
    }
}
