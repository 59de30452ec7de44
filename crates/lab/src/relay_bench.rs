//! What a relay costs: the same requests to an engine stand-in directly, through a bare
//! pass-through, and through a daemon, in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use flaxward_emulator::engine::LoadedAtStart;
use flaxward_emulator::{Engine, EngineConfig};
use flaxward_types::ArtifactId;
use reqwest::Client;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::client::{Ending, Question, ask};
use crate::simulation::Times;

/// Tokens of each answer.
const TOKENS: u32 = 64;
/// Time allowed for each answer.
const DEADLINE: Duration = Duration::from_secs(30);
/// Histograms keep milliseconds; these latencies are kept as microseconds in their place.
const MICROS_AS_MILLIS: u32 = 1_000;

/// How to measure.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// The daemon, if one is to be measured, with the model that it serves from any engine.
    pub daemon: Option<(String, String)>,
    /// Requests at one time while throughput is measured.
    pub connections: usize,
    /// How long each measurement lasts.
    pub duration: Duration,
}

/// One way to the engine, measured. Latencies in microseconds, of one request at a time.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    /// The way.
    pub way: String,
    /// Whether answers come token by token.
    pub streamed: bool,
    /// Requests answered a second.
    pub requests_per_second: f64,
    /// Tokens received a second.
    pub tokens_per_second: f64,
    /// Requests that were not answered.
    pub failed: u64,
    /// To the first token, or to the whole answer.
    pub latency_p50: u64,
    /// To the first token, or to the whole answer.
    pub latency_p99: u64,
    /// Requests a second over those of the direct way.
    pub throughput_ratio: f64,
    /// Added to the direct way's.
    pub added_p50: i64,
    /// Added to the direct way's.
    pub added_p99: i64,
}

/// Measures every way, streamed and not.
///
/// # Errors
/// Fails if the stand-in or the pass-through cannot be started.
pub async fn run(plan: &BenchPlan) -> Result<Vec<BenchResult>> {
    let artifact: ArtifactId = "bench@v1".parse()?;
    let engine = Engine::start(EngineConfig {
        loaded: vec![LoadedAtStart {
            artifact: artifact.clone(),
            bytes: 1 << 30,
        }],
        ..EngineConfig::default()
    });
    let engine = engine.await?;
    let direct = format!("http://{}", engine.address());
    let pass_through = PassThrough::start(&direct).await?;
    let mut ways = vec![
        ("direct", direct, artifact.to_string()),
        ("pass-through", pass_through.url(), artifact.to_string()),
    ];
    if let Some((url, model)) = &plan.daemon {
        ways.push(("daemon", url.clone(), model.clone()));
    }
    let mut results: Vec<BenchResult> = Vec::new();
    for streamed in [true, false] {
        let first = results.len();
        for (way, target, model) in &ways {
            let question = Question {
                target: target.clone(),
                model: model.clone(),
                prompt: "How are you?".to_owned(),
                max_tokens: TOKENS,
                streamed,
                deadline: DEADLINE,
            };
            let mut result = measure(way, &question, plan).await?;
            let direct = results.get(first).unwrap_or(&result).clone();
            result.compare(&direct);
            results.push(result);
        }
    }
    engine.shutdown().await;
    Ok(results)
}

async fn measure(way: &str, question: &Question, plan: &BenchPlan) -> Result<BenchResult> {
    let alone = ask_for(question, 1, plan.duration).await?;
    let many = ask_for(question, plan.connections, plan.duration).await?;
    let seconds = many.elapsed.as_secs_f64();
    #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
    let per_second = |count: u64| count as f64 / seconds;
    Ok(BenchResult {
        way: way.to_owned(),
        streamed: question.streamed,
        requests_per_second: per_second(many.answered),
        tokens_per_second: per_second(many.tokens),
        failed: alone.failed + many.failed,
        latency_p50: alone.latency.quantile(0.5),
        latency_p99: alone.latency.quantile(0.99),
        throughput_ratio: 1.0,
        added_p50: 0,
        added_p99: 0,
    })
}

impl BenchResult {
    fn compare(&mut self, direct: &Self) {
        self.throughput_ratio = self.requests_per_second / direct.requests_per_second;
        self.added_p50 = difference(self.latency_p50, direct.latency_p50);
        self.added_p99 = difference(self.latency_p99, direct.latency_p99);
    }
}

fn difference(one: u64, other: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(one) - signed(other)
}

/// What some askers got.
#[derive(Default)]
struct Asked {
    answered: u64,
    failed: u64,
    tokens: u64,
    latency: Times,
    elapsed: Duration,
}

/// Lets some askers ask one question after the other.
async fn ask_for(question: &Question, askers: usize, duration: Duration) -> Result<Asked> {
    let client = Client::builder().build()?;
    let question = Arc::new(question.clone());
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..askers {
        let (client, question) = (client.clone(), Arc::clone(&question));
        tasks.spawn(async move {
            let mut answers = Vec::new();
            while start.elapsed() < duration {
                answers.push(ask(&client, &question, Instant::now()).await);
            }
            answers
        });
    }
    let mut asked = Asked::default();
    while let Some(answers) = tasks.join_next().await {
        for answer in answers? {
            if answer.ending == Ending::Answered {
                asked.answered += 1;
                asked.tokens += answer.tokens;
                let latency = answer.first_token.unwrap_or(answer.took);
                asked.latency.record(latency * MICROS_AS_MILLIS);
            } else {
                asked.failed += 1;
            }
        }
    }
    asked.elapsed = start.elapsed();
    Ok(asked)
}

/// The least that a relay of the same libraries can do: salvo in front, reqwest behind, no checks,
/// on one core.
struct PassThrough {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl PassThrough {
    /// Starts one on a thread and a runtime of its own; it ends when this is dropped.
    async fn start(target: &str) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let listener = listener.into_std()?;
        let (stop, stopped) = oneshot::channel();
        let forward = Forward {
            target: target.to_owned(),
            client: Client::builder().build()?,
        };
        std::thread::spawn(move || {
            runtime.block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let acceptor = TcpAcceptor::try_from(listener)?;
                let router = Router::with_path("{**rest}").goal(forward);
                tokio::select! {
                    () = Server::new(acceptor).serve(router) => {}
                    _ = stopped => {}
                }
                std::io::Result::Ok(())
            })
        });
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

struct Forward {
    target: String,
    client: Client,
}

impl Forward {
    async fn forward(&self, request: &mut Request) -> Result<reqwest::Response> {
        let path = request.uri().path().to_owned();
        let body = request.payload().await.context("body")?.clone();
        let sent = self
            .client
            .post(format!("{}{path}", self.target))
            .header("content-type", "application/json")
            .body(body)
            .send();
        sent.await.map_err(|error| anyhow!(error))
    }
}

#[async_trait]
impl Handler for Forward {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.forward(request).await {
            Ok(answer) => {
                if let Some(kind) = answer.headers().get("content-type") {
                    response
                        .headers_mut()
                        .insert(header::CONTENT_TYPE, kind.clone());
                }
                response.status_code(answer.status());
                response.stream(answer.bytes_stream());
            }
            Err(_) => {
                response.status_code(StatusCode::BAD_GATEWAY);
            }
        }
    }
}

/// The results for people; latencies in microseconds.
pub fn table(results: &[BenchResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "way",
        "answers",
        "requests/s",
        "of direct",
        "tokens/s",
        "failed",
        "p50, us",
        "added",
        "p99, us",
        "added",
    ]);
    for result in results {
        let form = if result.streamed { "streamed" } else { "whole" };
        table.add_row([
            result.way.clone(),
            form.to_owned(),
            format!("{:.0}", result.requests_per_second),
            format!("{:.2}", result.throughput_ratio),
            format!("{:.0}", result.tokens_per_second),
            result.failed.to_string(),
            result.latency_p50.to_string(),
            result.added_p50.to_string(),
            result.latency_p99.to_string(),
            result.added_p99.to_string(),
        ]);
    }
    table
}
