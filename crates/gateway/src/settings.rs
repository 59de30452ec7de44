//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_control::admission::AdmissionSettings;
use flaxward_control::attempt::{AttemptSettings, RetryBudgetSettings};
use flaxward_control::claims::ClaimSettings;
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_types::ZoneName;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Time allowed for the headers of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits and durations of the callers' interface. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The zones known at the start, the daemon's own first.
    pub zones: Vec<ZoneName>,
    /// Longest body of a request, in bytes.
    pub body_limit: usize,
    /// Longest headers of a request, names and values all together, in bytes.
    pub header_limit: usize,
    /// Time allowed for the whole body to arrive.
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline; a longer one is shortened to it.
    pub max_deadline: Duration,
    /// Requests in progress at this daemon, waiting ones included, at most.
    pub max_in_progress: usize,
    /// Bodies of requests and answers held at this daemon, all together, in bytes.
    pub held_bytes: usize,
    /// Longest answer without frames that is held until it is whole, in bytes. While an answer is
    /// held, another attempt can replace it; a longer one is passed on as it comes.
    pub answer_hold: usize,
    /// Longest silence of a back end in the middle of a stream.
    pub stream_idle: Duration,
    /// How long a broken stream waits for another replica.
    pub stream_resume_wait: Duration,
    /// Longest stream.
    pub stream_limit: Duration,
    /// Time in which a caller must take in more of its answer before its connection is closed.
    pub write_stall: Duration,
    /// When a caller is told to come back if nothing better is known.
    pub retry_after: Duration,
    /// Waiting and demand.
    pub admission: AdmissionSettings,
    /// Attempts of one request.
    pub attempts: AttemptSettings,
    /// Retries of all requests together.
    pub retries: RetryBudgetSettings,
    /// Idempotency keys.
    pub claims: ClaimSettings,
    /// Requests that crash back ends.
    pub quarantine: QuarantineSettings,
}

impl GatewaySettings {
    /// The defaults for a daemon that knows these zones, its own first.
    pub fn new(zones: Vec<ZoneName>) -> Self {
        Self {
            zones,
            body_limit: 1 << 20,
            header_limit: 16 << 10,
            body_timeout: Duration::from_secs(10),
            default_deadline: Duration::from_mins(1),
            max_deadline: Duration::from_mins(10),
            max_in_progress: 8_192,
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

    /// Limits of one caller's connection, for the server: a caller that sends its headers slowly or
    /// does not read its answer is cut off. Waiting for an answer is not limited here.
    pub fn connection_limits(&self) -> FuseConfig {
        FuseConfig::default()
            .with_http1_header_timeout(HEADER_TIMEOUT)
            .with_write_stall_timeout(self.write_stall)
    }
}

/// Listens for callers. Each token leaves at once: accepted connections take over `TCP_NODELAY`
/// from the listening socket (as on Linux). Without it a token waits until the caller has acknowledged the one
/// before, which callers put off for up to 40 ms.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let listener = TcpListener::bind(address).await?;
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    TcpAcceptor::try_from(listener)
}

/// An HTTP client for back ends: it follows no redirect, uses no proxy and sends nothing twice.
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
