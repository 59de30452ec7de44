//! The ingress of one daemon, put together in one place.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::encoding::WIRE_VERSION;
use flaxward_settings::logs::state_change;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::TaskTracker;

use crate::coordination::Coordination;
use crate::counted_store::CountedStore;
use crate::interfaces::{ClusterStore, RunnerControl, Surface};
use crate::peer::PeerSocket;
use crate::server::{ClientShutdown, listen, serve_clients, serve_metrics, serve_readiness};
use crate::settings::IngressSettings;
use crate::state::Shared;
use crate::watches::{watch_configuration, watch_evacuations, watch_runners};

/// Time after the order to stop in which new clients may still come: the entrance asks every second
/// and leaves a daemon out after two misses.
const NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace that is left unused, so that the process ends by itself.
const GRACE_RESERVE: Duration = Duration::from_millis(350);
/// Time for the final answers of requests that have not ended.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// Time between looks at what is still in progress.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// A running ingress.
pub struct Ingress {
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready_address: SocketAddr,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    shared: Arc<Shared>,
    tracker: TaskTracker,
    clients_end: ClientShutdown,
}

/// Writes the counters as text.
pub type RenderMetrics = Arc<dyn Fn() -> String + Send + Sync>;

impl Ingress {
    /// Starts an ingress.
    ///
    /// # Errors
    /// Fails if an address cannot be listened at.
    pub async fn start(
        settings: IngressSettings,
        surface: Arc<dyn Surface>,
        store: Arc<dyn ClusterStore>,
        control: Arc<dyn RunnerControl>,
        render: Option<RenderMetrics>,
    ) -> anyhow::Result<Self> {
        let clients = listen(settings.listen).await?;
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
        let peers = PeerSocket::bind(shared.settings.peer_listen, shared.clock.clone()).await?;
        let peer_address = peers.address()?;
        let tracker = TaskTracker::new();
        let clients_end = ClientShutdown::default();
        let client_server = serve_clients(
            shared.clone(),
            clients,
            tracker.clone(),
            clients_end.clone(),
        );
        // Tracked too, so that a stop waits for the connections that it takes last.
        tracker.spawn(client_server);
        let pages = TaskTracker::new();
        tokio::spawn(serve_readiness(shared.clone(), readiness, pages.clone()));
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

    /// Stops as planned: is not ready any more, lets the requests in progress finish within the
    /// grace, and takes those that still come.
    pub async fn stop(self) {
        let begun = Instant::now();
        let grace = self.shared.settings.stop_grace;
        let end = begun + grace.saturating_sub(GRACE_RESERVE);
        self.shared.tables().stop_end = Some(end);
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_waiters();
        self.shared.demand.notify_one();
        state_change("stopping", &[("requests", &self.in_progress())]);
        sleep_until((begun + NOTICE).min(end)).await;
        self.shared.closing.store(true, Ordering::Relaxed);
        self.clients_end.closing.cancel();
        self.tracker.close();
        while Instant::now() < end && self.in_progress() > 0 {
            sleep(DRAIN_INTERVAL).await;
        }
        let left = self.in_progress();
        self.clients_end.closed.cancel();
        self.shared.ending.cancel();
        let last = Instant::now() + LAST_ANSWERS;
        let _ = tokio::time::timeout_at(last, self.tracker.wait()).await;
        state_change("stopped", &[("requests_cut_off", &left)]);
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.shared.requests.load(Ordering::Relaxed)
    }
}
