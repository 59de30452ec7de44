//! Relays connections of other daemons to runners.
//!
//! A relay only passes bytes. It connects to listed runners alone, always directly, and to a limited number at a time. Where
//! requests are restricted to home regions, it only relays to runners of its own region.

use std::convert::Infallible;
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use flaxward_client_limits::{ConnectionSlot, ConnectionTable};
use flaxward_routing::names::Zone;
use futures::{TryStreamExt, stream};
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::io::ReaderStream;
use tokio_util::task::TaskTracker;

use crate::connector::DIRECT_TIMEOUT;
use crate::counters::{TUNNELS, TUNNELS_REFUSED};
use crate::network::{self, ConnectError};
use crate::server::accept;
use crate::state::Shared;
use crate::tunnel::TUNNEL_PATH;

/// Maximum number of open tunnels. Each takes two sockets and a few buffers.
const MAX_TUNNELS: u32 = 256;
/// Maximum number of connections of other daemons, including those whose tunnels are not open yet.
const MAX_CONNECTIONS: usize = 512;
/// Time in which a daemon must have sent the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames of a response body that wait for a slow daemon.
const BUFFERED_FRAMES: usize = 4;

type TunnelBody = UnsyncBoxBody<Bytes, io::Error>;
type FrameSender = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// Serves tunnels of other daemons until this one ends.
pub(crate) async fn serve_tunnels(shared: Arc<Shared>, listener: TcpListener, tasks: TaskTracker) {
    let connections = ConnectionTable::new(MAX_CONNECTIONS);
    let serve = |stream, slot| tunnel_connection(shared.clone(), stream, slot);
    tokio::select! {
        () = accept(&listener, &tasks, &connections, serve) => {}
        () = shared.ending.cancelled() => {}
    }
}

async fn tunnel_connection(shared: Arc<Shared>, stream: TcpStream, slot: ConnectionSlot) {
    let daemon = slot.activity().clone();
    let service = service_fn(move |request| {
        // The tunnel is open as long as the other daemon wants.
        daemon.await_daemon();
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(&shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // The daemon at the other end decides what an error means.
        _ = connection => {}
        () = slot.activity().given_up() => {}
    }
}

async fn respond(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<TunnelBody> {
    match open_tunnel(shared, request).await {
        Ok(response) => response,
        Err(status) => {
            metrics::counter!(TUNNELS_REFUSED.name, "status" => status.as_str().to_owned())
                .increment(1);
            let body = Empty::new().map_err(|never| match never {});
            let mut response = Response::new(body.boxed_unsync());
            *response.status_mut() = status;
            response
        }
    }
}

async fn open_tunnel(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<TunnelBody>, StatusCode> {
    let address = target(&request).ok_or(StatusCode::NOT_FOUND)?;
    let runner_zone = {
        let tables = shared.tables();
        let mut listed = tables.runners.iter();
        let runner = listed.find(|runner| runner.address == address);
        runner.map(|runner| runner.zone.clone())
    };
    if !runner_zone.is_some_and(|zone| may_relay_to(shared, &zone)) {
        return Err(StatusCode::FORBIDDEN);
    }
    let slot = TunnelSlot::take(shared).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let is_lost = {
        let now = shared.now();
        shared.tables().paths.is_lost(address, now)
    };
    if is_lost || shared.is_stopping() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let connected = connect(shared, address).await;
    if matches!(connected, Err(StatusCode::GATEWAY_TIMEOUT)) {
        // Once this daemon knows that its own path is lost, it refuses such tunnels at once.
        shared.check_path(address);
    }
    let stream = connected?;
    metrics::counter!(TUNNELS.name).increment(1);
    log_opened(shared, address);
    Ok(Response::new(tunnel_body(
        stream,
        request.into_body(),
        slot,
    )))
}

/// Whether this daemon may relay to runners of a zone. A relay can't tell which requests pass through it, so all of them
/// count as restricted to home regions where any is.
fn may_relay_to(shared: &Shared, runner_zone: &Zone) -> bool {
    let configuration = shared.configuration();
    let has_homes = configuration.is_none_or(|configuration| configuration.has_homes());
    !has_homes || shared.locality.may_relay_home_requests(runner_zone)
}

fn target(request: &Request<Incoming>) -> Option<SocketAddr> {
    if request.method() != Method::POST {
        return None;
    }
    request.uri().path().strip_prefix(TUNNEL_PATH)?.parse().ok()
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<TcpStream, StatusCode> {
    let connecting = network::connect(&*shared.settings.network, address);
    let connected = timeout(DIRECT_TIMEOUT, connecting).await;
    connected
        .unwrap_or(Err(ConnectError::TimedOut))
        .map_err(|error| match error {
            ConnectError::Refused => StatusCode::BAD_GATEWAY,
            ConnectError::TimedOut | ConnectError::Failed => StatusCode::GATEWAY_TIMEOUT,
        })
}

/// Passes the request body on to the runner, and returns a response body with the bytes of the runner.
fn tunnel_body(stream: TcpStream, from_daemon: Incoming, slot: TunnelSlot) -> TunnelBody {
    let (to_daemon, frames) = mpsc::channel(BUFFERED_FRAMES);
    tokio::spawn(relay(stream, from_daemon, to_daemon, slot));
    let frames = stream::unfold(frames, |mut frames| async move {
        let frame = frames.recv().await?;
        Some((frame, frames))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Passes bytes in both directions until either ends. Only an orderly end of the runner ends the response body in an
/// orderly way.
async fn relay(stream: TcpStream, from_daemon: Incoming, to_daemon: FrameSender, slot: TunnelSlot) {
    let _slot = slot;
    let (from_runner, to_runner) = stream.into_split();
    // Sending is polled first: a failed write takes the error of a reset connection, and a read after it would look
    // like an orderly end.
    let ended = tokio::select! {
        biased;
        error = send_all(from_daemon, to_runner) => Err(error),
        ended = receive_all(from_runner, &to_daemon) => ended,
    };
    if let Err(error) = ended {
        // The daemon may be gone itself.
        let _ = to_daemon.send(Err(error)).await;
    }
}

/// Passes the request body on. Returns why that ended: the daemon never ends it before the tunnel.
async fn send_all(mut from_daemon: Incoming, mut to_runner: OwnedWriteHalf) -> io::Error {
    loop {
        let data = match from_daemon.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return io::Error::other(error),
            None => return ErrorKind::ConnectionAborted.into(),
        };
        if let Err(error) = to_runner.write_all(&data).await {
            return error;
        }
    }
}

async fn receive_all(from_runner: OwnedReadHalf, to_daemon: &FrameSender) -> io::Result<()> {
    let mut received = ReaderStream::new(from_runner);
    while let Some(bytes) = received.try_next().await? {
        let sent = to_daemon.send(Ok(Frame::data(bytes))).await;
        sent.map_err(|_| ErrorKind::ConnectionAborted)?;
    }
    Ok(())
}

fn log_opened(shared: &Shared, address: SocketAddr) {
    let fields: &[(&str, &dyn Display)] = &[("runner_address", &address)];
    shared.log.write(shared.now(), "tunnel-opened", fields);
}

/// One of the tunnels that a daemon may have open.
struct TunnelSlot {
    open: Arc<AtomicU32>,
}

impl TunnelSlot {
    fn take(shared: &Shared) -> Option<Self> {
        let open = shared.open_tunnels.clone();
        let slot = Self { open };
        let before = slot.open.fetch_add(1, Ordering::Relaxed);
        (before < MAX_TUNNELS).then_some(slot)
    }
}

impl Drop for TunnelSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
