//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_client_limits::RECEIVE_BUFFER_BYTES;
use flaxward_control::admission::AdmissionSettings;
use flaxward_control::attempt::{AttemptSettings, RetryBudgetSettings};
use flaxward_control::claims::ClaimSettings;
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_types::ZoneName;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Smallest connection buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 16 * 1_024;
/// Size of a whole head with request line and separators, as a multiple of its header names and values.
const HEAD_BYTES_PER_HEADER_BYTE: usize = 2;

/// Limits and timeouts of the API for callers. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The zones known at startup, the zone of the daemon first.
    pub zones: Vec<ZoneName>,
    /// Maximum body size of a request, in bytes.
    pub body_limit: usize,
    /// Maximum total size of the header names and values of a request, in bytes.
    pub header_limit: usize,
    /// Timeout for receiving the whole body.
    pub body_timeout: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Maximum deadline; a longer one is reduced to it.
    pub max_deadline: Duration,
    /// Maximum number of requests in progress at this daemon, including waiting ones.
    pub max_in_progress: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum total size of the request and answer bodies buffered at this daemon, in bytes.
    pub held_bytes: usize,
    /// Maximum size of a non-streaming answer that is buffered until it is complete, in bytes.
    /// While an answer is buffered, another attempt can replace it; a longer one is forwarded as it
    /// arrives.
    pub answer_hold: usize,
    /// Maximum time without data from a back end during a stream.
    pub stream_idle: Duration,
    /// Maximum time that a broken stream waits for another replica.
    pub stream_resume_wait: Duration,
    /// Maximum duration of a stream.
    pub stream_limit: Duration,
    /// Time after which a connection is closed whose caller reads nothing of its answer.
    pub write_stall: Duration,
    /// Retry delay sent to a refused caller if no better estimate is known.
    pub retry_after: Duration,
    /// Admission queue and demand.
    pub admission: AdmissionSettings,
    /// Attempts of one request.
    pub attempts: AttemptSettings,
    /// Retry budget shared by all requests.
    pub retries: RetryBudgetSettings,
    /// Idempotency keys.
    pub claims: ClaimSettings,
    /// Quarantine of requests that crash back ends.
    pub quarantine: QuarantineSettings,
}

impl GatewaySettings {
    /// The defaults for a daemon that knows these zones, with its own zone first.
    pub fn new(zones: Vec<ZoneName>) -> Self {
        Self {
            zones,
            body_limit: 1 << 20,
            header_limit: 16 << 10,
            body_timeout: Duration::from_secs(10),
            default_deadline: Duration::from_mins(1),
            max_deadline: Duration::from_mins(10),
            max_in_progress: 8_192,
            max_connections: 16_384,
            held_bytes: 64 << 20,
            answer_hold: 1 << 20,
            stream_idle: Duration::from_secs(30),
            stream_resume_wait: Duration::from_secs(30),
            stream_limit: Duration::from_hours(1),
            write_stall: Duration::from_secs(30),
            retry_after: Duration::from_secs(5),
            admission: AdmissionSettings::default(),
            attempts: AttemptSettings::default(),
            retries: RetryBudgetSettings::default(),
            claims: ClaimSettings::default(),
            quarantine: QuarantineSettings::default(),
        }
    }

    /// Timeouts of a connection, which is closed if its caller sends its headers slowly or does not
    /// read its answer. Waiting for an answer is not limited here.
    pub(crate) fn connection_timeouts(&self) -> FuseConfig {
        FuseConfig::default()
            .with_http1_header_timeout(HEADER_TIMEOUT)
            .with_write_stall_timeout(self.write_stall)
    }

    /// Size of the buffer of a connection, in bytes, which must hold the longest headers.
    pub(crate) fn buffer_bytes(&self) -> usize {
        MIN_BUFFER_BYTES.max(self.header_limit * HEAD_BYTES_PER_HEADER_BYTE)
    }
}

/// Listens for callers, with receive buffers of a fixed size, and with `TCP_NODELAY` so that each
/// token is sent at once: without it a token waits for the acknowledgement of the previous one,
/// which callers delay by up to 40 ms. Accepted connections inherit both options (as on Linux).
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let listener = TcpListener::bind(address).await?;
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    TcpAcceptor::try_from(listener)
}

/// Builds an HTTP client for back ends, without redirects, proxies or retries.
///
/// # Errors
/// Fails if the client cannot be built.
pub fn back_end_client(connect_timeout: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(Duration::from_secs(30))
        .tcp_nodelay(true)
        .build()
}
