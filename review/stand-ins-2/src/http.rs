//! A small HTTP/1.1 server and client on loopback addresses.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A message without its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer; 0 if it is none.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        let header = (name.trim().to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads a whole body; `None` if it is cut off.
pub fn read_body(message: &Message, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// A connection on which one request after another is answered.
pub struct Exchange<'a> {
    pub request: Message,
    pub stream: &'a mut TcpStream,
}

impl Exchange<'_> {
    /// Sends a whole answer. Returns whether the connection took it.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// A server that can be closed as the end of its process closes it: its port and all connections at once.
#[derive(Clone, Default)]
pub struct Server {
    is_over: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn close(&self, address: SocketAddr) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the port.
        let _ = TcpStream::connect(address);
        while TcpStream::connect(address).is_ok() {
            std::thread::yield_now();
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves a listener until the server is closed. `handle` returns whether the connection goes on.
pub fn serve<Handle>(listener: TcpListener, handle: Handle) -> Server
where
    Handle: Fn(&mut Exchange<'_>) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let server = Server::default();
    let (is_over, connections) = (server.is_over.clone(), server.connections.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            connections.lock().unwrap().extend(stream.try_clone().ok());
            let handle = handle.clone();
            let serve = move || serve_connection(stream, &*handle);
            let _ = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(serve);
        }
    });
    server
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&mut Exchange<'_>) -> bool) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(mut request) = read_head(&mut reader) {
        let Some(body) = read_body(&request, &mut reader) else {
            return;
        };
        request.body = body;
        let mut exchange = Exchange {
            request,
            stream: &mut stream,
        };
        if !handle(&mut exchange) {
            return;
        }
    }
}

/// Opens a connection and sends a request without a body.
pub fn send(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    Some(BufReader::new(stream))
}

/// A free loopback port, which is bound until the listener is dropped.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Listens at an address that a process before has left.
pub fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}
