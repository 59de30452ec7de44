//! Pool of connections to runners.
//!
//! hyper's connection API is used instead of reqwest, because the ingress must know on which connection a response
//! arrived, when that connection was last used, and whether any bytes were sent on it.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use flaxward_routing::names::RunnerId;
use flaxward_routing::runner_paths::Path;
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::network::{self, ConnectError, Network};
use crate::tunnel::Tunnel;

/// Keep-alive time of a connection whose runner sends no `Keep-Alive` header.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of the keep-alive time during which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// The same fraction for requests that must not be retried.
const NO_RETRY_KEEP_ALIVE_SHARE: f64 = 0.35;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Maximum number of informational answers to one request. Servers in trouble may send them without end, and each wakes
/// this process.
const MAX_INFORMATIONAL: u32 = 16;

/// A connection that carries one request at a time and is closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    /// Carries the exchange with the relay, if there is one.
    _tunnel: Option<AbortOnDropHandle<()>>,
    path: Path,
    address: SocketAddr,
    keep_alive: Duration,
    used_at: Instant,
    is_reused: bool,
}

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection was closed before any byte of the request was sent.
    NotSent,
    /// The connection broke after bytes of the request were sent.
    Broken,
}

/// Paths whose idle connections may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UsablePaths {
    pub direct: bool,
    pub relayed: bool,
}

impl UsablePaths {
    fn contain(self, path: Path) -> bool {
        match path {
            Path::Direct => self.direct,
            Path::Relay(_) => self.relayed,
        }
    }
}

/// Idle connections, by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    /// The listed runners as of the last sweep.
    known_runners: Mutex<RunnersByAddress>,
}

/// Runner incarnations by address. An incarnation that has ended may still be listed along with its successor at the
/// same address.
pub(crate) type RunnersByAddress = HashMap<SocketAddr, BTreeSet<RunnerId>>;

impl Pool {
    /// Returns an idle connection that is ready for a request and takes one of the given paths.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        may_retry: bool,
        paths: UsablePaths,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&address)?;
        let share = if may_retry {
            KEEP_ALIVE_SHARE
        } else {
            NO_RETRY_KEEP_ALIVE_SHARE
        };
        connections.retain(|connection| {
            paths.contain(connection.path) && connection.is_usable(KEEP_ALIVE_SHARE)
        });
        let index = connections.iter().rposition(|connection| {
            // A relay may end at any time.
            let is_safe = may_retry || connection.path == Path::Direct;
            is_safe && connection.is_usable(share)
        })?;
        let mut connection = connections.swap_remove(index);
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put(&self, mut connection: Connection) {
        connection.used_at = Instant::now();
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Closes idle connections that have expired, and those to addresses where a new runner incarnation was listed
    /// since the last sweep or none is listed any more. These would break on their next request, which may not be
    /// retryable.
    pub(crate) fn sweep(&self, runners: RunnersByAddress) {
        let (Ok(mut idle), Ok(mut previous)) = (self.idle.lock(), self.known_runners.lock()) else {
            return;
        };
        idle.retain(|address, connections| {
            connections.retain(|connection| connection.is_usable(KEEP_ALIVE_SHARE));
            let known = previous.get(address);
            let is_same =
                |current: &BTreeSet<RunnerId>| known.is_none_or(|known| current.is_subset(known));
            !connections.is_empty() && runners.get(address).is_some_and(is_same)
        });
        *previous = runners;
    }
}

impl Connection {
    /// Opens a connection without a relay.
    pub(crate) async fn direct(
        network: &dyn Network,
        address: SocketAddr,
    ) -> Result<Self, ConnectError> {
        let stream = network::connect(network, address).await?;
        Self::start(stream, address, Path::Direct, None).await
    }

    /// Creates a connection to a runner over a tunnel.
    pub(crate) async fn tunneled(
        tunnel: Tunnel,
        address: SocketAddr,
        relay: SocketAddr,
    ) -> Result<Self, ConnectError> {
        let path = Path::Relay(relay);
        Self::start(tunnel.stream, address, path, Some(tunnel.driver)).await
    }

    async fn start(
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        address: SocketAddr,
        path: Path,
        tunnel: Option<AbortOnDropHandle<()>>,
    ) -> Result<Self, ConnectError> {
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Failed)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            let _ = driver.await;
        }));
        Ok(Self {
            sender,
            _driver: driver,
            _tunnel: tunnel,
            path,
            address,
            keep_alive: DEFAULT_KEEP_ALIVE,
            used_at: Instant::now(),
            is_reused: false,
        })
    }

    /// Address of the runner.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Path that it takes.
    pub(crate) fn path(&self) -> Path {
        self.path
    }

    fn is_usable(&self, share: f64) -> bool {
        let idle_time = self.used_at.elapsed();
        self.sender.is_ready() && idle_time < self.keep_alive.mul_f64(share)
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        let excess = limit_informational(&mut request);
        let answered = tokio::select! {
            answered = self.sender.try_send_request(request) => answered,
            () = excess.cancelled() => return Err(SendError::Broken),
        };
        match answered {
            Ok(response) => {
                self.update_keep_alive(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken),
            },
        }
    }

    fn update_keep_alive(&mut self, headers: &HeaderMap) {
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

    /// Returns whether the connection has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }
}

/// Limits the informational (1xx) answers to a request. The token is cancelled when there are more.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> CancellationToken {
    let excess = CancellationToken::new();
    let (count, token) = (AtomicU32::new(0), excess.clone());
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            token.cancel();
        }
    });
    excess
}

/// Parses the timeout from `Keep-Alive: timeout=SECONDS`.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
