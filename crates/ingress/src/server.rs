//! The servers of the daemon: for clients, for readiness, and for counters.
//!
//! hyper's connection interface is used instead of salvo, because a client that leaves must end the
//! request at the runner at once, and because a stop must tell idle connections from busy ones.

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

use crate::handler::handle;
use crate::state::Shared;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which unacknowledged bytes end a client's connection.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Least buffer of a connection, as hyper demands it.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Opens a listener.
///
/// # Errors
/// Fails if the address cannot be listened at.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen at {address}"))
}

/// Accepts connections and runs a task for each.
async fn accept<Task, Serve>(listener: &TcpListener, tracker: &TaskTracker, serve: Serve)
where
    Task: Future<Output = ()> + Send + 'static,
    Serve: Fn(TcpStream) -> Task,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                tracker.spawn(serve(stream));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Takes the connections that the system has accepted for a listener by now.
///
/// # Errors
/// Fails if the listener can't tell.
fn accept_waiting(listener: &std::net::TcpListener) -> io::Result<Vec<TcpStream>> {
    let mut waiting = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                waiting.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(waiting),
            // Its client has given it up.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Closes a listener. Returns the connections that the system has accepted for it by then; whoever connects later finds that
/// nobody listens.
///
/// # Errors
/// Fails if the listener can't tell; it is closed all the same.
fn close(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // The runtime learns of a connection later than the system, which is asked here.
    let listener = listener.into_std()?;
    accept_waiting(&listener)
}

/// When a daemon that stops takes which step towards its clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientsEnd {
    /// Idle connections are closed, and new ones get one answer.
    pub closing: CancellationToken,
    /// Nobody can connect any more.
    pub closed: CancellationToken,
}

/// Serves clients until nobody can connect any more. A connection that was made before then is served still.
pub(crate) async fn serve_clients(
    shared: Arc<Shared>,
    listener: TcpListener,
    tracker: TaskTracker,
    end: ClientsEnd,
) {
    let serve = |stream| client_connection(shared.clone(), stream, end.closing.clone());
    tokio::select! {
        () = accept(&listener, &tracker, serve) => {}
        () = end.closed.cancelled() => {}
    }
    let waiting = close(listener).unwrap_or_else(|error| {
        let fields: &[(&str, &dyn Display)] = &[("error", &format!("{:?}", error.to_string()))];
        let now = shared.now();
        shared.log.write(now, "last-connections-not-taken", fields);
        Vec::new()
    });
    for stream in waiting {
        prepare(&stream);
        tracker.spawn(serve(stream));
    }
}

async fn client_connection(shared: Arc<Shared>, stream: TcpStream, closing: CancellationToken) {
    let limits = shared
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let is_used = Arc::new(AtomicBool::new(false));
    let notes_use = is_used.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        notes_use.store(true, Ordering::Relaxed);
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(shared, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size((limits.header_bytes + 1_024).max(LEAST_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => {}
    }
    // The first request of a connection may be on its way. It is read and refused, so that its client knows that it did not
    // run, and its answer closes the connection.
    if is_used.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
    }
    let _ = connection.await;
}

/// Answers whether the daemon is ready.
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

/// Answers with the counters.
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
    accept(&listener, &tracker, move |stream| {
        let answer = answer.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = answer(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        }
    })
    .await;
}
