//! A runner that reports how many requests it can reject in a second, and fails over if it rejects more.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::read_request;

/// Time from the first answer with the limit until the runner can fail.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time over which rejections are counted.
const COUNTING_TIME: Duration = Duration::from_secs(1);
/// Time for which a failed runner is down.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Properties of a brittle runner.
#[derive(Clone, Copy, Debug)]
pub struct Properties {
    /// Rejections per second that it reports as its limit.
    pub limit: usize,
    /// Requests that it serves at a time. It queues none.
    pub room: usize,
    pub service_time: Duration,
    /// Whether it fails if it rejects more than the limit within a second.
    pub fails: bool,
}

/// What a brittle runner has done so far.
#[derive(Default)]
pub struct State {
    running: usize,
    first_answer_at: Option<Instant>,
    pub rejected: Vec<Instant>,
    pub served: usize,
    /// Number of times that it has failed.
    pub failures: usize,
    /// It no longer reports a limit, and cannot fail.
    pub is_sound: bool,
}

impl State {
    /// The most rejections in any second from a moment on.
    pub fn most_rejections(&self, from: Instant) -> usize {
        let counted: Vec<&Instant> = self.rejected.iter().filter(|at| **at >= from).collect();
        let in_second = |first: &Instant| {
            let end = *first + COUNTING_TIME;
            counted
                .iter()
                .filter(|at| ***at >= *first && ***at < end)
                .count()
        };
        counted
            .iter()
            .map(|first| in_second(first))
            .max()
            .unwrap_or(0)
    }

    /// Takes in a request or rejects it. Returns `None` if the runner fails under the rejection.
    fn accept(&mut self, properties: &Properties) -> Option<bool> {
        let now = Instant::now();
        let first_answer_at = *self.first_answer_at.get_or_insert(now);
        if self.running < properties.room {
            self.running += 1;
            return Some(true);
        }
        self.rejected.push(now);
        let recent = self.rejected.iter().rev();
        let recent = recent.take_while(|at| now.duration_since(**at) < COUNTING_TIME);
        let is_over = recent.count() > properties.limit;
        let is_brittle = !self.is_sound && now.duration_since(first_answer_at) >= CONTACT_TIME;
        if properties.fails && is_over && is_brittle {
            self.failures += 1;
            return None;
        }
        Some(false)
    }
}

/// A running brittle runner.
#[derive(Clone)]
pub struct BrittleRunner {
    pub address: SocketAddr,
    properties: Properties,
    state: Arc<Mutex<State>>,
    failed: Arc<Notify>,
}

impl BrittleRunner {
    pub async fn start(properties: Properties) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            properties,
            state: Arc::default(),
            failed: Arc::default(),
        };
        tokio::spawn(runner.clone().run(listener));
        runner
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    async fn run(self, mut listener: TcpListener) {
        loop {
            self.serve_until_failure(listener).await;
            sleep(DOWN_TIME).await;
            listener = TcpListener::bind(self.address).await.unwrap();
        }
    }

    /// Serves until the runner fails: its connections end, and nothing listens at its port.
    async fn serve_until_failure(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(self.clone().serve(stream));
                    }
                }
                () = self.failed.notified() => break,
            }
        }
        drop(listener);
        connections.shutdown().await;
        self.state().running = 0;
    }

    async fn serve(self, mut stream: TcpStream) {
        let properties = self.properties;
        while let Some(request) = read_request(&mut stream).await {
            let id = request.header("x-id").unwrap_or_default().to_owned();
            let is_accepted = self.state().accept(&properties);
            let head = match is_accepted {
                None => {
                    self.failed.notify_one();
                    return;
                }
                Some(false) => "503 Full\r\nx-not-run: 1",
                Some(true) => {
                    sleep(properties.service_time).await;
                    let mut state = self.state();
                    state.running -= 1;
                    state.served += 1;
                    "200 OK\r\nx-stamp: s"
                }
            };
            let limit = if self.state().is_sound {
                String::new()
            } else {
                format!("x-rejection-limit: {}\r\n", properties.limit)
            };
            let answer =
                format!("HTTP/1.1 {head}\r\nx-id: {id}\r\n{limit}content-length: 2\r\n\r\nok");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
