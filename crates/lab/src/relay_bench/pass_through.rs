//! The least that a relay of the same libraries can do: salvo in front, reqwest behind, no checks.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::{Context, Result};
use flaxward_gateway::{back_end_client, listen};
use reqwest::Client;
use salvo::http::{StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};

use super::one_core::{Started, Stopped};

/// Time allowed for connecting to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves until it is told to stop.
pub(super) async fn serve(engine: String, started: Started, stopped: Stopped) -> Result<()> {
    let acceptor = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
    let address = acceptor.local_addr()?;
    let forward = Forward {
        engine,
        client: back_end_client(CONNECT_TIMEOUT)?,
    };
    let router = Router::with_path("{**rest}").goal(forward);
    started.send(address)?;
    tokio::select! {
        () = Server::new(acceptor).serve(router) => {}
        _ = stopped => {}
    }
    Ok(())
}

struct Forward {
    engine: String,
    client: Client,
}

impl Forward {
    async fn forward(&self, request: &mut Request) -> Result<reqwest::Response> {
        let url = format!("{}{}", self.engine, request.uri().path());
        let body = request.payload().await.context("body")?.clone();
        let sent = self
            .client
            .post(url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .send();
        Ok(sent.await?)
    }
}

#[async_trait]
impl Handler for Forward {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let Ok(answer) = self.forward(request).await else {
            response.status_code(StatusCode::BAD_GATEWAY);
            return;
        };
        if let Some(kind) = answer.headers().get(header::CONTENT_TYPE) {
            let kind = kind.clone();
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
        }
        response.status_code(answer.status());
        response.stream(answer.bytes_stream());
    }
}
