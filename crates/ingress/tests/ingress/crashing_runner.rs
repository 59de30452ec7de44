//! A runner that crashes when it starts to run a request with a certain body or with a certain part in its prompt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::runner::{read_request, reset};

/// Body of the request that crashes runners.
pub const CRASHING_BODY: &str = "crash";

/// Part of a prompt that crashes runners, whatever else the request holds.
pub const CRASHING_PART: &str = "77";

/// A runner that answers all other requests with 200 `done`.
#[derive(Clone)]
pub struct CrashingRunner {
    pub address: SocketAddr,
    arrivals: Arc<AtomicU32>,
    crashed: CancellationToken,
}

impl CrashingRunner {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
            crashed: CancellationToken::new(),
        };
        let server = runner.clone();
        tokio::spawn(async move {
            let crashed = server.crashed.clone();
            // The listener is dropped with this task, so later connections are refused.
            crashed.run_until_cancelled(server.accept(listener)).await;
        });
        runner
    }

    /// Returns whether the runner has crashed.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    /// Number of times the crashing request has reached it.
    pub fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::Relaxed)
    }

    async fn accept(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            tokio::spawn(async move { server.serve(stream).await });
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let crashed = self.crashed.clone();
        crashed
            .run_until_cancelled(self.answer_all(&mut stream))
            .await;
        reset(&stream);
    }

    async fn answer_all(&self, stream: &mut TcpStream) {
        while let Some(request) = read_request(stream).await {
            let id = request.header("x-id").unwrap_or_default();
            let parts = request.header("x-parts").unwrap_or_default();
            let has_part = parts.split(',').any(|part| part == CRASHING_PART);
            if has_part || request.body == CRASHING_BODY.as_bytes() {
                self.arrivals.fetch_add(1, Ordering::Relaxed);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                // A run starts some steps after its request has arrived.
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.crashed.cancel();
                return;
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 4\r\n\r\ndone"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
