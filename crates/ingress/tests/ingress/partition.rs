//! A network to runners that can be partitioned, for one daemon alone.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use flaxward_ingress::IngressSettings;
use flaxward_ingress::interfaces::{FencedOrder, RunnerControl};
use flaxward_ingress::network::Network;
use flaxward_routing::placement::{OrderAnswer, RunnerReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::runner::{ScriptedRunner, reset};
use crate::store::MemoryStore;
use crate::support::{self, ImmediateLoadControl, TestIngress, configuration, settings};

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
        tokio::spawn(pass(near, remote, self.path.subscribe()));
        Ok(local)
    }
}

/// Passes bytes in both directions while the path lets them. A reset is passed on as one.
async fn pass(near: TcpStream, remote: TcpStream, mut path: watch::Receiver<Path>) {
    let (mut near_read, mut near_write) = near.into_split();
    let (mut remote_read, mut remote_write) = remote.into_split();
    let mut cut = path.clone();
    let ended = tokio::select! {
        _ = cut.wait_for(|path| *path == Path::Reset) => Err(ErrorKind::ConnectionReset.into()),
        ended = copy(&mut near_read, &mut remote_write, path.clone()) => ended,
        ended = copy(&mut remote_read, &mut near_write, path.clone()) => ended,
    };
    let _ = path.wait_for(|path| *path != Path::Silent).await;
    if ended.is_err() {
        reset(near_write.as_ref());
        reset(remote_write.as_ref());
        // Their end would send a close first.
        near_write.forget();
        remote_write.forget();
    }
}

async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut path: watch::Receiver<Path>,
) -> io::Result<()> {
    let mut bytes = [0; 4096];
    loop {
        let length = from.read(&mut bytes).await?;
        if path.wait_for(|path| *path != Path::Silent).await.is_err() || length == 0 {
            return Ok(());
        }
        to.write_all(&bytes[..length]).await?;
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

/// Daemons that share a store and runners; each has its own network. The first one is the coordinator.
pub struct Cluster {
    pub runners: Vec<ScriptedRunner>,
    pub networks: Vec<PartitionedNetwork>,
    pub daemons: Vec<TestIngress>,
}

impl Cluster {
    pub async fn start(daemons: usize, runner_count: usize) -> Self {
        let mut runners = Vec::new();
        for _ in 0..runner_count {
            runners.push(ScriptedRunner::start(Vec::new()).await);
        }
        let store = MemoryStore::default();
        let addresses = runners.iter().map(|it| it.address);
        store.set_runners(support::runners(addresses));
        store.set_configuration(configuration(1, Vec::new()));
        let control = Arc::new(ImmediateLoadControl::default());
        let mut cluster = Self {
            runners,
            networks: Vec::new(),
            daemons: Vec::new(),
        };
        for index in 0..daemons {
            let network = PartitionedNetwork::default();
            let control = Arc::new(PartitionedControl {
                network: network.clone(),
                control: control.clone(),
            });
            let settings = IngressSettings {
                network: Arc::new(network.clone()),
                ..settings(&format!("d{index}"))
            };
            let daemon = TestIngress::start_with(settings, store.share(), control).await;
            daemon.until_ready().await;
            cluster.networks.push(network);
            cluster.daemons.push(daemon);
            sleep(Duration::from_millis(500)).await;
        }
        // Each daemon learns the addresses of the others.
        sleep(Duration::from_secs(5)).await;
        cluster
    }

    /// Sends a request to a daemon. Returns whether it is served.
    pub async fn is_served(&self, daemon: usize, path: &str, id: &str) -> bool {
        let request = self.daemons[daemon].request(path, id);
        let response = request.send().await;
        let Ok(response) = response else {
            return false;
        };
        let is_success = response.status() == 200;
        is_success && response.text().await.is_ok_and(|body| !body.is_empty())
    }
}
