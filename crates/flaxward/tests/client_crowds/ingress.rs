//! Crowds at a daemon whose callers come by routes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{
    LARGE_ANSWER_BODY, RouteSpec, RunnerStandIn, RunnerState, ServiceSpec, StoreStandIn, WorkKind,
};
use flaxward_soak::callers::{Ask, Ending, HOST, send};
use flaxward_soak::daemon::Daemon;
use flaxward_soak::ports::Ports;
use flaxward_soak::regions::Region;
use flaxward_soak::settings::settings_text;

use crate::ALONE;
use crate::crowd::{Client, Framing, Script, gather};
use crate::process::Watch;

/// Memory that the process may use, in MB.
const MEMORY_MB: usize = 96;
/// Descriptors that the process may have open.
const DESCRIPTORS: usize = 512;
/// Requests that may be in progress at once.
const REQUESTS: usize = 80;
/// Longest legal body.
const BODY_LIMIT: usize = 4 << 20;
/// Clients of a crowd with large bodies: more than twice the memory if all of them were held.
const LARGE_CROWD: usize = 64;
/// Clients of a crowd with small bodies: more than the requests that may be in progress.
const SMALL_CROWD: usize = 96;
/// Clients of a crowd of connections: more than the descriptors.
const CONNECTION_CROWD: usize = 700;
/// Time that clients of a crowd give for their answer: longer than an ordinary one tries.
const CROWD_DEADLINE: Duration = Duration::from_secs(100);
/// Longest time that an ordinary client tries to get its answer.
const PATIENCE: Duration = Duration::from_secs(40);
/// Pause of an ordinary client that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Runners.
const RUNNERS: usize = 2;
const SERVICE: &str = "desk";
const CROWD_ID: &str = "crowd";

/// A daemon as a process, and the platform around it.
struct Fleet {
    daemon: Daemon,
    watch: Watch,
    runners: Vec<RunnerStandIn>,
    http: reqwest::Client,
    _store: StoreStandIn,
    _ports: Ports,
}

impl Fleet {
    async fn start(name: &str) -> Self {
        let store = StoreStandIn::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let id = format!("runner-{number}");
            let runner = RunnerStandIn::start(&id, 32, &[], 0, Duration::ZERO).await;
            let runner = runner.unwrap();
            store.set_runner(&id, &entry(&runner));
            runners.push(runner);
        }
        store.publish(1, HOST, &[route()], &[service()], &[]);
        let mut ports = Ports::claim().unwrap();
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_flaxward"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}"));
        std::fs::create_dir_all(&folder).unwrap();
        let region = Region::of(0, false);
        let mut daemon = Daemon::prepare("daemon-0", &[binary], &folder, &mut ports, |own| {
            let settings = settings_text("daemon-0", region, own, store.address())?;
            Ok(format!(
                "{settings}\n[machine]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n\
                 [limits]\nrequests = {REQUESTS}\n"
            ))
        })
        .unwrap();
        daemon.start().unwrap();
        assert!(daemon.until_ready(PATIENCE).await, "the daemon is ready");
        let watch = Watch::start(daemon.process_id().unwrap(), daemon.address());
        Self {
            daemon,
            watch,
            runners,
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            _store: store,
            _ports: ports,
        }
    }

    /// Lets a crowd come, and sends an ordinary request with a body of each size while it stays, and one afterwards.
    /// Returns the clients after they have gone.
    async fn meet(&mut self, crowd: Vec<Script>, ordinary_bytes: &[usize]) -> Vec<Client> {
        let clients = gather(self.daemon.address(), crowd).await;
        self.watch.settled().await;
        println!(
            "{} of {} clients of the crowd have read an answer",
            clients.iter().filter(|it| it.answer.is_some()).count(),
            clients.len(),
        );
        for (number, bytes) in ordinary_bytes.iter().enumerate() {
            self.assert_answered(&format!("meanwhile-{number}"), *bytes)
                .await;
        }
        self.assert_promises_hold(&clients);
        let answers = clients.into_iter().map(Client::disconnect).collect();
        self.assert_answered("afterwards", 200).await;
        assert!(!self.daemon.has_ended(), "the daemon lives");
        self.watch.assert_within(MEMORY_MB, DESCRIPTORS);
        answers
    }

    /// An ordinary client, which comes back when it is refused, is answered.
    async fn assert_answered(&mut self, id: &str, body_bytes: usize) {
        let start = Instant::now();
        let mut tries = 0;
        let mut last = Ending::Silent;
        while start.elapsed() < PATIENCE {
            assert!(!self.daemon.has_ended(), "the daemon lives");
            tries += 1;
            let mut ask = Ask::new(format!("{id}-{tries}"), "/safe/x", WorkKind::Repeatable);
            ask.body = "y".repeat(body_bytes);
            last = send(&self.http, ask, 0, self.daemon.address()).await.ending;
            if last == Ending::Served {
                println!("{id}: answered at try {tries}");
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        panic!("{id}, {body_bytes} bytes: not answered in {tries} tries, the last one {last:?}");
    }

    /// What clients of the crowd were told holds: a refused request has not run, and one that may come back is told when.
    fn assert_promises_hold(&self, clients: &[Client]) {
        let runs: Vec<String> = self
            .runners
            .iter()
            .flat_map(RunnerStandIn::runs)
            .map(|run| run.request)
            .collect();
        for (number, client) in clients.iter().enumerate() {
            let Some(answer) = &client.answer else {
                continue;
            };
            let id = format!("{CROWD_ID}-{number}");
            let has_run = runs.contains(&id);
            match answer.status {
                200 => assert!(has_run, "{id}: {answer:?}"),
                404 | 408 | 413 => assert!(!has_run, "{id} has run: {answer:?}"),
                503 => {
                    assert!(!has_run, "{id} has run: {answer:?}");
                    let text = answer.text.to_ascii_lowercase();
                    assert!(text.contains("\r\nretry-after: "), "{id}: {answer:?}");
                }
                _ => panic!("{id}: {answer:?}"),
            }
        }
    }
}

fn entry(runner: &RunnerStandIn) -> RunnerState {
    RunnerState {
        service: SERVICE.to_owned(),
        address: runner.address(),
        zone: Region::of(0, false).zone.to_owned(),
        slots: 32,
        draining: false,
        models: Vec::new(),
        cold_left: Duration::ZERO,
        born: runner.born(),
    }
}

fn route() -> RouteSpec {
    RouteSpec {
        name: "safe".to_owned(),
        kind: WorkKind::Repeatable,
        service: SERVICE.to_owned(),
        timeout: CROWD_DEADLINE,
        max_attempts: 2,
        home_regions: Vec::new(),
        needs_key: false,
    }
}

fn service() -> ServiceSpec {
    ServiceSpec {
        name: SERVICE.to_owned(),
        models: Vec::new(),
        model_capacity: 0,
        load_time: Duration::ZERO,
        cold: None,
    }
}

/// The head of a request of a crowd, to which the headers of its body are added.
fn head(number: usize, path: &str) -> String {
    let deadline = CROWD_DEADLINE.as_millis();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-flaxward-request-id: {CROWD_ID}-{number}\r\n\
         x-flaxward-deadline-ms: {deadline}\r\n"
    )
}

fn crowd(clients: usize, framing: Framing, body_bytes: usize, missing: usize) -> Vec<Script> {
    (0..clients)
        .map(|number| Script::request(&head(number, "/safe/x"), framing, body_bytes, missing))
        .collect()
}

// Guards against: bodies with a length that stop one byte short are all held at once, beyond the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_holds_large_bodies_that_stop_short_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("short").await;
    let crowd = crowd(LARGE_CROWD, Framing::Length, BODY_LIMIT, 1);
    fleet.meet(crowd, &[200, 256 * 1_024]).await;
}

// Guards against: complete bodies of legal size that come at once are all held, beyond the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_holds_large_bodies_that_come_whole_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("whole").await;
    let crowd = crowd(LARGE_CROWD, Framing::Length, BODY_LIMIT, 0);
    fleet.meet(crowd, &[200, 256 * 1_024]).await;
}

// Guards against: chunked bodies that lack their last chunk are all held at once, beyond the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_holds_bodies_in_large_chunks_that_stop_short_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("chunks").await;
    let crowd = crowd(LARGE_CROWD, Framing::Chunks(64 * 1_024), BODY_LIMIT, 1);
    fleet.meet(crowd, &[200, 256 * 1_024]).await;
}

// Guards against: a chunk of one byte holds many times its size, so that bodies in tiny chunks exceed the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_holds_bodies_in_chunks_of_one_byte_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("tiny").await;
    let crowd = crowd(LARGE_CROWD, Framing::Chunks(1), 500_000, 1);
    fleet.meet(crowd, &[200, 256 * 1_024]).await;
}

// Guards against: bodies that are announced far over the limit are read up to the limit before they are refused, and the
// refusal is lost since the connection is reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_refuses_bodies_announced_over_the_limit_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("announced").await;
    let announced = |number| Script {
        head: format!(
            "{}content-length: 4294967296\r\n\r\n",
            head(number, "/safe/x")
        ),
        pieces: BODY_LIMIT * 2 / (16 * 1_024),
        piece: vec![b'x'; 16 * 1_024],
        ..Script::default()
    };
    let clients = fleet
        .meet((0..LARGE_CROWD).map(announced).collect(), &[200])
        .await;
    let refused = clients.iter().filter_map(|client| client.answer.as_ref());
    assert!(refused.clone().count() > 0, "nobody has read a refusal");
    for answer in refused {
        assert!([413, 503].contains(&answer.status), "{answer:?}");
    }
}

// Guards against: chunked bodies that go on far over the limit are held up to the limit, all at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_refuses_chunked_bodies_over_the_limit_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("endless").await;
    let crowd = crowd(LARGE_CROWD, Framing::Chunks(64 * 1_024), BODY_LIMIT * 4, 1);
    fleet.meet(crowd, &[200]).await;
}

// Guards against: requests whose short bodies never end take all places, and all others are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_answers_others_while_many_short_bodies_stop_short() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("places").await;
    let crowd = crowd(SMALL_CROWD, Framing::Length, 200, 1);
    fleet.meet(crowd, &[200, 256 * 1_024]).await;
}

// Guards against: requests that wait for `100 Continue` and send no body take all places, and all others are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_answers_others_while_many_heads_expect_to_continue() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("continue").await;
    let waiting = |number| {
        let head = head(number, "/safe/x");
        Script {
            head: format!("{head}expect: 100-continue\r\ncontent-length: 200\r\n\r\n"),
            ..Script::default()
        }
    };
    let crowd = (0..SMALL_CROWD).map(waiting).collect();
    fleet.meet(crowd, &[200]).await;
}

// Guards against: connections that send nothing take all descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_keeps_within_its_descriptors_while_many_connections_send_nothing() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("silent").await;
    fleet
        .meet(vec![Script::default(); CONNECTION_CROWD], &[200])
        .await;
}

// Guards against: connections whose heads stop short take all descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_keeps_within_its_descriptors_while_many_heads_stop_short() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("heads").await;
    let crowd = (0..CONNECTION_CROWD)
        .map(|number| Script {
            head: head(number, "/safe/x"),
            ..Script::default()
        })
        .collect();
    fleet.meet(crowd, &[200]).await;
}

// Guards against: connections with bodies that stop short take all descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_keeps_within_its_descriptors_while_many_bodies_stop_short() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("bodies").await;
    let crowd = crowd(CONNECTION_CROWD, Framing::Length, 200, 1);
    fleet.meet(crowd, &[200]).await;
}

// Guards against: answers that no client reads are all held at once, beyond the machine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_holds_answers_that_nobody_reads_within_its_memory() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("unread").await;
    let deaf = |number| Script {
        head: format!(
            "{}content-length: {}\r\n\r\n",
            head(number, "/safe/x"),
            LARGE_ANSWER_BODY.len()
        ),
        rest: LARGE_ANSWER_BODY.as_bytes().to_vec(),
        is_deaf: true,
        ..Script::default()
    };
    let crowd = (0..LARGE_CROWD).map(deaf).collect();
    fleet.meet(crowd, &[200]).await;
}

// Guards against: a body beyond the limits of all clients together is refused though no other client is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_serves_a_single_body_of_the_longest_legal_size() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start("calm").await;
    for framing in [
        Framing::Length,
        Framing::Chunks(64 * 1_024),
        Framing::Chunks(7),
    ] {
        let id = format!("{framing:?}").replace(['(', ')'], "-");
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nx-flaxward-request-id: {id}\r\n\
             x-flaxward-deadline-ms: 60000\r\n"
        );
        let script = Script::request(&head, framing, BODY_LIMIT / 7 * 7, 0);
        let client = Client::answered(fleet.daemon.address(), script).await;
        assert_eq!(client.status, 200, "{framing:?}: {client:?}");
    }
    fleet.assert_answered("afterwards", 200).await;
    fleet.watch.assert_within(MEMORY_MB, DESCRIPTORS);
}

// Guards against: a client that sends more than is allowed sees a reset in place of the refusal, and sends it all again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_tells_a_single_client_that_its_body_is_too_long() {
    let _alone = ALONE.lock().await;
    let fleet = Fleet::start("too-long").await;
    for framing in [Framing::Length, Framing::Chunks(64 * 1_024)] {
        let script = Script::request(&head(0, "/safe/x"), framing, BODY_LIMIT + BODY_LIMIT / 2, 0);
        let answer = Client::answered_after_sending(fleet.daemon.address(), script).await;
        assert_eq!(answer.map(|it| it.status), Some(413), "{framing:?}");
    }
}

// Guards against: a body to a path without a route is left unread, and its client sees a reset in place of 404.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_tells_a_single_client_that_its_path_is_unknown() {
    let _alone = ALONE.lock().await;
    let fleet = Fleet::start("unknown").await;
    for framing in [Framing::Length, Framing::Chunks(64 * 1_024)] {
        let script = Script::request(&head(0, "/nowhere/x"), framing, BODY_LIMIT, 0);
        let answer = Client::answered_after_sending(fleet.daemon.address(), script).await;
        assert_eq!(answer.map(|it| it.status), Some(404), "{framing:?}");
    }
}
