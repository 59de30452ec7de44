//! A runner that ends when it begins to run one certain request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::runner::{read_request, reset};

/// Body of the request under which runners end.
pub const CRASHING_BODY: &str = "crash";

/// The runner. It answers all other requests with 200 `done`.
#[derive(Clone)]
pub struct CrashingRunner {
    pub address: SocketAddr,
    arrivals: Arc<AtomicU32>,
    ended: CancellationToken,
}

impl CrashingRunner {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
            ended: CancellationToken::new(),
        };
        let serving = runner.clone();
        tokio::spawn(async move {
            let ended = serving.ended.clone();
            // The listener is dropped with this task: later connections are reset.
            ended.run_until_cancelled(serving.accept(listener)).await;
        });
        runner
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// How often the request under which it ends has reached it.
    pub fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::Relaxed)
    }

    async fn accept(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let serving = self.clone();
            tokio::spawn(async move { serving.serve(stream).await });
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let ended = self.ended.clone();
        ended
            .run_until_cancelled(self.answer_all(&mut stream))
            .await;
        reset(&stream);
    }

    async fn answer_all(&self, stream: &mut TcpStream) {
        while let Some(request) = read_request(stream).await {
            let id = request.header("x-id").unwrap_or_default();
            if request.body == CRASHING_BODY.as_bytes() {
                self.arrivals.fetch_add(1, Ordering::Relaxed);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                // A run begins some steps after its request has come.
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.ended.cancel();
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
