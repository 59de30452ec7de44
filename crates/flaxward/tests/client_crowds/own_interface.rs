//! Crowds at a daemon with flaxward's own interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flaxward_emulator::engine::EngineTiming;

use crate::ALONE;
use crate::crowd::{Client, Framing, Script, gather};
use crate::process::Watch;
use crate::support::callers::{Ask, Ending};
use crate::support::{Region, Shape};

/// Memory that the process may use, in MB.
const MEMORY_MB: usize = 96;
/// Descriptors that the process may have open.
const DESCRIPTORS: usize = 1_024;
/// Longest legal body.
const BODY_LIMIT: usize = 1 << 20;
/// Clients of a crowd with large bodies: more than twice the memory if all of them were held.
const LARGE_CROWD: usize = 192;
/// Clients of a crowd with small bodies: more than the requests that may be in progress.
const SMALL_CROWD: usize = 96;
/// Clients of a crowd of connections: more than the descriptors.
const CONNECTION_CROWD: usize = 1_400;
/// Longest time that an ordinary client tries to get its answer.
const PATIENCE: Duration = Duration::from_secs(40);
/// Pause of an ordinary client that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

const MODEL: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
];

/// A body may take longer than an ordinary client tries.
const SETTINGS: &[(&str, &str)] = &[
    ("gateway.body_timeout", "100s"),
    ("gateway.held_bytes", "16 MiB"),
    ("gateway.max_in_progress", "64"),
    ("gateway.max_connections", "512"),
];

async fn start() -> (Region, Watch, SocketAddr) {
    let shape = Shape {
        zones: 1,
        engines: 1,
        timing: EngineTiming {
            load_ms: 400,
            ..EngineTiming::default()
        },
        settings: SETTINGS,
        ..Shape::default()
    };
    let region = Region::start(shape, MODEL).await;
    let address = region.daemons[0].address.parse().expect("an address");
    let watch = Watch::start(region.daemons[0].process_id(), address);
    (region, watch, address)
}

/// An ordinary client, which comes back when it is refused, is answered.
async fn assert_answered(region: &Region, prompt_bytes: usize) {
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < PATIENCE {
        let ask = Ask::new("turbine", "why".repeat(prompt_bytes / 3 + 1), 3);
        let ending = region.ask(0, &ask).await;
        if ending == Ending::Whole {
            return;
        }
        last = Some(ending);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    panic!("{prompt_bytes} bytes: not answered, the last try {last:?}");
}

async fn meet(crowd: Vec<Script>, ordinary_bytes: &[usize]) -> Vec<Client> {
    let (region, watch, address) = start().await;
    let clients = gather(address, crowd).await;
    watch.settled().await;
    for bytes in ordinary_bytes {
        assert_answered(&region, *bytes).await;
    }
    let clients = clients.into_iter().map(Client::disconnect).collect();
    assert_answered(&region, 200).await;
    watch.assert_within(MEMORY_MB, DESCRIPTORS);
    clients
}

fn head() -> String {
    "POST /v1/completions HTTP/1.1\r\nhost: crowd\r\n".to_owned()
}

fn crowd(clients: usize, framing: Framing, body_bytes: usize) -> Vec<Script> {
    vec![Script::request(&head(), framing, body_bytes, 1); clients]
}

// Guards against: bodies that stop short hold all bytes for bodies until their deadlines, and all others are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_answers_others_while_large_bodies_stop_short() {
    let _alone = ALONE.lock().await;
    let crowd = crowd(LARGE_CROWD, Framing::Length, BODY_LIMIT);
    meet(crowd, &[200, 64 * 1_024]).await;
}

// Guards against: bodies in large chunks that lack their last chunk hold all bytes for bodies until their deadlines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_answers_others_while_bodies_in_large_chunks_stop_short() {
    let _alone = ALONE.lock().await;
    let crowd = crowd(LARGE_CROWD, Framing::Chunks(64 * 1_024), BODY_LIMIT);
    meet(crowd, &[200, 64 * 1_024]).await;
}

// Guards against: bodies in chunks of one byte exceed the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_holds_bodies_in_chunks_of_one_byte_within_its_memory() {
    let _alone = ALONE.lock().await;
    let crowd = crowd(LARGE_CROWD, Framing::Chunks(1), 300_000);
    meet(crowd, &[200, 64 * 1_024]).await;
}

// Guards against: requests whose short bodies never end take all places, and all others are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_answers_others_while_many_short_bodies_stop_short() {
    let _alone = ALONE.lock().await;
    let crowd = crowd(SMALL_CROWD, Framing::Length, 100);
    meet(crowd, &[200, 64 * 1_024]).await;
}

// Guards against: connections that send nothing take all descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_keeps_within_its_descriptors_while_many_connections_send_nothing() {
    let _alone = ALONE.lock().await;
    meet(vec![Script::default(); CONNECTION_CROWD], &[200]).await;
}

// Guards against: connections with bodies that stop short take all descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_keeps_within_its_descriptors_while_many_bodies_stop_short() {
    let _alone = ALONE.lock().await;
    let crowd = crowd(CONNECTION_CROWD, Framing::Length, 100);
    meet(crowd, &[200]).await;
}

// Guards against: a client that announces more than is allowed sees a reset in place of the refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_tells_a_single_client_that_its_body_is_too_long() {
    let _alone = ALONE.lock().await;
    let (_region, _watch, address) = start().await;
    for framing in [Framing::Length, Framing::Chunks(64 * 1_024)] {
        let script = Script::request(&head(), framing, BODY_LIMIT + BODY_LIMIT / 2, 0);
        let answer = Client::answered_after_sending(address, script).await;
        assert_eq!(answer.map(|it| it.status), Some(413), "{framing:?}");
    }
}

// Guards against: bodies over the limit of many clients exceed the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_refuses_bodies_over_the_limit_within_its_memory() {
    let _alone = ALONE.lock().await;
    let clients = meet(
        crowd(LARGE_CROWD, Framing::Chunks(64 * 1_024), BODY_LIMIT * 4),
        &[200],
    )
    .await;
    for answer in clients.iter().filter_map(|client| client.answer.as_ref()) {
        assert!([413, 503].contains(&answer.status), "{answer:?}");
    }
}
