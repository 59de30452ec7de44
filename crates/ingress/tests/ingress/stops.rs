//! Planned shutdowns.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::support::TestIngress;

#[tokio::test]
async fn a_stop_lets_streams_end_and_is_not_ready_at_once() {
    let runner = ScriptedRunner::start(vec![Behaviour::SlowEvents(1, 10)]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(100)).await;
    assert_eq!(test.ready_status().await, 503);
    let late = test.request("/safe/", "id-2").send().await.unwrap();
    assert_eq!(
        late.status(),
        200,
        "clients still connect until the load balancer has noticed the readiness change"
    );
    assert_eq!(late.headers()["connection"], "close");
    assert!(
        response
            .text()
            .await
            .unwrap()
            .ends_with("id: 10\ndata: e10\n\n")
    );
    stopping.await.unwrap();
}

/// Guards against closing the connection of a request that is still in progress at the end of the grace period without
/// a response.
#[tokio::test]
async fn a_request_at_the_end_of_the_grace_gets_its_final_answer() {
    let runner = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_400)).await;
    let started_at = Instant::now();
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert!(started_at.elapsed() < Duration::from_millis(1_400));
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_request_after_the_notice_is_refused_and_not_run() {
    let runner = ScriptedRunner::start(vec![Behaviour::SlowEvents(1, 13)]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_000)).await;
    let stream = test.request("/stream/", "id-1").send().await.unwrap();
    sleep(Duration::from_millis(900)).await;
    let response = test.request("/unsafe/", "id-2").send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(runner.received().len(), 1);
    drop(stream);
    stopping.await.unwrap();
}

/// Sends a request that may not be repeated, whose body ends some time after its head. Returns the answer.
async fn post_slowly(address: SocketAddr, body_after: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /unsafe/x HTTP/1.1\r\nhost: a.example\r\nx-id: slow\r\ncontent-length: 4\r\n\
         connection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(body_after).await;
    stream.write_all(b"body").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against a request that is cut off at the end of the grace: its head came before the daemon closed, its body after
/// that, and it was still sent to a runner.
#[tokio::test]
async fn a_request_whose_body_ends_after_the_notice_is_refused_if_it_could_be_cut_off() {
    let runner = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_400)).await;
    let answer = post_slowly(test.address, Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert_eq!(runner.received().len(), 0);
    stopping.await.unwrap();
}

/// Guards against refusing what can't be cut off, since its deadline passes before the daemon ends.
#[tokio::test]
async fn a_request_that_ends_before_the_daemon_is_served_after_the_notice() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(1_900)).await;
    let answer = post_slowly(test.address, Duration::from_millis(900)).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(runner.received().len(), 1);
    stopping.await.unwrap();
}

/// Guards against a second attempt that is cut off at the end of the grace: the first one failed after the daemon had
/// closed.
#[tokio::test]
async fn a_request_that_could_be_cut_off_is_not_sent_again_after_the_notice() {
    let first = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let second = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let mut test = TestIngress::start(&[&first, &second]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_500)).await;
    let response = test.request("/safe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(first.received().len() + second.received().len(), 1);
    stopping.await.unwrap();
}

/// A daemon on its own runtime. Dropping the runtime closes all its sockets and tasks, like the end of a process.
struct DaemonProcess {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    process: thread::JoinHandle<()>,
}

impl DaemonProcess {
    async fn start() -> Self {
        let (stop, stopped) = oneshot::channel();
        let (address_sender, address_receiver) = oneshot::channel();
        let process = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let runner = ScriptedRunner::start(Vec::new()).await;
                let mut test = TestIngress::start(&[&runner]).await;
                address_sender.send(test.address).unwrap();
                stopped.await.unwrap();
                test.ingress.take().unwrap().stop().await;
            });
        });
        Self {
            address: address_receiver.await.unwrap(),
            stop,
            process,
        }
    }
}

/// Results observed by a caller until its connections were refused.
#[derive(Debug, Default)]
struct CallerResult {
    answered: usize,
    broken: Vec<String>,
}

/// Sends requests one after the other until the connection is refused, each on a new connection unless `keep_alive` is
/// set.
async fn call_until_refused(address: SocketAddr, caller: usize, keep_alive: bool) -> CallerResult {
    let max_idle = if keep_alive { 1 } else { 0 };
    let client = reqwest::Client::builder().no_proxy();
    let client = client.pool_max_idle_per_host(max_idle).build().unwrap();
    let mut result = CallerResult::default();
    loop {
        let id = format!("id-{caller}-{}", result.answered);
        let request = client.post(format!("http://{address}/safe/x"));
        let request = request.header("host", "a.example").header("x-id", id);
        match request.body("the body").send().await {
            Ok(_) => result.answered += 1,
            Err(error) if error.is_connect() => return result,
            Err(error) => result.broken.push(format!("{error:?}")),
        }
    }
}

/// Guards against losing a request while a process exits. In a soak test, a request on a connection that was pending in
/// the listener's backlog got no response, so its caller could not know whether it had run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_cut_off_as_a_stop_ends() {
    const DAEMONS: usize = 6;
    const CALLERS: usize = 12;
    let mut processes = Vec::new();
    let mut callers = JoinSet::new();
    for daemon in 0..DAEMONS {
        let process = DaemonProcess::start().await;
        for caller in 0..CALLERS {
            let (name, keep_alive) = (daemon * CALLERS + caller, caller % 2 == 0);
            callers.spawn(call_until_refused(process.address, name, keep_alive));
        }
        process.stop.send(()).unwrap();
        processes.push(process.process);
    }
    for result in callers.join_all().await {
        assert_eq!(result.broken, Vec::<String>::new());
        assert!(
            result.answered > 10,
            "a caller got only {} responses",
            result.answered
        );
    }
    for process in processes {
        process.join().unwrap();
    }
}
