//! What all stand-ins need of HTTP: a listener that can refuse, calls, replies and broken answers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::stream::BoxStream;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::{FuseAction, FuseConfig, FuseInfo};
use salvo::http::{HeaderMap, HeaderValue, StatusCode};
use salvo::{ConnCtrl, Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64;

/// Longest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Header by which a client names its zone and daemon, as `ZONE/DAEMON`.
pub const CLIENT_HEADER: &str = "x-flaxward-client";

/// Header of a refusal that says that the request certainly did not run.
pub const NOT_RUN_HEADER: &str = "x-flaxward-not-run";

const ETAG: &str = "etag";
const IF_NONE_MATCH: &str = "if-none-match";

/// Whether a listener closes new connections at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusing(Arc<AtomicBool>);

impl Refusing {
    /// Starts or stops refusing.
    pub(crate) fn set(&self, refusing: bool) {
        self.0.store(refusing, Ordering::Release);
    }

    /// Whether connections are refused now.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A stand-in that listens.
#[derive(Debug)]
pub(crate) struct Listening {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listening {
    /// Binds and starts to serve.
    pub(crate) async fn start(
        listen: SocketAddr,
        router: Router,
        refusing: Refusing,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        // As with real engines each token leaves at once: connections take the option over.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let server = Server::new(acceptor).fuse_policy(move |_: &FuseInfo| {
            if refusing.is_set() {
                FuseAction::Reject
            } else {
                FuseAction::Accept(FuseConfig::default())
            }
        });
        let task = tokio::spawn(server.serve(router));
        Ok(Self { address, task })
    }

    /// Stops at once; open connections break.
    pub(crate) async fn stop(self) {
        // The server's future owns the listener and the connections.
        self.task.abort();
        let _ = self.task.await;
    }
}

/// One call of a client.
pub(crate) struct Call {
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Path, as sent.
    pub(crate) path: String,
    /// Method.
    pub(crate) method: String,
    first: Option<String>,
    second: Option<String>,
    queries: Vec<(String, String)>,
}

impl Call {
    /// Path parameter `{first}`, decoded.
    pub(crate) fn first(&self) -> &str {
        self.first.as_deref().unwrap_or_default()
    }

    /// Path parameter `{second}`, decoded.
    pub(crate) fn second(&self) -> &str {
        self.second.as_deref().unwrap_or_default()
    }

    /// A query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.queries
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// A header as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether `If-None-Match` names this entity tag.
    fn holds(&self, tag: &str) -> bool {
        let named = self.header(IF_NONE_MATCH).unwrap_or_default();
        named.split(',').any(|name| name.trim() == tag)
    }

    /// The zone of the client, from [`CLIENT_HEADER`].
    pub(crate) fn client_zone(&self) -> Option<&str> {
        let client = self.header(CLIENT_HEADER)?;
        client.split('/').next()
    }

    /// The body as JSON, or the reply that says why it cannot be read.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Reply::json(
                StatusCode::BAD_REQUEST,
                &json!({"message": error.to_string()}),
            )
        })
    }
}

/// Error of an answer that is broken off on purpose.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer is broken off on purpose")
    }
}

impl std::error::Error for BrokenOff {}

/// Body of a reply.
enum ReplyBody {
    Whole(Bytes),
    Stream(BoxStream<'static, Result<Bytes, BrokenOff>>),
    Broken,
}

/// What a stand-in answers.
pub(crate) struct Reply {
    status: StatusCode,
    content_type: &'static str,
    headers: Vec<(&'static str, HeaderValue)>,
    body: ReplyBody,
}

impl Reply {
    /// A JSON document.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", Bytes::from(body))
    }

    /// A JSON document with status 200.
    pub(crate) fn ok(value: &impl Serialize) -> Self {
        Self::json(StatusCode::OK, value)
    }

    /// A whole body.
    pub(crate) fn whole(status: StatusCode, content_type: &'static str, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body: ReplyBody::Whole(body),
        }
    }

    /// A body sent as it comes.
    pub(crate) fn stream(
        content_type: &'static str,
        body: BoxStream<'static, Result<Bytes, BrokenOff>>,
    ) -> Self {
        Self {
            status: StatusCode::OK,
            content_type,
            headers: Vec::new(),
            body: ReplyBody::Stream(body),
        }
    }

    /// No answer: the connection is closed.
    pub(crate) fn broken() -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "",
            headers: Vec::new(),
            body: ReplyBody::Broken,
        }
    }

    /// The document under its entity tag, or status 304 without it if the call names this tag in
    /// `If-None-Match`.
    pub(crate) fn unless_held(self, call: &Call) -> Self {
        let ReplyBody::Whole(body) = &self.body else {
            return self;
        };
        let tag = format!("\"{:016x}\"", xxh3_64(body));
        let is_held = call.holds(&tag);
        let mut reply = if is_held {
            Self::whole(StatusCode::NOT_MODIFIED, self.content_type, Bytes::new())
        } else {
            self
        };
        if let Ok(value) = HeaderValue::from_str(&tag) {
            reply.headers.push((ETAG, value));
        }
        reply
    }

    /// Whether the document is sent.
    pub(crate) fn is_ok(&self) -> bool {
        self.status == StatusCode::OK
    }

    /// Status 503.
    pub(crate) fn down() -> Self {
        let message = json!({"message": "the stand-in is told to be down"});
        Self::json(StatusCode::SERVICE_UNAVAILABLE, &message)
    }

    /// Adds the header that says that the request certainly did not run.
    pub(crate) fn not_run(mut self) -> Self {
        let value = HeaderValue::from_static("true");
        self.headers.push((NOT_RUN_HEADER, value));
        self
    }
}

/// One path and method of a stand-in.
pub(crate) struct Endpoint<State, Action> {
    state: Arc<State>,
    action: Action,
}

/// Makes the handler of one path and method.
pub(crate) fn endpoint<State, Action, Answer>(
    state: &Arc<State>,
    action: Action,
) -> Endpoint<State, Action>
where
    Action: Fn(Arc<State>, Call) -> Answer,
    Answer: Future<Output = Reply>,
{
    Endpoint {
        state: Arc::clone(state),
        action,
    }
}

#[async_trait]
impl<State, Action, Answer> Handler for Endpoint<State, Action>
where
    State: Send + Sync + 'static,
    Action: Fn(Arc<State>, Call) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Reply> + Send + 'static,
{
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let Some(call) = read_call(request).await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let reply = (self.action)(Arc::clone(&self.state), call).await;
        write_reply(reply, response, control.conn()).await;
    }
}

async fn read_call(request: &mut Request) -> Option<Call> {
    let body = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()?
        .clone();
    let queries = request
        .queries()
        .iter()
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect();
    Some(Call {
        body,
        path: request.uri().path().to_owned(),
        method: request.method().to_string(),
        first: request.param("first"),
        second: request.param("second"),
        queries,
        headers: std::mem::take(request.headers_mut()),
    })
}

async fn write_reply(reply: Reply, response: &mut Response, connection: &ConnCtrl) {
    response.status_code(reply.status);
    let content_type = HeaderValue::from_static(reply.content_type);
    response.headers_mut().insert("content-type", content_type);
    for (name, value) in reply.headers {
        response.headers_mut().insert(name, value);
    }
    match reply.body {
        ReplyBody::Whole(body) => {
            response.body(body);
        }
        ReplyBody::Stream(body) => response.stream(body),
        ReplyBody::Broken => break_connection(connection).await,
    }
}

/// Closes the connection under the call that is being answered.
async fn break_connection(connection: &ConnCtrl) {
    connection.abort();
    std::future::pending::<()>().await;
}
