//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::lock;

/// A request, or the head of a response (`path` is then its status line).
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, reason.to_owned())
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// The next chunk of a chunked body; `None` at its end.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(from)?.ok_or(ErrorKind::UnexpectedEof)?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    let length = usize::from_str_radix(digits, 16).map_err(|_| broken("chunk"))?;
    let mut chunk = vec![0; length];
    from.read_exact(&mut chunk)?;
    let end = read_line(from)?.ok_or(ErrorKind::UnexpectedEof)?;
    if !end.is_empty() {
        return Err(broken("chunk end"));
    }
    Ok((length > 0).then_some(chunk))
}

fn read_body(message: &Message, from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    if message.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(from)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    let mut body = vec![0; length.map_err(|_| broken("length"))?];
    from.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(line) = read_line(from)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(broken("request line"));
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut message = Message {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: read_headers(from)?,
        body: Vec::new(),
    };
    message.body = read_body(&message, from)?;
    Ok(Some(message))
}

/// Handles one request; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(Message, &mut TcpStream) -> bool + Send + Sync>;

/// A server that can be ended at once, as if its process were killed.
pub struct Server {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopping, open) = (stop.clone(), connections.clone());
        let accepting = thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else {
                    continue;
                };
                lock(&open).push(kept);
                let (handler, stopping) = (handler.clone(), stopping.clone());
                thread::spawn(move || serve(stream, &handler, &stopping));
            }
        });
        Ok(Self {
            address,
            stop,
            connections,
            accepting: Some(accepting),
        })
    }

    /// Closes the port, then all connections.
    pub fn kill(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &AtomicBool) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while !stop.load(Ordering::SeqCst) {
        match read_request(&mut input) {
            Ok(Some(request)) => {
                if !handler(request, &mut out) {
                    break;
                }
            }
            Ok(None) | Err(_) => break,
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Writes a whole answer; returns whether that worked.
pub fn answer(out: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    out.write_all(text.as_bytes()).is_ok()
}

/// A response that is being read.
pub struct Response {
    pub status: u16,
    pub head: Message,
    input: BufReader<TcpStream>,
    left: Option<usize>,
}

impl Response {
    /// The next bytes of the body; `None` at its end as the protocol marks it.
    pub fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        if self.head.header("transfer-encoding").is_some() {
            return read_chunk(&mut self.input);
        }
        let Some(left) = self.left.take_if(|left| *left > 0) else {
            return Ok(None);
        };
        let mut body = vec![0; left];
        self.input.read_exact(&mut body)?;
        Ok(Some(body))
    }
}

/// Sends a request on a new connection and reads the head of the answer. `opened` is told the connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    patience: Duration,
    opened: impl FnOnce(&TcpStream),
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    opened(&stream);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut input = BufReader::new(stream);
    let line = read_line(&mut input)?.ok_or(ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status: u16 = status.ok_or_else(|| broken("status line"))?;
    let head = Message {
        path: line,
        headers: read_headers(&mut input)?,
        ..Message::default()
    };
    let left = head.header("content-length").and_then(|it| it.parse().ok());
    Ok(Response {
        status,
        head,
        input,
        left,
    })
}
