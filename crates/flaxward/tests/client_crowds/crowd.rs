//! Clients that send a part of a request and stay.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Longest time for a whole crowd to send what it sends; a verdict does not depend on how soon it does.
const CROWD_TIME: Duration = Duration::from_secs(120);

/// Receive buffer of a client that reads nothing, in bytes.
const UNREAD_BUFFER_BYTES: u32 = 4_096;

/// How a client sends its body.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With its length.
    Length,
    /// In chunks of so many bytes.
    Chunks(usize),
}

/// What one client sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent first.
    pub head: String,
    /// Sent again and again after the head.
    pub piece: Vec<u8>,
    /// How many times the piece is sent.
    pub pieces: usize,
    /// Sent last.
    pub rest: Vec<u8>,
    /// The client reads nothing of its answer.
    pub is_deaf: bool,
}

impl Script {
    /// A request whose body lacks its last `missing` bytes, or its last chunk if it has chunks and `missing` is not 0.
    ///
    /// `head` is that of the request, without the headers that describe the body and without the empty line.
    pub fn request(head: &str, framing: Framing, body_bytes: usize, missing: usize) -> Self {
        const PIECE_BYTES: usize = 16 * 1_024;
        match framing {
            Framing::Length => {
                let sent = body_bytes - missing;
                Self {
                    head: format!("{head}content-length: {body_bytes}\r\n\r\n"),
                    piece: vec![b'x'; PIECE_BYTES],
                    pieces: sent / PIECE_BYTES,
                    rest: vec![b'x'; sent % PIECE_BYTES],
                    is_deaf: false,
                }
            }
            Framing::Chunks(chunk_bytes) => {
                let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
                chunk.extend(vec![b'x'; chunk_bytes]);
                chunk.extend(b"\r\n");
                let chunks_in_piece = (PIECE_BYTES / chunk.len()).max(1);
                let chunks = body_bytes / chunk_bytes;
                let mut rest = chunk.repeat(chunks % chunks_in_piece);
                if missing == 0 {
                    rest.extend(b"0\r\n\r\n");
                }
                Self {
                    head: format!("{head}transfer-encoding: chunked\r\n\r\n"),
                    piece: chunk.repeat(chunks_in_piece),
                    pieces: chunks / chunks_in_piece,
                    rest,
                    is_deaf: false,
                }
            }
        }
    }
}

/// An answer as a client has read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Its head and body.
    pub text: String,
}

/// A client that has sent what it sends, or was answered or cut off before.
#[derive(Debug)]
pub struct Client {
    /// What it has read, if it has read a whole answer.
    pub answer: Option<Answer>,
    /// Keeps the connection open.
    _connection: Option<(OwnedReadHalf, OwnedWriteHalf)>,
}

/// Lets all clients of a crowd send at once. They stay connected until the result is dropped. The result has the order
/// of the scripts.
pub async fn gather(address: SocketAddr, scripts: Vec<Script>) -> Vec<Client> {
    let clients = scripts.into_iter().map(|script| {
        let sending = tokio::spawn(send(address, script));
        async move { sending.await.expect("a client does not panic") }
    });
    let clients: Vec<_> = clients.collect();
    timeout(CROWD_TIME, join_all(clients))
        .await
        .expect("the crowd has sent or been answered")
}

async fn send(address: SocketAddr, script: Script) -> Client {
    let Ok(stream) = connect(address, &script).await else {
        return Client {
            answer: None,
            _connection: None,
        };
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut received = Vec::new();
    let answer = tokio::select! {
        biased;
        answer = read_answer(&mut reader, &mut received), if !script.is_deaf => answer,
        sent = write(&mut writer, &script) => match sent {
            Ok(()) => None,
            // The connection was closed; an answer may have come before.
            Err(_) => read_answer(&mut reader, &mut received).await,
        },
    };
    Client {
        answer,
        _connection: Some((reader, writer)),
    }
}

async fn connect(address: SocketAddr, script: &Script) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if script.is_deaf {
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES)?;
    }
    socket.connect(address).await
}

async fn write(writer: &mut OwnedWriteHalf, script: &Script) -> std::io::Result<()> {
    writer.write_all(script.head.as_bytes()).await?;
    for _ in 0..script.pieces {
        writer.write_all(&script.piece).await?;
    }
    writer.write_all(&script.rest).await
}

/// Reads one answer. Bytes of an answer that has not come whole stay in `received`.
async fn read_answer(reader: &mut OwnedReadHalf, received: &mut Vec<u8>) -> Option<Answer> {
    loop {
        if let Some(answer) = whole_answer(received) {
            if answer.status >= 200 {
                return Some(answer);
            }
            received.clear();
        }
        let read = reader.read_buf(received).await;
        if !read.is_ok_and(|read| read > 0) {
            return whole_answer(received);
        }
    }
}

/// The answer that the bytes hold, if it is whole. Each answer here has a length, or none and no body.
fn whole_answer(received: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(received).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    let is_whole = length.is_none_or(|length| body.len() >= length);
    is_whole.then_some(Answer { status, text })
}

impl Client {
    /// Ends the connection and keeps what was read.
    pub fn disconnect(self) -> Self {
        Self {
            answer: self.answer,
            _connection: None,
        }
    }

    /// The answer to a request that is sent whole while its answer is read.
    pub async fn answered(address: SocketAddr, script: Script) -> Answer {
        let stream = TcpStream::connect(address)
            .await
            .expect("the daemon listens");
        let (mut reader, mut writer) = stream.into_split();
        let mut received = Vec::new();
        let exchange = async {
            let reading = read_answer(&mut reader, &mut received);
            let (_, answer) = tokio::join!(write(&mut writer, &script), reading);
            answer
        };
        let answer = timeout(CROWD_TIME, exchange).await.expect("an answer");
        answer.expect("a whole answer")
    }

    /// The answer that a client reads only after it has sent its whole request.
    pub async fn answered_after_sending(address: SocketAddr, script: Script) -> Option<Answer> {
        let stream = TcpStream::connect(address)
            .await
            .expect("the daemon listens");
        let (mut reader, mut writer) = stream.into_split();
        let exchange = async {
            write(&mut writer, &script).await.ok()?;
            read_answer(&mut reader, &mut Vec::new()).await
        };
        timeout(CROWD_TIME, exchange).await.expect("an end")
    }
}
