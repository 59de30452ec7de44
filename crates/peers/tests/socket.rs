//! Short, long and malformed messages over loopback sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_peers::{Incoming, PeerSocket, counters};
use flaxward_types::{DaemonName, Revision, ZoneName};
use flaxward_wire::{
    Envelope, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, MemberState, MemberUpdate, Message, Peer,
    WIRE_VERSION, encode,
};
use metrics_util::debugging::{DebugValue, DebuggingRecorder, Snapshotter};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

/// Maximum wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn peer(address: SocketAddr) -> Peer {
    Peer {
        name: DaemonName::literal("flaxward-0"),
        zone: ZoneName::literal("zone-0"),
        address,
    }
}

/// An envelope whose message lists the given number of members.
fn envelope(from: SocketAddr, members: usize) -> Envelope {
    let update = |incarnation| MemberUpdate {
        peer: peer(from),
        incarnation,
        state: MemberState::Alive,
    };
    let members = (0..members as u64).map(update).collect();
    Envelope {
        from: peer(from),
        configuration: Revision(3),
        members: Vec::new(),
        heads: Vec::new(),
        marks: Vec::new(),
        message: Message::Members { members },
    }
}

async fn next(received: &mut Receiver<Incoming>) -> Incoming {
    let incoming = timeout(TIMEOUT, received.recv()).await;
    incoming
        .expect("message arrives in time")
        .expect("socket is open")
}

/// Counter increments since the last snapshot; those of dropped messages by reason.
fn counts(snapshotter: &Snapshotter) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for (key, _, _, value) in snapshotter.snapshot().into_vec() {
        let reason = key.key().labels().next().map(metrics::Label::value);
        let name = reason.unwrap_or(key.key().name()).to_owned();
        if let DebugValue::Counter(count) = value {
            counts.insert(name, count);
        }
    }
    counts
}

#[tokio::test]
async fn short_messages_use_datagrams_and_long_ones_use_streams() {
    let recorder = DebuggingRecorder::new();
    let snapshotter = recorder.snapshotter();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let (first, _first_received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let (second, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let (to, from) = (second.address(), first.address());

    let short = envelope(from, 3);
    first.send(to, &short);
    assert_eq!(next(&mut received).await, (from, short));

    let long = envelope(from, 50_000);
    assert!(encode(&long).len() > 1_000_000);
    first.send(to, &long);
    let (address, arrived) = next(&mut received).await;
    assert_eq!(address.ip(), from.ip());
    assert_eq!(arrived, long);
    let counts = counts(&snapshotter);
    assert_eq!(counts[counters::DATAGRAMS_RECEIVED.name], 1);
    assert_eq!(counts[counters::STREAMS_RECEIVED.name], 1);
}

#[tokio::test]
async fn messages_at_and_just_above_the_datagram_limit_arrive() {
    let (first, _first_received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let (second, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    for length in [MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES + 1] {
        let mut sent = envelope(first.address(), 0);
        let rows = |length| Message::ViewRows {
            sequence: 1,
            rows: "x".repeat(length),
        };
        sent.message = rows(1_000);
        let padding = length - encode(&sent).len();
        sent.message = rows(1_000 + padding);
        assert_eq!(encode(&sent).len(), length);
        first.send(second.address(), &sent);
        assert_eq!(next(&mut received).await.1, sent);
    }
}

#[tokio::test]
async fn malformed_input_is_counted_and_does_not_block_valid_messages() {
    let recorder = DebuggingRecorder::new();
    let snapshotter = recorder.snapshotter();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let to = socket.address();
    let valid = envelope(any_port(), 1);

    let sender = UdpSocket::bind(any_port()).await.expect("socket binds");
    let mut other_version = encode(&valid);
    other_version[0] = WIRE_VERSION + 1;
    let too_long = vec![WIRE_VERSION; MAX_DATAGRAM_BYTES + 500];
    for datagram in [
        &b""[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &other_version,
        &too_long,
    ] {
        sender.send_to(datagram, to).await.expect("send succeeds");
    }

    // Three connections: one sends nothing, one sends garbage, one announces an excessive length.
    let idle = TcpStream::connect(to).await.expect("connect succeeds");
    for bytes in [
        [&4_u32.to_be_bytes()[..], b"junk"].concat(),
        u32::try_from(MAX_MESSAGE_BYTES + 1)
            .expect("length fits u32")
            .to_be_bytes()
            .to_vec(),
    ] {
        let mut stream = TcpStream::connect(to).await.expect("connect succeeds");
        stream.write_all(&bytes).await.expect("send succeeds");
        let closed = timeout(TIMEOUT, stream.read(&mut [0]))
            .await
            .expect("connection closes in time");
        assert!(matches!(closed, Ok(0) | Err(_)));
    }

    sender
        .send_to(&encode(&valid), to)
        .await
        .expect("send succeeds");
    assert_eq!(next(&mut received).await.1, valid);
    assert!(received.try_recv().is_err());
    let counts = counts(&snapshotter);
    assert_eq!(counts["undecodable"], 4);
    assert_eq!(counts["too_long"], 2);
    drop(idle);
}

#[tokio::test(start_paused = true)]
async fn idle_connections_time_out_and_new_ones_are_accepted() {
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let to = socket.address();
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(TcpStream::connect(to).await.expect("connect succeeds"));
    }
    for stream in &mut idle {
        let closed = stream.read(&mut [0]).await;
        assert!(matches!(closed, Ok(0) | Err(_)));
    }
    let long = envelope(to, 1_000);
    socket.send(to, &long);
    assert_eq!(received.recv().await.expect("socket is open").1, long);
}

#[tokio::test]
async fn an_unreachable_peer_does_not_delay_other_messages() {
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let (closed_socket, _) = PeerSocket::bind(any_port()).await.expect("socket binds");
    let unreachable = closed_socket.address();
    drop(closed_socket);
    for members in [1, 1_000] {
        socket.send(unreachable, &envelope(unreachable, members));
    }
    let sent = envelope(unreachable, 2);
    socket.send(socket.address(), &sent);
    assert_eq!(next(&mut received).await.1, sent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_datagrams_do_not_break_the_socket(
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_600), 0..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let arrived = runtime.block_on(async {
            let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("socket binds");
            let sender = UdpSocket::bind(any_port()).await.expect("socket binds");
            for datagram in &datagrams {
                sender.send_to(datagram, socket.address()).await.expect("send succeeds");
            }
            let valid = envelope(socket.address(), 1);
            socket.send(socket.address(), &valid);
            loop {
                let (_, envelope) = next(&mut received).await;
                if envelope == valid {
                    return true;
                }
            }
        });
        prop_assert!(arrived);
    }
}
