//! Opens TCP connections to runners, and sets the options of TCP connections.

use std::fmt::Debug;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::SockRef;
use tokio::net::TcpStream;

/// `TCP_USER_TIMEOUT` of connections to runners and relays: the time after which unacknowledged data closes them.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// It was refused: nothing listens at the address, or something on the way rejects it.
    Refused,
    /// There was no answer in time.
    TimedOut,
    /// It failed for another reason.
    Failed,
}

/// The network between this daemon and the runners.
#[async_trait]
pub trait Network: Debug + Send + Sync {
    /// Opens a connection to a runner.
    ///
    /// # Errors
    /// Fails if the connection is refused or cannot be established.
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream>;
}

/// TCP of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork;

#[async_trait]
impl Network for TcpNetwork {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// Opens and configures a connection to a runner.
pub(crate) async fn connect(
    network: &dyn Network,
    address: SocketAddr,
) -> Result<TcpStream, ConnectError> {
    let connected = network.connect(address).await;
    let stream = connected.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::Failed,
    })?;
    configure(&stream, TCP_USER_TIMEOUT);
    Ok(stream)
}

/// Sets the options of a connection. Both only matter for latency and for how soon a dead connection is closed, so a
/// failure is ignored.
pub(crate) fn configure(stream: &TcpStream, user_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}
