//! A gateway on a local port, with stub back ends whose behaviour each test chooses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_control::configuration::Configuration;
use flaxward_gateway::{Gateway, GatewaySettings, back_end_client};
use flaxward_platform::ObjectApi;
use flaxward_types::configuration::{CopyRule, ModelSpec, ServiceSpec, VersionSpec};
use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::routing::{Demand, Outlook, Replica, RouteAnswer};
use flaxward_types::{
    ArtifactId, ConfigurationItem, DaemonName, ItemKey, ModelName, Revision, RunnerName,
    ServiceName, Term, VersionName, ZoneName,
};
use futures::StreamExt;
use salvo::conn::{Acceptor, TcpListener};
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
};
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use crate::store::MemoryStore;

/// What a stub does with one request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Streams the tokens from the index asked for up to this one, and the end mark.
    Stream { tokens: u64 },
    /// Streams, but breaks the connection off before this token.
    BreakAt { token: u64, tokens: u64 },
    /// Streams, but leaves this token out.
    SkipAt { token: u64, tokens: u64 },
    /// Streams and ends properly before this token, without the end mark.
    CutAt { token: u64 },
    /// Streams from the first token, whatever index is asked for.
    IgnoreResume { tokens: u64 },
    /// Refuses before running.
    Refuse,
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Closes the connection without an answer.
    Close,
    /// Sends this many bytes.
    Long(usize),
    /// Never answers.
    Hang,
    /// Sends one token and then nothing more.
    Stall,
}

/// What a stub has seen of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub headers: std::collections::BTreeMap<String, String>,
    pub body: String,
}

/// A back end that does what the test says, request by request; the last behaviour is repeated.
#[derive(Clone)]
pub struct Stub {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

struct StubHandler {
    script: Mutex<Vec<Behaviour>>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Stub {
    pub async fn start(script: &[Behaviour]) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let handler = StubHandler {
            script: Mutex::new(script.iter().rev().cloned().collect()),
            seen: Arc::clone(&seen),
        };
        let address = serve(Router::with_path("{**path}").goal(handler)).await;
        Self { address, seen }
    }

    /// The requests seen, without those that cancel a stream.
    pub fn requests(&self) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        seen.iter()
            .filter(|seen| seen.method != "DELETE")
            .cloned()
            .collect()
    }

    /// Waits until a request with this method has been seen.
    pub async fn wait_for(&self, method: &str) -> Seen {
        loop {
            let found = {
                let seen = self.seen.lock().unwrap();
                seen.iter().find(|seen| seen.method == method).cloned()
            };
            match found {
                Some(seen) => return seen,
                None => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }
}

/// Serves a router on a free local port.
pub async fn serve(router: Router) -> SocketAddr {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.holdings()[0]
        .local_addr
        .clone()
        .into_std()
        .expect("an internet address");
    tokio::spawn(Server::new(acceptor).serve(router));
    address
}

#[async_trait]
impl Handler for StubHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let body = request.payload().await.cloned().unwrap_or_default();
        let headers = request
            .headers()
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.to_string(), value)
            })
            .collect();
        let seen = Seen {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let resume = seen
            .headers
            .get("x-flaxward-resume-from")
            .map_or(0, |index| index.parse().unwrap());
        self.seen.lock().unwrap().push(seen.clone());
        if seen.method == "DELETE" {
            response.status_code(StatusCode::OK);
            return;
        }
        let behaviour = {
            let mut script = self.script.lock().unwrap();
            if script.len() > 1 {
                script.pop().unwrap()
            } else {
                script[0].clone()
            }
        };
        behave(behaviour, resume, response).await;
    }
}

async fn behave(behaviour: Behaviour, resume: u64, response: &mut Response) {
    let end = Some("data: [DONE]\n\n".to_owned());
    match behaviour {
        Behaviour::Stream { tokens } => {
            stream(response, (resume..tokens).map(token).chain(end), After::End);
        }
        Behaviour::BreakAt { token: at, .. } => {
            stream(response, (resume..at).map(token), After::Break);
        }
        Behaviour::SkipAt { token: at, tokens } => {
            let events = (resume..tokens).filter(move |index| *index != at);
            stream(response, events.map(token).chain(end), After::End);
        }
        Behaviour::CutAt { token: at } => {
            stream(response, (resume..at).map(token), After::End);
        }
        Behaviour::IgnoreResume { tokens } => {
            stream(response, (0..tokens).map(token).chain(end), After::End);
        }
        Behaviour::Refuse => {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let headers = response.headers_mut();
            headers.insert("x-flaxward-not-run", "true".parse().unwrap());
        }
        Behaviour::Answer(status, body) => {
            response.status_code(StatusCode::from_u16(status).unwrap());
            let headers = response.headers_mut();
            headers.insert("content-type", "application/json".parse().unwrap());
            response.body(ResBody::Once(body.into()));
        }
        Behaviour::Close => panic!("the stub closes the connection"),
        Behaviour::Long(length) => {
            let chunks = (0..length.div_ceil(1 << 16)).map(|_| "x".repeat(1 << 16));
            stream(response, chunks, After::End);
        }
        Behaviour::Hang => std::future::pending().await,
        Behaviour::Stall => stream(response, [token(0)], After::Stall),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum After {
    End,
    Break,
    Stall,
}

fn token(index: u64) -> String {
    format!("id: {index}\ndata: {{\"text\":\"t{index}\"}}\n\n")
}

fn stream<I>(response: &mut Response, events: I, after: After)
where
    I: IntoIterator<Item = String>,
    I::IntoIter: Send + 'static,
{
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    let events = futures::stream::iter(events).map(Ok::<_, std::io::Error>);
    let tail = futures::stream::once(async move {
        match after {
            After::End => Ok(String::new()),
            After::Break => {
                // The server sends what it has before it waits.
                tokio::task::yield_now().await;
                Err(std::io::Error::other("broken off"))
            }
            After::Stall => std::future::pending().await,
        }
    });
    response.body(ResBody::stream(events.chain(tail)));
}

/// A gateway on a local port, whose coordinator is the test.
pub struct Bench {
    pub gateway: Arc<Gateway>,
    pub address: SocketAddr,
    pub store: Arc<MemoryStore>,
    pub demands: mpsc::UnboundedReceiver<(ZoneName, Vec<Demand>)>,
    pub client: reqwest::Client,
    /// Kept, because the gateway watches it.
    pub configuration: watch::Sender<Arc<Configuration>>,
}

pub fn zone() -> ZoneName {
    ZoneName::literal("scl-a")
}

pub fn artifact() -> ArtifactId {
    "turbine@v1".parse().unwrap()
}

/// The model `turbine` and the service `despacho`.
pub fn configuration() -> Configuration {
    let model = ModelName::literal("turbine");
    let version = VersionName::literal("v1");
    let items = [
        (
            ItemKey::Model(model.clone()),
            ConfigurationItem::Model(ModelSpec {
                serving: version.clone(),
                copies: CopyRule::default(),
                priority: 5,
                queue_limit: 4,
            }),
        ),
        (
            ItemKey::Version(model, version),
            ConfigurationItem::Version(VersionSpec {
                checkpoint: "turbine-1".to_owned(),
                weights: ByteSize::gib(1),
                kv_cache: ByteSize::gib(1),
            }),
        ),
        (
            ItemKey::Service(ServiceName::literal("despacho")),
            ConfigurationItem::Service(ServiceSpec { concurrency: 2 }),
        ),
    ];
    let items = items
        .into_iter()
        .map(|(key, item)| (key, Revision(1), item));
    Configuration::new(Revision(1), items)
}

impl Bench {
    pub async fn start(change: impl FnOnce(&mut GatewaySettings)) -> Self {
        let mut settings = GatewaySettings::new(vec![zone()]);
        change(&mut settings);
        let (sender, receiver) = watch::channel(Arc::new(configuration()));
        let (demands, demanded) = mpsc::unbounded_channel();
        let store = Arc::new(MemoryStore::default());
        let gateway = Gateway::new(
            settings,
            receiver,
            back_end_client(Duration::from_secs(1)).unwrap(),
            demands,
            Arc::clone(&store) as Arc<dyn ObjectApi>,
            DaemonName::literal("d1"),
        );
        gateway.on_heads(BTreeSet::from([zone()]));
        let ticking = Arc::clone(&gateway);
        tokio::spawn(async move { ticking.run().await });
        let address = serve(gateway.router()).await;
        Self {
            gateway,
            address,
            store,
            demands: demanded,
            client: reqwest::Client::new(),
            configuration: sender,
        }
    }

    /// Tells the gateway how the model stands, as its coordinator would.
    pub fn route(&self, sequence: u64, replicas: &[&Stub], outlook: Outlook) {
        let ready = replicas.iter().enumerate().map(|(index, stub)| Replica {
            runner: RunnerName::literal(&format!("r{index}")),
            address: stub.address.to_string(),
            outstanding: 0,
        });
        self.gateway.on_routes(vec![RouteAnswer {
            artifact: artifact(),
            zone: zone(),
            term: Term(1),
            sequence,
            ready: ready.collect(),
            outlook,
        }]);
    }

    /// Answers each demand with these replicas, from now on.
    pub fn answer_demands(&mut self, replicas: &[&Stub], outlook: &Outlook) {
        let (_, empty) = mpsc::unbounded_channel();
        let mut demands = std::mem::replace(&mut self.demands, empty);
        let gateway = Arc::clone(&self.gateway);
        let ready: Vec<Replica> = replicas
            .iter()
            .enumerate()
            .map(|(index, stub)| Replica {
                runner: RunnerName::literal(&format!("r{index}")),
                address: stub.address.to_string(),
                outstanding: 0,
            })
            .collect();
        let outlook = outlook.clone();
        tokio::spawn(async move {
            let mut sequence = 0;
            while let Some((zone, demands)) = demands.recv().await {
                for demand in demands {
                    sequence += 1;
                    gateway.on_routes(vec![RouteAnswer {
                        artifact: demand.artifact,
                        zone: zone.clone(),
                        term: Term(1),
                        sequence,
                        ready: ready.clone(),
                        outlook: outlook.clone(),
                    }]);
                }
            }
        });
    }

    /// Makes stubs the machines of the service.
    pub fn serve_service(&self, stubs: &[&Stub]) {
        let machines: Vec<Machine> = stubs
            .iter()
            .enumerate()
            .map(|(index, stub)| Machine {
                name: RunnerName::literal(&format!("s{index}")),
                zone: zone(),
                address: stub.address.to_string(),
                role: MachineRole::Service(ServiceName::literal("despacho")),
                leaving: false,
            })
            .collect();
        self.gateway.on_machines(&machines);
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Begins a completion.
    pub fn complete(&self, body: &Value) -> reqwest::RequestBuilder {
        let url = self.url("/v1/completions");
        self.client.post(url).body(body.to_string())
    }
}

/// Status, error code and body of an answer.
pub async fn read(answer: reqwest::RequestBuilder) -> (u16, Option<u64>, String) {
    let answer = answer.send().await.expect("an answer");
    let status = answer.status().as_u16();
    let text = answer.text().await.expect("a whole body");
    (status, code_of(&text), text)
}

/// The result code in an error.
pub fn code_of(text: &str) -> Option<u64> {
    let json = text.rsplit("data: ").next()?;
    let value: Value = serde_json::from_str(json.trim()).ok()?;
    value["error"]["code"].as_u64()
}

/// The indices of the tokens in a stream, and whether its end mark came.
pub fn tokens_of(text: &str) -> (Vec<u64>, bool) {
    let indices = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|index| index.parse().unwrap())
        .collect();
    (indices, text.ends_with("data: [DONE]\n\n"))
}
