//! What the daemons' messages to each other go through, so that zones can be cut off from each other.
//!
//! Each daemon advertises the address of a relay in this process. A message says itself which zone it
//! comes from, so the relay knows whether it may pass. Where the daemon itself listens is learnt from
//! the datagrams that it sends; the first one sends them to the beacon, which is its only seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxward_types::{DaemonName, ZoneName};
use flaxward_wire::{Envelope, decode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::daemon::Settings;

/// Any free port of this machine.
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Longest datagram.
const DATAGRAM_LIMIT: usize = 65_536;

/// Bytes that state the length of a message in a connection.
const LENGTH_BYTES: usize = 4;

/// Time for one message in a connection.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Relays of all daemons of a region.
pub struct Network {
    shared: Arc<Shared>,
    beacon: SocketAddr,
}

#[derive(Default)]
struct Shared {
    /// Where the daemons listen.
    listening: Mutex<BTreeMap<DaemonName, SocketAddr>>,
    /// Zones that are cut off from all others.
    cut: Mutex<BTreeSet<ZoneName>>,
}

impl Shared {
    fn learn(&self, bytes: &[u8], source: SocketAddr) -> Option<Envelope> {
        let envelope = decode(bytes).ok()?;
        let mut listening = self.listening.lock().expect("no relay panics with it");
        listening.insert(envelope.from.name.clone(), source);
        Some(envelope)
    }

    fn address(&self, daemon: &DaemonName) -> Option<SocketAddr> {
        let listening = self.listening.lock().expect("no relay panics with it");
        listening.get(daemon).copied()
    }

    fn may_pass(&self, from: &ZoneName, to: &ZoneName) -> bool {
        let cut = self.cut.lock().expect("no relay panics with it");
        from == to || !(cut.contains(from) || cut.contains(to))
    }
}

impl Network {
    /// A network without daemons.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let socket = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let beacon = socket.local_addr().expect("a bound socket");
        tokio::spawn(listen(Arc::clone(&shared), socket));
        Self { shared, beacon }
    }

    /// Makes a relay for a daemon that is about to start with these settings.
    pub async fn join(&self, settings: &mut Settings) {
        let (datagrams, connections) = bind_both().await;
        let address = datagrams.local_addr().expect("a bound socket");
        let relay = Arc::new(Relay {
            shared: Arc::clone(&self.shared),
            daemon: settings["daemon.name"].parse().expect("a name"),
            zone: settings["daemon.zone"].parse().expect("a name"),
        });
        tokio::spawn(Arc::clone(&relay).pass_datagrams(datagrams));
        tokio::spawn(relay.pass_connections(connections));
        settings.insert("daemon.peer_advertise".to_owned(), address.to_string());
        let seeds = settings.entry("daemon.seeds".to_owned()).or_default();
        if seeds.is_empty() {
            *seeds = self.beacon.to_string();
        }
    }

    /// Cuts these zones off from all others, and joins the rest again.
    pub fn cut(&self, zones: &[&'static str]) {
        let zones = zones.iter().map(|zone| ZoneName::literal(zone)).collect();
        *self.shared.cut.lock().expect("no relay panics with it") = zones;
    }
}

/// Binds a port for datagrams and connections.
async fn bind_both() -> (UdpSocket, TcpListener) {
    loop {
        let datagrams = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let address = datagrams.local_addr().expect("a bound socket");
        if let Ok(connections) = TcpListener::bind(address).await {
            return (datagrams, connections);
        }
    }
}

/// Learns where daemons listen from what they send to the beacon.
async fn listen(shared: Arc<Shared>, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    while let Ok((length, source)) = socket.recv_from(&mut buffer).await {
        shared.learn(&buffer[..length], source);
    }
}

/// Passes messages on to one daemon.
struct Relay {
    shared: Arc<Shared>,
    daemon: DaemonName,
    zone: ZoneName,
}

impl Relay {
    async fn pass_datagrams(self: Arc<Self>, socket: UdpSocket) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            // An error tells of an earlier datagram that was not received.
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let datagram = &buffer[..length];
            let Some(envelope) = self.shared.learn(datagram, source) else {
                continue;
            };
            if let Some(target) = self.target(&envelope) {
                // Datagrams may be lost.
                let _ = socket.send_to(datagram, target).await;
            }
        }
    }

    async fn pass_connections(self: Arc<Self>, listener: TcpListener) {
        while let Ok((connection, _)) = listener.accept().await {
            let relay = Arc::clone(&self);
            let passing = async move { relay.pass_message(connection).await };
            tokio::spawn(tokio::time::timeout(MESSAGE_TIMEOUT, passing));
        }
    }

    /// Passes on the one message of a connection; none if the connection breaks.
    async fn pass_message(&self, mut connection: TcpStream) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        connection.read_to_end(&mut bytes).await?;
        let message = bytes.get(LENGTH_BYTES..).unwrap_or_default();
        let target = decode(message)
            .ok()
            .and_then(|envelope| self.target(&envelope));
        if let Some(target) = target {
            let mut onward = TcpStream::connect(target).await?;
            onward.write_all(&bytes).await?;
            onward.shutdown().await?;
        }
        Ok(())
    }

    /// Where a message goes, if it may pass.
    fn target(&self, envelope: &Envelope) -> Option<SocketAddr> {
        let may_pass = self.shared.may_pass(&envelope.from.zone, &self.zone);
        may_pass
            .then(|| self.shared.address(&self.daemon))
            .flatten()
    }
}
