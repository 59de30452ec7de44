//! A daemon, put together in one place.

mod claim_removal;
pub mod core;
pub(crate) mod counters;
mod decisions;
mod event;
mod gateway_settings;
mod http;
mod observer;
mod operator_views;
mod reports;
mod runner_driver;
mod store_driver;
mod views;
mod watches;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use flaxward_backends::http_client::Timeouts;
use flaxward_backends::resolving::RetryLimits;
use flaxward_backends::{
    EngineApi, EngineHttp, MachineList, MachinesHttp, ObjectApi, ObjectsHttp, ResolvingStore,
};
use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::Coordinator;
use flaxward_control::gossip::{Gossip, GossipSettings};
use flaxward_control::node::{Node, NodeEvent};
use flaxward_gateway::{Gateway, back_end_client};
use flaxward_operators::Executor;
use flaxward_peers::PeerSocket;
use flaxward_settings::Settings;
use flaxward_settings::logs::state_change;
use flaxward_types::ZoneName;
use flaxward_types::engine::Machine;
use flaxward_types::time::millis;
use flaxward_wire::Peer;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::{Router, Server};
use salvo::server::ServerHandle;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use self::claim_removal::ClaimRemover;
use self::core::{Core, Parts};
use self::event::CoreEvent;
pub use self::gateway_settings::gateway_settings;
use self::operator_views::DaemonViews;
use self::runner_driver::RunnerDriver;
use self::store_driver::StoreDriver;

/// Time that the HTTP server waits for connections to close once no request is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time for which a stopping daemon refuses new requests before it closes its address, so
/// that callers and load balancers learn of the stop from an answer and not from a broken connection.
const NOTICE: Duration = Duration::from_secs(1);

/// Time allowed for handing the lease back on a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// A running daemon.
pub struct Daemon {
    /// Where callers and operators reach it.
    pub address: SocketAddr,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    gateway: Arc<Gateway>,
    events: mpsc::UnboundedSender<CoreEvent>,
    ready: watch::Sender<bool>,
    server: HttpServer,
    stop: CancellationToken,
    core: JoinHandle<()>,
    drain_timeout: Duration,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a client cannot be made.
    pub async fn start(
        settings: &Settings,
        metrics: Option<PrometheusHandle>,
    ) -> anyhow::Result<Self> {
        let platform = PlatformClients::new(settings)?;
        let (peers, received) = PeerSocket::bind(settings.daemon.peer_listen).await?;
        let me = Peer {
            name: settings.daemon.name.clone(),
            zone: settings.daemon.zone.clone(),
            address: settings.peer_address(peers.address()),
        };
        let (events, queue) = mpsc::unbounded_channel();
        let (configuration, configuration_reader) =
            watch::channel(Arc::new(Configuration::default()));
        let (demands, demanded) = mpsc::unbounded_channel();
        let for_gateway = gateway_settings(settings);
        let gateway = Gateway::new(
            for_gateway,
            configuration_reader.clone(),
            back_end_client(settings.platform.engine_timeout)?,
            demands,
            platform.store.clone(),
            me.name.clone(),
        );
        let (reading, reader) = watch::channel(false);
        let (ready, ready_reader) = watch::channel(false);
        let (share, observed) = watch::channel(Vec::new());
        let (leading, leader) = watch::channel(false);
        let relist = Arc::new(Notify::new());
        let stop = CancellationToken::new();

        let peer_address = me.address;
        let core = Core::new(Parts {
            node: Node::new(me.clone(), gossip(settings, &me), coordinator(settings)),
            gateway: gateway.clone(),
            peers,
            store: StoreDriver::new(platform.store.clone(), me.zone.clone(), events.clone()),
            runners: RunnerDriver::new(platform.engines.clone(), events.clone()),
            configuration,
            reading,
            share,
            leading,
            relist: relist.clone(),
            ready: ready.clone(),
        });

        spawn_until(&stop, forward_received(received, events.clone()));
        spawn_until(&stop, forward_demands(demanded, events.clone()));
        let ticking = gateway.clone();
        spawn_until(&stop, async move { ticking.run().await });
        let readers = Readers {
            reading: reader,
            relist,
            share: observed,
        };
        readers.spawn(&platform, settings, &events, &stop);
        let remover =
            ClaimRemover::new(platform.store.clone(), settings.removal(), &settings.daemon);
        spawn_until(&stop, remover.run(leader));
        let core = tokio::spawn(core.run(queue));

        let views = DaemonViews {
            core: events.clone(),
            configuration: configuration_reader,
            store: platform.store.clone(),
        };
        let executor = Arc::new(Executor::new(platform.store, Arc::new(views)));
        let router = Router::new()
            .push(http::health_router(ready_reader, metrics))
            .push(flaxward_operators::router(executor))
            .push(gateway.router());
        let listen_address = settings.daemon.listen;
        let acceptor = flaxward_gateway::listen(listen_address)
            .await
            .with_context(|| format!("cannot listen on {listen_address}"))?;
        let address = acceptor
            .local_addr()
            .context("the listening socket has no address")?;
        let server = serve(gateway.server(acceptor), router);
        state_change(
            "started",
            &[
                ("daemon", &settings.daemon.name),
                ("address", &address),
                ("peer_address", &peer_address),
            ],
        );
        Ok(Self {
            address,
            peer_address,
            gateway,
            events,
            ready,
            server,
            stop,
            core,
            drain_timeout: settings.stop.drain_timeout,
        })
    }

    /// Stops as planned: takes no new request, lets the requests in progress finish, hands the lease
    /// back, and only then closes the connections.
    pub async fn stop(self) {
        state_change("stopping", &[("address", &self.address)]);
        let notice_given = tokio::time::Instant::now() + NOTICE;
        self.ready.send_replace(false);
        let _ = self.events.send(NodeEvent::Stop.into());
        let drained = tokio::time::timeout(self.drain_timeout, self.gateway.stop()).await;
        if drained.is_err() {
            let left = self.gateway.running() + self.gateway.waiting();
            state_change("drain-timeout", &[("requests", &left)]);
        }
        let _ = self.events.send(NodeEvent::Drained.into());
        if tokio::time::timeout(HAND_OVER_TIMEOUT, self.core)
            .await
            .is_err()
        {
            state_change("hand-over-timeout", &[("address", &self.address)]);
        }
        tokio::time::sleep_until(notice_given).await;
        self.server.stop().await;
        self.stop.cancel();
        state_change("stopped", &[("address", &self.address)]);
    }
}

/// What tells the daemon's readers of the platform what to read.
struct Readers {
    reading: watch::Receiver<bool>,
    relist: Arc<Notify>,
    share: watch::Receiver<Vec<Machine>>,
}

impl Readers {
    fn spawn(
        self,
        platform: &PlatformClients,
        settings: &Settings,
        events: &mpsc::UnboundedSender<CoreEvent>,
        stop: &CancellationToken,
    ) {
        tokio::spawn(watches::watch_configuration(
            platform.store.clone(),
            events.clone(),
            self.reading.clone(),
            self.relist,
            stop.clone(),
        ));
        tokio::spawn(watches::watch_quotas(
            platform.store.clone(),
            events.clone(),
            self.reading.clone(),
            stop.clone(),
        ));
        tokio::spawn(watches::watch_machines(
            platform.machines.clone(),
            settings.platform.machine_list_interval,
            events.clone(),
            self.reading,
            stop.clone(),
        ));
        tokio::spawn(observer::observe(
            platform.engines.clone(),
            self.share,
            settings.coordinator.inventory_refresh,
            events.clone(),
            stop.clone(),
        ));
    }
}

/// The HTTP server while it runs.
struct HttpServer {
    handle: ServerHandle,
    running: JoinHandle<()>,
}

impl HttpServer {
    /// Closes the address and lets the last answers leave.
    async fn stop(self) {
        self.handle.stop_graceful(CLOSE_TIMEOUT);
        // The server ends within that time; one that has ended before needs no stop.
        let _ = self.running.await;
    }
}

/// Clients for the platform.
struct PlatformClients {
    store: Arc<dyn ObjectApi>,
    machines: Arc<dyn MachineList>,
    engines: Arc<dyn EngineApi>,
}

impl PlatformClients {
    fn new(settings: &Settings) -> anyhow::Result<Self> {
        let platform = &settings.platform;
        let identity = format!("{}/{}", settings.daemon.zone, settings.daemon.name);
        let limits = |call: Duration| Timeouts {
            connect: call,
            call,
            ..Timeouts::default()
        };
        let store = ObjectsHttp::new(
            platform.object_api.as_str(),
            &identity,
            limits(platform.object_api_timeout),
        )?;
        Ok(Self {
            store: Arc::new(ResolvingStore::new(store, RetryLimits::default())),
            machines: Arc::new(MachinesHttp::new(
                platform.machine_list.as_str(),
                limits(platform.object_api_timeout),
            )?),
            engines: Arc::new(EngineHttp::new(limits(platform.engine_timeout))?),
        })
    }
}

fn gossip(settings: &Settings, me: &Peer) -> Gossip {
    let mut gossip = GossipSettings::default();
    gossip.membership.probe_interval = settings.membership.probe_interval;
    gossip.membership.probe_timeout = settings.membership.probe_timeout;
    gossip.membership.suspicion_timeout = settings.membership.suspicion;
    let seeds = settings
        .daemon
        .seeds
        .iter()
        .map(|seed| seed.address)
        .collect();
    Gossip::new(gossip, me.clone(), seeds, incarnation(), rand::random())
}

/// Milliseconds of wall-clock time: rises with each start of a daemon.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since_epoch)
}

fn coordinator(settings: &Settings) -> Coordinator {
    let daemon = &settings.daemon;
    Coordinator::new(
        settings.coordinator(),
        daemon.name.clone(),
        daemon.zone.clone(),
        daemon.zones.clone(),
        rand::random(),
    )
}

fn spawn_until(stop: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled_owned(task).await });
}

async fn forward_received(
    mut received: mpsc::Receiver<flaxward_peers::Incoming>,
    events: mpsc::UnboundedSender<CoreEvent>,
) {
    while let Some((_, envelope)) = received.recv().await {
        if events
            .send(NodeEvent::Received(Box::new(envelope)).into())
            .is_err()
        {
            return;
        }
    }
}

async fn forward_demands(
    mut demanded: mpsc::UnboundedReceiver<(ZoneName, Vec<flaxward_types::routing::Demand>)>,
    events: mpsc::UnboundedSender<CoreEvent>,
) {
    while let Some((zone, demands)) = demanded.recv().await {
        if events
            .send(NodeEvent::Demands(zone, demands).into())
            .is_err()
        {
            return;
        }
    }
}

fn serve(server: Server<TcpAcceptor>, router: Router) -> HttpServer {
    let handle = server.handle();
    let running = tokio::spawn(server.serve(router));
    HttpServer { handle, running }
}
