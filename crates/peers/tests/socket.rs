//! Envelopes over loopback sockets: short, long, and everything that is none.

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

/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(20);

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

/// An envelope that names so many members.
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
    let incoming = timeout(PATIENCE, received.recv()).await;
    incoming
        .expect("it comes in time")
        .expect("the socket lives")
}

/// The values of the counters since the last look; those of dropped messages by their reason.
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
async fn short_messages_go_by_datagram_and_long_ones_by_stream() {
    let recorder = DebuggingRecorder::new();
    let snapshotter = recorder.snapshotter();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let (first, _first_received) = PeerSocket::bind(any_port()).await.expect("it binds");
    let (second, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
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
async fn the_longest_datagram_and_the_next_byte_both_arrive() {
    let (first, _first_received) = PeerSocket::bind(any_port()).await.expect("it binds");
    let (second, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
    for length in [MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES + 1] {
        let mut sent = envelope(first.address(), 0);
        let rows = |length| Message::ViewRows {
            sequence: 1,
            rows: "x".repeat(length),
        };
        sent.message = rows(1_000);
        let rest = length - encode(&sent).len();
        sent.message = rows(1_000 + rest);
        assert_eq!(encode(&sent).len(), length);
        first.send(second.address(), &sent);
        assert_eq!(next(&mut received).await.1, sent);
    }
}

#[tokio::test]
async fn bad_input_is_counted_and_harms_nobody() {
    let recorder = DebuggingRecorder::new();
    let snapshotter = recorder.snapshotter();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
    let to = socket.address();
    let good = envelope(any_port(), 1);

    let stranger = UdpSocket::bind(any_port()).await.expect("it binds");
    let mut other_version = encode(&good);
    other_version[0] = WIRE_VERSION + 1;
    let too_long = vec![WIRE_VERSION; MAX_DATAGRAM_BYTES + 500];
    for datagram in [
        &b""[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &other_version,
        &too_long,
    ] {
        stranger.send_to(datagram, to).await.expect("it sends");
    }

    // Connections: one that says nothing, one that says garbage, one that announces too much.
    let silent = TcpStream::connect(to).await.expect("it connects");
    for bytes in [
        [&4_u32.to_be_bytes()[..], b"junk"].concat(),
        u32::try_from(MAX_MESSAGE_BYTES + 1)
            .expect("it fits")
            .to_be_bytes()
            .to_vec(),
    ] {
        let mut stream = TcpStream::connect(to).await.expect("it connects");
        stream.write_all(&bytes).await.expect("it sends");
        let closed = timeout(PATIENCE, stream.read(&mut [0]))
            .await
            .expect("it is closed in time");
        assert!(matches!(closed, Ok(0) | Err(_)));
    }

    stranger
        .send_to(&encode(&good), to)
        .await
        .expect("it sends");
    assert_eq!(next(&mut received).await.1, good);
    assert!(received.try_recv().is_err());
    let counts = counts(&snapshotter);
    assert_eq!(counts["undecodable"], 4);
    assert_eq!(counts["too_long"], 2);
    drop(silent);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_closed_and_further_ones_are_taken_again() {
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
    let to = socket.address();
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(to).await.expect("it connects"));
    }
    for stream in &mut silent {
        let closed = stream.read(&mut [0]).await;
        assert!(matches!(closed, Ok(0) | Err(_)));
    }
    let long = envelope(to, 1_000);
    socket.send(to, &long);
    assert_eq!(received.recv().await.expect("the socket lives").1, long);
}

#[tokio::test]
async fn a_daemon_that_is_not_there_delays_nobody() {
    let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
    let (gone, _) = PeerSocket::bind(any_port()).await.expect("it binds");
    let nobody = gone.address();
    drop(gone);
    for members in [1, 1_000] {
        socket.send(nobody, &envelope(nobody, members));
    }
    let sent = envelope(nobody, 2);
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
    fn any_datagrams_leave_the_socket_whole(
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_600), 0..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let arrived = runtime.block_on(async {
            let (socket, mut received) = PeerSocket::bind(any_port()).await.expect("it binds");
            let stranger = UdpSocket::bind(any_port()).await.expect("it binds");
            for datagram in &datagrams {
                stranger.send_to(datagram, socket.address()).await.expect("it sends");
            }
            let good = envelope(socket.address(), 1);
            socket.send(socket.address(), &good);
            loop {
                let (_, envelope) = next(&mut received).await;
                if envelope == good {
                    return true;
                }
            }
        });
        prop_assert!(arrived);
    }
}
