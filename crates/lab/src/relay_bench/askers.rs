//! Callers that ask one question after the other, and read answers at the least cost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use futures::StreamExt;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

use super::one_core::OneCore;

/// Time allowed for each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Time over which askers begin, so that their streams are not in step.
const RAMP: Duration = Duration::from_secs(1);
/// Time between the last beginning and the measurement.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time for the ways to notice that the askers have gone.
const COOL_DOWN: Duration = Duration::from_millis(200);
/// What ends a streamed answer.
const END: &[u8] = b"data: [DONE]\n\n";
/// Lines of each event, its blank one included.
const EVENT_LINES: u64 = 3;
/// Lines of the end mark, its blank one included.
const END_LINES: u64 = 2;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// What to ask, and how many ask it at one time.
#[derive(Clone, Debug)]
pub(super) struct Asking {
    /// Base URL.
    pub url: String,
    /// Model, as it is named there.
    pub model: String,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Whether answers come token by token.
    pub streamed: bool,
    /// Questions at one time.
    pub askers: usize,
}

/// What askers got in a span of time.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    /// Questions answered whole.
    pub answered: u64,
    /// Questions not answered, or not whole.
    pub failed: u64,
    /// Tokens received.
    pub tokens: f64,
    /// The span.
    pub elapsed: Duration,
    /// Processor time of the core measured.
    pub processor: Option<Duration>,
    /// Microseconds to the first token, or to the whole answer.
    pub latency: Histogram<u64>,
}

/// What the askers count together.
struct Counts {
    answered: AtomicU64,
    failed: AtomicU64,
    lines: AtomicU64,
    latency: Mutex<Histogram<u64>>,
}

/// A reading of the counts.
struct Reading {
    at: Instant,
    processor: Option<Duration>,
    answered: u64,
    failed: u64,
    lines: u64,
}

impl Counts {
    fn new() -> Result<Arc<Self>> {
        Ok(Arc::new(Self {
            answered: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            latency: Mutex::new(Histogram::new(DIGITS)?),
        }))
    }

    fn latency(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, core: Option<&OneCore>) -> Result<Reading> {
        Ok(Reading {
            at: Instant::now(),
            processor: core.map(OneCore::processor_time).transpose()?,
            answered: self.answered.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            lines: self.lines.load(Ordering::Relaxed),
        })
    }
}

/// Lets askers ask, and measures for a span once they are all at it; longer if not one question has
/// ended by then.
pub(super) async fn ask_for(
    asking: &Asking,
    core: Option<&OneCore>,
    span: Duration,
) -> Result<Asked> {
    let counts = Counts::new()?;
    let client = Client::builder().no_proxy().build()?;
    let mut askers = JoinSet::new();
    for number in 0..asking.askers {
        askers.spawn(keep_asking(
            client.clone(),
            asking.clone(),
            Arc::clone(&counts),
            number,
        ));
    }
    tokio::time::sleep(RAMP.min(span) + WARM_UP).await;
    counts.latency().reset();
    let before = counts.read(core)?;
    let mut after;
    loop {
        tokio::time::sleep(span).await;
        after = counts.read(core)?;
        if after.answered + after.failed > before.answered + before.failed {
            break;
        }
    }
    let latency = counts.latency().clone();
    askers.shutdown().await;
    tokio::time::sleep(COOL_DOWN).await;
    let lines = after.lines - before.lines;
    let answered = after.answered - before.answered;
    Ok(Asked {
        answered,
        failed: after.failed - before.failed,
        tokens: tokens(asking, answered, lines),
        elapsed: after.at - before.at,
        processor: after
            .processor
            .zip(before.processor)
            .map(|(after, before)| after.saturating_sub(before)),
        latency,
    })
}

/// Tokens among the lines of streams; each stream adds the lines of its end mark.
fn tokens(asking: &Asking, answered: u64, lines: u64) -> f64 {
    let each = u64::from(asking.tokens);
    if !asking.streamed {
        return (answered * each) as f64;
    }
    lines as f64 * each as f64 / lines_of(each) as f64
}

fn lines_of(tokens: u64) -> u64 {
    tokens * EVENT_LINES + END_LINES
}

async fn keep_asking(client: Client, asking: Asking, counts: Arc<Counts>, number: usize) {
    let part = number as f64 / asking.askers as f64;
    tokio::time::sleep(RAMP.mul_f64(part)).await;
    // The first answers have all lengths, so that streams end evenly from the start.
    let mut tokens = 1 + (f64::from(asking.tokens - 1) * (1.0 - part)) as u32;
    loop {
        let asked = tokio::time::timeout(ANSWER_TIMEOUT, ask(&client, &asking, tokens, &counts));
        match asked.await {
            Ok(Ok(())) => counts.answered.fetch_add(1, Ordering::Relaxed),
            _ => counts.failed.fetch_add(1, Ordering::Relaxed),
        };
        tokens = asking.tokens;
    }
}

async fn ask(client: &Client, asking: &Asking, tokens: u32, counts: &Counts) -> Result<()> {
    let body = json!({
        "model": asking.model,
        "prompt": "How are you?",
        "max_tokens": tokens,
        "stream": asking.streamed,
    });
    let begun = Instant::now();
    let request = client.post(format!("{}/v1/completions", asking.url));
    let response = request.json(&body).send().await?.error_for_status()?;
    let record = || {
        let micros = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        // The histogram grows by itself.
        let _ = counts.latency().record(micros);
    };
    if !asking.streamed {
        response.bytes().await?;
        record();
        return Ok(());
    }
    let mut chunks = response.bytes_stream();
    let first = chunks.next().await.context("an event")??;
    record();
    let mut lines = count_lines(&first, counts);
    let mut tail = End::default();
    tail.feed(&first);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        lines += count_lines(&chunk, counts);
        tail.feed(&chunk);
    }
    ensure!(lines == lines_of(tokens.into()), "{lines} lines came");
    ensure!(tail.is_whole(), "the end mark is missing");
    Ok(())
}

fn count_lines(chunk: &[u8], counts: &Counts) -> u64 {
    let lines = memchr::memchr_iter(b'\n', chunk).count() as u64;
    counts.lines.fetch_add(lines, Ordering::Relaxed);
    lines
}

/// The last bytes of a stream.
#[derive(Default)]
struct End(Vec<u8>);

impl End {
    fn feed(&mut self, chunk: &[u8]) {
        let kept = chunk.len().saturating_sub(END.len());
        self.0.extend_from_slice(&chunk[kept..]);
        let surplus = self.0.len().saturating_sub(END.len());
        self.0.drain(..surplus);
    }

    fn is_whole(&self) -> bool {
        self.0 == END
    }
}
