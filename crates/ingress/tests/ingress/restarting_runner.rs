//! Runners that crash while they run requests with a certain part in their prompts, and start again at their address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::runner::{Received, read_request, reset};

/// Time from the arrival of a request to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(70);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Events of a whole stream.
const EVENTS: u32 = 3;
/// Time between two tries to listen again at the address.
const BIND_INTERVAL: Duration = Duration::from_millis(50);

/// How runners crash.
#[derive(Clone, Debug)]
pub struct Crashes {
    /// The parts that crash runners.
    pub parts: &'static [&'static str],
    /// From when on they do.
    pub from: Instant,
    /// Events that a runner writes before it crashes.
    pub events: u32,
    /// Time after which a runner listens again.
    pub down_time: Duration,
}

/// What has happened at all runners.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Arrivals of requests with a part that crashes runners.
    pub arrivals: Vec<Instant>,
    pub crashes: Vec<Instant>,
}

/// A runner that answers other requests after 60 ms.
#[derive(Clone)]
pub struct RestartingRunner {
    pub address: SocketAddr,
    crashes: Arc<Crashes>,
    ledger: Arc<Mutex<Ledger>>,
}

impl RestartingRunner {
    pub async fn start(crashes: Arc<Crashes>, ledger: Arc<Mutex<Ledger>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            crashes,
            ledger,
        };
        tokio::spawn(runner.clone().run(listener));
        runner
    }

    async fn run(self, mut listener: TcpListener) {
        loop {
            let crashed = CancellationToken::new();
            let accepting = self.accept(&listener, &crashed);
            crashed.run_until_cancelled(accepting).await;
            drop(listener);
            sleep(self.crashes.down_time).await;
            listener = self.listen_again().await;
        }
    }

    async fn listen_again(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(BIND_INTERVAL).await,
            }
        }
    }

    async fn accept(&self, listener: &TcpListener, crashed: &CancellationToken) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (runner, crashed) = (self.clone(), crashed.clone());
            tokio::spawn(async move {
                let answering = runner.answer_all(&mut stream, &crashed);
                crashed.run_until_cancelled(answering).await;
                reset(&stream);
            });
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream, crashed: &CancellationToken) {
        while let Some(request) = read_request(stream).await {
            let written = if self.is_crashing(&request) {
                self.crash(stream, &request, crashed).await;
                return;
            } else if is_stream(&request) {
                write_stream(stream, &request).await
            } else {
                write_whole(stream, &request).await
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn is_crashing(&self, request: &Received) -> bool {
        let parts = request.header("x-parts").unwrap_or_default();
        let has_part = parts
            .split(',')
            .any(|part| self.crashes.parts.contains(&part));
        has_part && Instant::now() >= self.crashes.from
    }

    async fn crash(&self, stream: &mut TcpStream, request: &Received, crashed: &CancellationToken) {
        self.ledger.lock().unwrap().arrivals.push(Instant::now());
        sleep(TIME_TO_CRASH).await;
        if is_stream(request) {
            let _ = stream.write_all(stream_head(request).as_bytes()).await;
            for number in 1..=self.crashes.events {
                let _ = stream.write_all(event(number).as_bytes()).await;
                sleep(EVENT_INTERVAL).await;
            }
        }
        if !crashed.is_cancelled() {
            self.ledger.lock().unwrap().crashes.push(Instant::now());
            crashed.cancel();
        }
    }
}

fn is_stream(request: &Received) -> bool {
    request.head.starts_with("POST /stream/")
}

fn stream_head(request: &Received) -> String {
    let id = request.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// An event as a chunk.
fn event(number: u32) -> String {
    let text = format!("id: {number}\ndata: e{number}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn write_stream(stream: &mut TcpStream, request: &Received) -> std::io::Result<()> {
    stream.write_all(stream_head(request).as_bytes()).await?;
    for number in 1..=EVENTS {
        sleep(EVENT_INTERVAL).await;
        stream.write_all(event(number).as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

async fn write_whole(stream: &mut TcpStream, request: &Received) -> std::io::Result<()> {
    sleep(EVENT_INTERVAL * EVENTS).await;
    let id = request.header("x-id").unwrap_or_default();
    let answer =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 4\r\n\r\ndone");
    stream.write_all(answer.as_bytes()).await
}

/// Answers to requests, by when they were sent.
#[derive(Debug, Default)]
pub struct Served {
    answers: BTreeMap<Instant, bool>,
}

impl Served {
    pub fn record(&mut self, sent_at: Instant, is_served: bool) {
        self.answers.insert(sent_at, is_served);
    }

    /// Number of requests that were sent from `from` on, and how many of them were served.
    pub fn since(&self, from: Instant) -> (usize, usize) {
        let answers = self.answers.range(from..);
        let served = answers.clone().filter(|(_, is_served)| **is_served);
        (answers.count(), served.count())
    }
}
