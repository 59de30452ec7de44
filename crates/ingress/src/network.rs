//! Opens connections to runners.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::TcpStream;

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
