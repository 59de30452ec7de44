//! A network to runners that can be partitioned, for one daemon alone.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use flaxward_ingress::interfaces::{FencedOrder, RunnerControl};
use flaxward_ingress::network::Network;
use flaxward_routing::placement::{OrderAnswer, RunnerReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of the path between a daemon and all runners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    #[default]
    Whole,
    /// Nothing passes: connections stay open without a byte, and new ones are not established.
    Silent,
    /// Connections break, and new ones are refused.
    Reset,
    /// Connections live on, and new ones are refused.
    NewRefused,
}

/// A network whose path to all runners can be cut.
#[derive(Clone, Debug)]
pub struct PartitionedNetwork {
    path: Arc<watch::Sender<Path>>,
}

impl Default for PartitionedNetwork {
    fn default() -> Self {
        Self {
            path: Arc::new(watch::Sender::new(Path::Whole)),
        }
    }
}

impl PartitionedNetwork {
    pub fn set(&self, path: Path) {
        self.path.send_replace(path);
    }

    async fn until_whole(&self) {
        let mut path = self.path.subscribe();
        path.wait_for(|path| *path == Path::Whole).await.unwrap();
    }
}

#[async_trait]
impl Network for PartitionedNetwork {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let path = *self.path.borrow();
        match path {
            Path::Whole => {}
            Path::Silent => self.until_whole().await,
            Path::Reset | Path::NewRefused => return Err(ErrorKind::ConnectionRefused.into()),
        }
        let remote = TcpStream::connect(address).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let local = TcpStream::connect(listener.local_addr()?).await?;
        let (near, _) = listener.accept().await?;
        let (near_read, near_write) = near.into_split();
        let (remote_read, remote_write) = remote.into_split();
        tokio::spawn(pass(near_read, remote_write, self.path.subscribe()));
        tokio::spawn(pass(remote_read, near_write, self.path.subscribe()));
        Ok(local)
    }
}

/// Passes bytes on while the path lets them.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut path: watch::Receiver<Path>) {
    let mut bytes = [0; 4096];
    loop {
        let length = tokio::select! {
            biased;
            _ = path.wait_for(|path| *path == Path::Reset) => return,
            read = from.read(&mut bytes) => read.unwrap_or(0),
        };
        if path.wait_for(|path| *path != Path::Silent).await.is_err() || length == 0 {
            return;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

/// The control interface of runners as reached over a network.
pub struct PartitionedControl {
    pub network: PartitionedNetwork,
    pub control: Arc<dyn RunnerControl>,
}

impl PartitionedControl {
    fn is_cut(&self) -> bool {
        *self.network.path.borrow() != Path::Whole
    }
}

#[async_trait]
impl RunnerControl for PartitionedControl {
    async fn report(&self, address: SocketAddr) -> Option<RunnerReport> {
        if self.is_cut() {
            return None;
        }
        self.control.report(address).await
    }

    async fn order(&self, address: SocketAddr, order: &FencedOrder<'_>) -> OrderAnswer {
        if self.is_cut() {
            return OrderAnswer::Unknown;
        }
        self.control.order(address, order).await
    }
}
