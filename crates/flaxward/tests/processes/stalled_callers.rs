//! A caller that stops reading is cut off, and what it held is free again.

use std::net::SocketAddr;

use flaxward_emulator::engine::{EngineTiming, RequestOutcome};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

use crate::support::callers::{Ask, Ending};
use crate::support::{Region, Shape, eventually};

const MODEL: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
];

/// Bytes that the caller's side of the connection takes in while the caller reads nothing.
const RECEIVE_BUFFER: u32 = 4_096;

/// Tokens of an answer that no buffers on its way can hold.
const ENDLESS: u32 = u32::MAX;

/// Sends a request for an endless stream, of which nothing is read.
async fn ask_and_read_nothing(address: &str) -> TcpStream {
    let body = json!({
        "model": "turbine",
        "prompt": "why",
        "max_tokens": ENDLESS,
        "stream": true,
    });
    let body = body.to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("the buffer can be set");
    let address: SocketAddr = address.parse().expect("an address");
    let mut connection = socket.connect(address).await.expect("the daemon listens");
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("the daemon reads the request");
    connection
}

/// What became of the first request that the region's engine got.
fn first_outcome(region: &Region) -> Option<RequestOutcome> {
    let engine = region.platform.engines().values().next()?;
    let requests = engine.record().requests;
    requests.first().map(|request| request.outcome)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_cut_off_and_its_place_is_free_again() {
    let shape = Shape {
        zones: 1,
        engines: 1,
        timing: EngineTiming {
            load_ms: 400,
            ..EngineTiming::default()
        },
        settings: &[("gateway.write_stall", "500ms")],
        ..Shape::default()
    };
    let region = Region::start(shape, MODEL).await;
    let _connection = ask_and_read_nothing(&region.daemons[0].address).await;
    eventually("the engine is told to stop", async || {
        let outcome = first_outcome(&region);
        assert_ne!(outcome, Some(RequestOutcome::Finished));
        outcome.is_some_and(|outcome| outcome != RequestOutcome::Running)
    })
    .await;
    eventually("the daemon holds nothing of it", async || {
        let requests = region.rows(0, "show requests where priority >= 0", &["id"]);
        requests.await.is_empty()
    })
    .await;
    let after = region.ask(0, &Ask::new("turbine", "after", 3)).await;
    assert_eq!(after, Ending::Whole);
}
