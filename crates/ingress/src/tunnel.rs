//! Tunnels to runners through other daemons.
//!
//! A tunnel is one HTTP exchange with the relay: the request body carries the bytes to the runner, the response body
//! those from it, both chunked. A body that is cut off lacks its last chunk, so a relay that dies is told apart from a
//! runner that closes the connection. A plain byte tunnel would not tell, and a response that ends with its connection
//! would then look complete.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use futures::TryStreamExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, join, simplex};
use tokio::net::TcpStream;
use tokio_util::io::{ReaderStream, StreamReader};
use tokio_util::task::AbortOnDropHandle;

use crate::network::{self, TCP_USER_TIMEOUT};

/// Path of the tunnel endpoint of a relay; the address of the runner follows.
pub(crate) const TUNNEL_PATH: &str = "/tunnel/";
/// Capacity of the buffer for bytes to the runner.
const BUFFER_BYTES: usize = 16 * 1024;

/// Why a relay did not provide a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// The relay does not answer, or does not relay.
    Silent,
    /// The relay declines: it is at its limit, stopping or partitioned too, or does not know the runner.
    Refused,
    /// The relay does not reach the runner in time.
    TargetSilent,
    /// Nothing listens at the address of the runner.
    TargetRefused,
}

/// Both directions of a tunnel.
pub(crate) trait ByteStream: AsyncRead + AsyncWrite + Send {}

impl<T: AsyncRead + AsyncWrite + Send> ByteStream for T {}

/// An open tunnel.
pub(crate) struct Tunnel {
    pub stream: Pin<Box<dyn ByteStream>>,
    /// Carries the exchange with the relay.
    pub driver: AbortOnDropHandle<()>,
}

/// Opens a tunnel to a runner.
pub(crate) async fn open(relay: SocketAddr, runner: SocketAddr) -> Result<Tunnel, TunnelError> {
    let stream = TcpStream::connect(relay)
        .await
        .map_err(|_| TunnelError::Silent)?;
    network::configure(&stream, TCP_USER_TIMEOUT);
    let (mut sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| TunnelError::Silent)?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // An error shows in the body that it cuts off.
        let _ = driver.await;
    }));
    let (outgoing, writer) = simplex(BUFFER_BYTES);
    let body = ReaderStream::new(outgoing).map_ok(Frame::data);
    let mut request = Request::new(StreamBody::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = format!("{TUNNEL_PATH}{runner}")
        .parse()
        .map_err(|_| TunnelError::Refused)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| TunnelError::Silent)?;
    check_status(response.status())?;
    let stream = Box::pin(join(incoming(response), writer));
    Ok(Tunnel { stream, driver })
}

fn check_status(status: StatusCode) -> Result<(), TunnelError> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::BAD_GATEWAY => Err(TunnelError::TargetRefused),
        StatusCode::GATEWAY_TIMEOUT => Err(TunnelError::TargetSilent),
        _ => Err(TunnelError::Refused),
    }
}

/// The bytes from the runner.
fn incoming(response: Response<Incoming>) -> impl AsyncRead + Send {
    let body = response.into_body().into_data_stream();
    StreamReader::new(body.map_err(io::Error::other))
}
