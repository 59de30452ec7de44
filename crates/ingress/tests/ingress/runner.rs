//! A scripted runner, with one behaviour per request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Behaviour of a runner for one request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers with the ID of another request.
    OtherId,
    /// Answers with a status that is written as it stands.
    Status(&'static str),
    /// Sends informational answers until the connection is closed.
    EndlessInformational,
    /// Reports that it did not run the request.
    NotRun,
    /// Resets the connection without an answer.
    Reset,
    /// Never answers.
    Hang,
    /// Sends events from the first to the last, and then ends the stream.
    Events(u32, u32),
    /// Sends events, then part of an event, and resets the connection.
    EventsThenReset(u32, u32),
    /// Sends events after 1.3 s of silence.
    LateEvents(u32, u32),
    /// Sends a body without a length, which ends with the connection.
    UnsizedThenClose(&'static str),
    /// Sends part of a body without a length, and resets the connection.
    UnsizedThenReset(&'static str),
    /// Sends events in a body without a length, which ends with the connection.
    UnsizedEvents(u32, u32),
    /// Sends events in a body without a length, then part of an event, and closes the connection.
    UnsizedEventsThenPart(u32, u32),
    /// Sends one event every 100 ms, from the first to the last.
    SlowEvents(u32, u32),
    /// Sends two events from the first, then, after 2.5 s of silence, the rest to the last.
    PausedEvents(u32, u32),
}

/// A request as received by the runner.
#[derive(Clone, Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
    /// When its head was complete.
    pub at: Instant,
}

impl Received {
    /// The value of a header, if present.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

#[derive(Default)]
struct State {
    script: VecDeque<Behaviour>,
    received: Vec<Received>,
    closed: u32,
    /// Header lines added to all answers, each with its line end.
    notice: String,
}

/// A scripted runner.
#[derive(Clone)]
pub struct ScriptedRunner {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ScriptedRunner {
    /// Starts a runner; after the end of the script it answers 200 `done`.
    pub async fn start(script: Vec<Behaviour>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State {
                script: script.into(),
                ..State::default()
            })),
        };
        let serving = runner.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move {
                    serving.serve(stream).await;
                    serving.state.lock().unwrap().closed += 1;
                });
            }
        });
        runner
    }

    /// Replaces what is left of the script.
    pub fn set_script(&self, script: Vec<Behaviour>) {
        self.state.lock().unwrap().script = script.into();
    }

    /// The received requests.
    pub fn received(&self) -> Vec<Received> {
        self.state.lock().unwrap().received.clone()
    }

    /// Sets header lines added to all answers from now on, each with its line end.
    pub fn set_notice(&self, lines: &str) {
        lines.clone_into(&mut self.state.lock().unwrap().notice);
    }

    /// Number of connections that have ended.
    pub fn closed(&self) -> u32 {
        self.state.lock().unwrap().closed
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let id = request.header("x-id").unwrap_or_default().to_owned();
            let (behaviour, notice) = {
                let mut state = self.state.lock().unwrap();
                state.received.push(request);
                let next = state.script.pop_front();
                let behaviour = next.unwrap_or(Behaviour::Answer(200, "done"));
                (behaviour, state.notice.clone())
            };
            // The lines follow the ID header, in whatever head has one.
            let id = format!("{id}\r\n{notice}").trim_end().to_owned();
            if !perform(&mut stream, &id, behaviour).await {
                return;
            }
        }
    }
}

pub async fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        let mut part = [0; 4096];
        let length = stream.read(&mut part).await.ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..length]);
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let mut request = Received {
        at: Instant::now(),
        head,
        body: bytes[end..].to_vec(),
    };
    let length: usize = request
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    while request.body.len() < length {
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok()?;
        request.body.extend_from_slice(&part[..read]);
    }
    Some(request)
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: e{number}\n\n")
}

fn all_events(first: u32, last: u32) -> String {
    (first..=last).map(event).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns whether the connection stays open.
async fn perform(stream: &mut TcpStream, id: &str, behaviour: Behaviour) -> bool {
    match behaviour {
        Behaviour::Answer(status, body) => answer(stream, id, status, "x-stamp: s\r\n", body).await,
        Behaviour::OtherId => answer(stream, "another", 200, "x-stamp: s\r\n", "foreign").await,
        Behaviour::Status(status) => {
            let head = format!(
                "HTTP/1.1 {status} x\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes()).await;
            true
        }
        Behaviour::EndlessInformational => {
            let head = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(100);
            while stream.write_all(head.as_bytes()).await.is_ok() {}
            false
        }
        Behaviour::NotRun => answer(stream, id, 503, "x-not-run: 1\r\n", "").await,
        Behaviour::Reset => {
            reset(stream);
            false
        }
        Behaviour::UnsizedThenClose(body) => {
            unsized_body(stream, id, body).await;
            false
        }
        Behaviour::UnsizedThenReset(body) => {
            unsized_body(stream, id, body).await;
            sleep(Duration::from_millis(50)).await;
            reset(stream);
            false
        }
        Behaviour::UnsizedEvents(first, last) => {
            unsized_body(stream, id, &all_events(first, last)).await;
            false
        }
        Behaviour::UnsizedEventsThenPart(first, last) => {
            let body = format!("{}id: 99\nda", all_events(first, last));
            unsized_body(stream, id, &body).await;
            false
        }
        Behaviour::Hang => {
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            false
        }
        Behaviour::Events(first, last) => {
            events(stream, id, first, last, Duration::ZERO).await && end(stream).await
        }
        Behaviour::LateEvents(first, last) => {
            sleep(Duration::from_millis(1_300)).await;
            events(stream, id, first, last, Duration::ZERO).await && end(stream).await
        }
        Behaviour::SlowEvents(first, last) => {
            let pause = Duration::from_millis(100);
            events(stream, id, first, last, pause).await && end(stream).await
        }
        Behaviour::PausedEvents(first, last) => {
            events(stream, id, first, first + 1, Duration::ZERO).await;
            sleep(Duration::from_millis(2_500)).await;
            for number in first + 2..=last {
                let sent = stream.write_all(chunk(&event(number)).as_bytes()).await;
                if sent.is_err() {
                    return false;
                }
            }
            end(stream).await
        }
        Behaviour::EventsThenReset(first, last) => {
            events(stream, id, first, last, Duration::ZERO).await;
            let partial = chunk("id: 99\nda");
            let _ = stream.write_all(partial.as_bytes()).await;
            sleep(Duration::from_millis(50)).await;
            reset(stream);
            false
        }
    }
}

pub fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}

async fn answer(stream: &mut TcpStream, id: &str, status: u16, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} X\r\nx-id: {id}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn unsized_body(stream: &mut TcpStream, id: &str, body: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes()).await;
}

async fn events(stream: &mut TcpStream, id: &str, first: u32, last: u32, pause: Duration) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for number in first..=last {
        if stream
            .write_all(chunk(&event(number)).as_bytes())
            .await
            .is_err()
        {
            return false;
        }
        sleep(pause).await;
    }
    true
}

async fn end(stream: &mut TcpStream) -> bool {
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
