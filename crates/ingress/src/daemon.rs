//! Wires up and runs the ingress of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::encoding::WIRE_VERSION;
use flaxward_settings::logs::state_change;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::Coordination;
use crate::counted_store::CountedStore;
use crate::interfaces::{ClusterStore, RunnerControl, Surface};
use crate::peer::PeerSocket;
use crate::server::{
    ClientShutdown, listen, listen_for_clients, serve_clients, serve_metrics, serve_readiness,
};
use crate::settings::IngressSettings;
use crate::state::Shared;
use crate::tunnel_server::serve_tunnels;
use crate::watches::{watch_configuration, watch_evacuations, watch_runners};

/// Time after the order to stop during which new clients are still accepted: the load balancer
/// checks readiness every second and removes a daemon after two failed checks.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace period kept in reserve, so that the process exits before it is killed.
const GRACE_RESERVE: Duration = Duration::from_millis(350);
/// Time to send final answers to requests that have not finished.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(150);
/// Interval between checks for requests in progress.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ports tried for other daemons if the system chooses the port.
const PEER_BIND_ATTEMPTS: u32 = 16;

/// A running ingress.
pub struct Ingress {
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    shared: Arc<Shared>,
    tracker: TaskTracker,
    clients_end: ClientShutdown,
}

/// Renders the metrics as text.
pub type RenderMetrics = Arc<dyn Fn() -> String + Send + Sync>;

impl Ingress {
    /// Starts an ingress.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: IngressSettings,
        surface: Arc<dyn Surface>,
        store: Arc<dyn ClusterStore>,
        control: Arc<dyn RunnerControl>,
        render: Option<RenderMetrics>,
    ) -> anyhow::Result<Self> {
        let clients = listen_for_clients(settings.listen).await?;
        let readiness = listen(settings.ready_listen).await?;
        let (address, ready_address) = (clients.local_addr()?, readiness.local_addr()?);
        let metrics = match settings.metrics_listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        state_change(
            "started",
            &[
                ("daemon", &settings.name),
                ("zone", &settings.zone),
                ("address", &address),
                ("peer_address", &settings.peer_listen),
                ("version", &env!("CARGO_PKG_VERSION")),
                ("wire_version", &WIRE_VERSION),
            ],
        );
        let store = Arc::new(CountedStore::new(store));
        let shared = Arc::new(Shared::new(settings, surface, store, control));
        let (peers, tunnels) = bind_peers(&shared).await?;
        let peer_address = peers.address()?;
        let tracker = TaskTracker::new();
        let clients_end = ClientShutdown {
            closing: shared.closing.clone(),
            closed: CancellationToken::new(),
        };
        let client_server = serve_clients(
            shared.clone(),
            clients,
            tracker.clone(),
            clients_end.clone(),
        );
        // Tracked too, so that a stop waits for the last accepted connections.
        tracker.spawn(client_server);
        let pages = TaskTracker::new();
        tokio::spawn(serve_readiness(shared.clone(), readiness, pages.clone()));
        tokio::spawn(serve_tunnels(shared.clone(), tunnels, pages.clone()));
        if let (Some(listener), Some(render)) = (metrics, render) {
            tokio::spawn(serve_metrics(listener, pages, render));
        }
        tokio::spawn(watch_configuration(shared.clone()));
        tokio::spawn(watch_runners(shared.clone()));
        tokio::spawn(watch_evacuations(shared.clone()));
        tokio::spawn(Coordination::new(shared.clone(), peers)?.run());
        Ok(Self {
            address,
            ready_address,
            peer_address,
            shared,
            tracker,
            clients_end,
        })
    }

    /// Shuts down gracefully: reports not ready, still accepts late requests, and lets requests in
    /// progress finish within the grace period.
    pub async fn stop(self) {
        let started = Instant::now();
        let grace = self.shared.settings.stop_grace;
        let end = started + grace.saturating_sub(GRACE_RESERVE);
        self.shared.tables().stop_end = Some(end);
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_waiters();
        self.shared.demand.notify_one();
        state_change("stopping", &[("requests", &self.in_progress())]);
        sleep_until((started + SHUTDOWN_NOTICE).min(end)).await;
        self.shared.closing.cancel();
        self.tracker.close();
        while Instant::now() < end && (self.in_progress() > 0 || self.has_tunnels()) {
            sleep(DRAIN_INTERVAL).await;
        }
        let left = self.in_progress();
        self.clients_end.closed.cancel();
        self.shared.ending.cancel();
        let last = Instant::now() + FINAL_ANSWER_TIME;
        let _ = tokio::time::timeout_at(last, self.tracker.wait()).await;
        state_change("stopped", &[("requests_cut_off", &left)]);
    }

    /// Whether requests of other daemons may pass through this one.
    fn has_tunnels(&self) -> bool {
        self.shared.open_tunnels.load(Ordering::Relaxed) > 0
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.shared.requests.load(Ordering::Relaxed)
    }
}

/// Binds the sockets for other daemons: UDP for messages and TCP for tunnels, at the same port.
async fn bind_peers(shared: &Shared) -> anyhow::Result<(PeerSocket, TcpListener)> {
    let address = shared.settings.peer_listen;
    let mut attempts = PEER_BIND_ATTEMPTS;
    loop {
        let tunnels = listen(address).await?;
        let bound = PeerSocket::bind(tunnels.local_addr()?, shared.clock.clone()).await;
        attempts -= 1;
        match bound {
            Ok(peers) => return Ok((peers, tunnels)),
            // The system has chosen a port that is in use over UDP.
            Err(_) if address.port() == 0 && attempts > 0 => {}
            Err(error) => return Err(error),
        }
    }
}
