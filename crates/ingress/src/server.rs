//! HTTP servers of the daemon: client requests, readiness, and metrics.
//!
//! hyper's connection API is used instead of salvo, because a client disconnect must cancel the request at the runner
//! immediately, and because a shutdown must distinguish idle connections from busy ones.

use std::convert::Infallible;
use std::fmt::Display;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use flaxward_client_limits::{
    ClientActivity, ConnectionSlot, ConnectionTable, RECEIVE_BUFFER_BYTES,
};
use flaxward_settings::logs::state_change;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::counters::CONNECTIONS_GIVEN_UP;
use crate::handler::handle;
use crate::network;
use crate::state::Shared;

/// Delay before accepting again after `accept` has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `TCP_USER_TIMEOUT` of client connections: the time after which unacknowledged data closes them.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections to the readiness and to the metrics endpoint, each.
const MAX_PAGE_CONNECTIONS: usize = 64;
/// Smallest connection buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Binds a listener.
///
/// # Errors
/// Fails if the address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot bind a listener to {address}"))
}

/// Binds the listener for clients. Accepted connections inherit its receive buffer.
///
/// # Errors
/// Fails if the address cannot be bound.
pub(crate) async fn listen_for_clients(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = listen(address).await?;
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .context("cannot limit the receive buffers of clients")?;
    Ok(listener)
}

/// Accepts connections and spawns a task for each that `connections` admits. The others are closed at once.
pub(crate) async fn accept<Task, Serve>(
    listener: &TcpListener,
    tracker: &TaskTracker,
    connections: &ConnectionTable,
    serve: Serve,
) where
    Task: Future<Output = ()> + Send + 'static,
    Serve: Fn(TcpStream, ConnectionSlot) -> Task,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_admitted(stream, tracker, connections, &serve).await,
            Err(error) => {
                state_change("accept-failed", &[("error", &error)]);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Spawns a task for a connection if `connections` admits it, and closes it otherwise.
async fn spawn_admitted<Task, Serve>(
    stream: TcpStream,
    tracker: &TaskTracker,
    connections: &ConnectionTable,
    serve: &Serve,
) where
    Task: Future<Output = ()> + Send + 'static,
    Serve: Fn(TcpStream, ConnectionSlot) -> Task,
{
    if let Some(slot) = connections.admit().await {
        network::configure(&stream, TCP_USER_TIMEOUT);
        tracker.spawn(serve(stream, slot));
    }
}

/// Accepts the connections that are pending in the listener's backlog.
///
/// # Errors
/// Fails if `accept` fails for a reason other than an aborted connection.
fn accept_pending(listener: &std::net::TcpListener) -> io::Result<Vec<TcpStream>> {
    let mut pending = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                pending.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(pending),
            // The client has aborted the pending connection.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Closes a listener and returns the connections pending in its backlog. Later connection attempts are refused.
///
/// # Errors
/// Fails if the pending connections cannot be accepted; the listener is closed in any case.
fn close_listener(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // The runtime's readiness state lags behind the kernel's backlog, so the listener itself is polled.
    let listener = listener.into_std()?;
    accept_pending(&listener)
}

/// Shutdown steps of the client server.
#[derive(Clone, Debug)]
pub(crate) struct ClientShutdown {
    /// Idle connections are closed, and new ones get a single response.
    pub closing: CancellationToken,
    /// The listener is closed, so that new connections are refused.
    pub closed: CancellationToken,
}

/// Serves clients until `closed` is cancelled. Connections established before the listener is closed are still served.
pub(crate) async fn serve_clients(
    shared: Arc<Shared>,
    listener: TcpListener,
    tracker: TaskTracker,
    shutdown: ClientShutdown,
) {
    let connections = &shared.client_connections;
    let serve = |stream, slot| {
        let closing = shutdown.closing.clone();
        client_connection(shared.clone(), stream, slot, closing)
    };
    tokio::select! {
        () = accept(&listener, &tracker, connections, serve) => {}
        () = shutdown.closed.cancelled() => {}
    }
    let pending = close_listener(listener).unwrap_or_else(|error| {
        let fields: &[(&str, &dyn Display)] = &[("error", &format!("{:?}", error.to_string()))];
        let now = shared.now();
        shared.log.write(now, "last-connections-not-taken", fields);
        Vec::new()
    });
    for stream in pending {
        spawn_admitted(stream, &tracker, connections, &serve).await;
    }
}

/// Serves a client until its connection ends, or until the daemon gives up on the client in favour of others.
async fn client_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    slot: ConnectionSlot,
    closing: CancellationToken,
) {
    tokio::select! {
        biased;
        () = slot.activity().given_up() => log_given_up(&shared),
        () = serve_requests(shared.clone(), stream, slot.activity().clone(), closing) => {}
    }
}

fn log_given_up(shared: &Shared) {
    metrics::counter!(CONNECTIONS_GIVEN_UP.name).increment(1);
    let fields: &[(&str, &dyn Display)] = &[
        ("connections", &shared.client_connections.open()),
        ("response_bytes", &shared.response_bodies.reserved()),
    ];
    shared
        .log
        .write(shared.now(), "stalled-connection-closed", fields);
}

async fn serve_requests(
    shared: Arc<Shared>,
    stream: TcpStream,
    client: Arc<ClientActivity>,
    closing: CancellationToken,
) {
    let limits = shared
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let is_used = Arc::new(AtomicBool::new(false));
    let used_flag = is_used.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        used_flag.store(true, Ordering::Relaxed);
        let (shared, client) = (shared.clone(), client.clone());
        async move { Ok::<_, Infallible>(handle(shared, request, client).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size((limits.header_bytes + 1_024).max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => {}
    }
    // The first request of a connection may still be in transit. It is read and refused, so that its client knows that
    // it did not run, and the response closes the connection.
    if is_used.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
    }
    let _ = connection.await;
}

/// Serves the readiness endpoint.
pub(crate) async fn serve_readiness(
    shared: Arc<Shared>,
    listener: TcpListener,
    tracker: TaskTracker,
) {
    let answer = move |path: &str| {
        if path != shared.surface.ready_path() {
            return (StatusCode::NOT_FOUND, String::new());
        }
        let status = if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    };
    serve_pages(listener, tracker, Arc::new(answer)).await;
}

/// Serves the metrics endpoint.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    tracker: TaskTracker,
    render: Arc<dyn Fn() -> String + Send + Sync>,
) {
    let answer = move |_: &str| (StatusCode::OK, render());
    serve_pages(listener, tracker, Arc::new(answer)).await;
}

async fn serve_pages<Answer>(listener: TcpListener, tracker: TaskTracker, answer: Arc<Answer>)
where
    Answer: Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
{
    let connections = ConnectionTable::new(MAX_PAGE_CONNECTIONS);
    accept(&listener, &tracker, &connections, move |stream, slot| {
        let answer = answer.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = answer(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                () = slot.activity().given_up() => {}
            }
        }
    })
    .await;
}
