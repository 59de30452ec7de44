//! Connections to runners.
//!
//! hyper's connection interface is used instead of reqwest, because the ingress must know which
//! connection an answer came on, when it was last used, and whether anything was sent on it.

use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::names::RunnerId;
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::counters::CONNECTIONS_OPENED;

/// Time allowed for a connection to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an idle connection is kept if the runner names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the time that the runner names for which an idle connection is used again.
const IDLE_SHARE: f64 = 0.6;
/// The same for requests that must not be repeated.
const CAREFUL_IDLE_SHARE: f64 = 0.35;
/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle connections to one runner at most.
const MAX_IDLE: usize = 16;

/// A connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    keep_alive: Duration,
    used_at: Instant,
    is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why no answer came.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Nothing listens at the address.
    Refused,
    /// No connection came about for another reason.
    Connect,
    /// The connection ended before any byte of the request could be sent.
    NotSent,
    /// The connection broke after something was sent.
    Broken,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    /// Who listened where at the last sweep.
    lives: Mutex<Lives>,
}

/// Lives of runners by their address. An ended one may still be listed beside the one that has its address now.
pub(crate) type Lives = HashMap<SocketAddr, BTreeSet<RunnerId>>;

impl Pool {
    /// A connection that is ready for a request.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Result<Connection, SendError> {
        if let Some(connection) = self.take_idle(address, may_repeat) {
            return Ok(connection);
        }
        open(address).await
    }

    /// Whether nothing listens at an address. A connection that comes about is kept for a later request.
    pub(crate) async fn is_refused(&self, address: SocketAddr) -> bool {
        match open(address).await {
            Ok(connection) => {
                self.put(connection);
                false
            }
            Err(error) => matches!(error, SendError::Refused),
        }
    }

    fn take_idle(&self, address: SocketAddr, may_repeat: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&address)?;
        let share = if may_repeat {
            IDLE_SHARE
        } else {
            CAREFUL_IDLE_SHARE
        };
        connections.retain(|connection| connection.is_usable(IDLE_SHARE));
        let index = connections
            .iter()
            .rposition(|connection| connection.is_usable(share))?;
        let mut connection = connections.swap_remove(index);
        connection.is_reused = true;
        Some(connection)
    }

    /// Takes a connection back whose answer was whole.
    pub(crate) fn put(&self, mut connection: Connection) {
        connection.used_at = Instant::now();
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes idle connections that are too old, and those to addresses at which another life of a runner has come since
    /// the last sweep, or where none is left: they would break with the first request on them, which perhaps must not be
    /// repeated.
    pub(crate) fn sweep(&self, lives: Lives) {
        let (Ok(mut idle), Ok(mut before)) = (self.idle.lock(), self.lives.lock()) else {
            return;
        };
        idle.retain(|address, connections| {
            connections.retain(|connection| connection.is_usable(IDLE_SHARE));
            let known = before.get(address);
            let is_same =
                |present: &BTreeSet<RunnerId>| known.is_none_or(|known| present.is_subset(known));
            !connections.is_empty() && lives.get(address).is_some_and(is_same)
        });
        *before = lives;
    }
}

/// Opens a connection, in a bounded time.
async fn open(address: SocketAddr) -> Result<Connection, SendError> {
    metrics::counter!(CONNECTIONS_OPENED.name).increment(1);
    let connecting = timeout(CONNECT_TIMEOUT, connect(address));
    connecting.await.map_err(|_| SendError::Connect)?
}

async fn connect(address: SocketAddr) -> Result<Connection, SendError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => SendError::Refused,
            _ => SendError::Connect,
        })?;
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::Connect)?;
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        address,
        keep_alive: DEFAULT_IDLE,
        used_at: Instant::now(),
        is_reused: false,
    })
}

impl Connection {
    fn is_usable(&self, share: f64) -> bool {
        let rested = self.used_at.elapsed();
        self.sender.is_ready() && rested < self.keep_alive.mul_f64(share)
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.note_keep_alive(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken),
            },
        }
    }

    fn note_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(keep_alive) = keep_alive(headers) {
            self.keep_alive = keep_alive;
        }
        let closes = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            self.keep_alive = Duration::ZERO;
        }
    }

    /// Whether the connection has carried a request before this one.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }
}

/// The time of `Keep-Alive: timeout=SECONDS`.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
