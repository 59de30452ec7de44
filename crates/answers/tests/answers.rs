//! Servers in trouble: statuses that no answer has, and bodies without end.

use std::net::SocketAddr;

use flaxward_answers::{BodyError, is_answer_status, read_body};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MAX_BYTES: usize = 64 * 1_024;
const CHUNK: [u8; 8 * 1_024] = [b'x'; 8 * 1_024];

/// Starts a server that answers one request with this head, and then sends a number of bytes.
async fn server(head: &'static str, body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let mut left = body_bytes;
        while left > 0 {
            let length = left.min(CHUNK.len());
            if stream.write_all(&CHUNK[..length]).await.is_err() {
                return;
            }
            left -= length;
        }
    });
    address
}

async fn read_from(head: &'static str, body_bytes: usize) -> Result<usize, BodyError> {
    let address = server(head, body_bytes).await;
    let response = reqwest::get(format!("http://{address}/")).await.unwrap();
    read_body(response, MAX_BYTES).await.map(|body| body.len())
}

/// Guards against a body without end that costs the memory of the process that reads it.
#[tokio::test]
async fn a_body_without_end_is_not_read() {
    let unsized_head = "HTTP/1.1 200 OK\r\n\r\n";
    let end = read_from(unsized_head, usize::MAX).await;
    assert!(matches!(end, Err(BodyError::TooLong(MAX_BYTES))));
    assert_eq!(read_from(unsized_head, MAX_BYTES).await.unwrap(), MAX_BYTES);
    let beyond = read_from(unsized_head, MAX_BYTES + 1).await;
    assert!(matches!(beyond, Err(BodyError::TooLong(MAX_BYTES))));
    let cut = read_from("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n", 99).await;
    assert!(matches!(cut, Err(BodyError::Broken(_))));
}

proptest! {
    /// Guards against a status that no answer has.
    #[test]
    fn only_final_statuses_are_those_of_answers(number in 100_u16..1_000) {
        let status = http::StatusCode::from_u16(number).unwrap();
        prop_assert_eq!(is_answer_status(status), (200..600).contains(&number));
    }
}
