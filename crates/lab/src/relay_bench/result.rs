//! What the bench gave, over all rounds.

use std::collections::BTreeMap;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::askers::Asked;
use super::{Way, Workload};

/// What each way gave in one round.
pub(super) type Round = BTreeMap<Way, Asked>;

/// One figure of each round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Ratio {
    /// Half of the rounds lie below.
    pub median: f64,
    /// Of the round with the least.
    pub least: f64,
    /// Of the round with the most.
    pub most: f64,
}

impl Ratio {
    fn of(mut rounds: Vec<f64>) -> Option<Self> {
        rounds.sort_by(f64::total_cmp);
        Some(Self {
            median: *rounds.get(rounds.len() / 2)?,
            least: *rounds.first()?,
            most: *rounds.last()?,
        })
    }
}

/// One way under one workload. Latencies in microseconds, to the first token or the whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    /// What was asked.
    pub workload: String,
    /// The way.
    pub way: String,
    /// Requests answered a second.
    pub requests_per_second: f64,
    /// Tokens received a second.
    pub tokens_per_second: f64,
    /// Requests that were not answered whole.
    pub failed: u64,
    /// Share of a core that the way took.
    pub core_share: Option<f64>,
    /// Requests answered in a second of processor time.
    pub requests_per_core_second: Option<f64>,
    /// Tokens passed on in a second of processor time.
    pub tokens_per_core_second: Option<f64>,
    /// Work done in a second of processor time, over that of the pass-through in the same round.
    pub of_pass_through: Option<Ratio>,
    /// Median latency.
    pub latency_p50: u64,
    /// 99 of 100 latencies lie below.
    pub latency_p99: u64,
    /// Median latency less that of the direct way, if requests came one at a time.
    pub added_p50: Option<i64>,
    /// The same for 99 of 100.
    pub added_p99: Option<i64>,
}

/// The results of one workload, by way.
pub(super) fn results(workload: Workload, rounds: &[Round]) -> Vec<BenchResult> {
    let direct = Sum::of(rounds, Way::Direct);
    Way::ALL
        .into_iter()
        .map(|way| {
            let sum = Sum::of(rounds, way);
            let mut result = sum.result(workload, way);
            result.of_pass_through = Ratio::of(ratios(rounds, way));
            if workload.is_alone() {
                result.added_p50 = Some(difference(sum.p50(), direct.p50()));
                result.added_p99 = Some(difference(sum.p99(), direct.p99()));
            }
            result
        })
        .collect()
}

/// Work in a second of processor time over that of the pass-through, for each round.
fn ratios(rounds: &[Round], way: Way) -> Vec<f64> {
    let rates = |round: &Round| {
        let own = round.get(&way)?.tokens_per_core_second()?;
        let pass_through = round.get(&Way::PassThrough)?.tokens_per_core_second()?;
        Some(own / pass_through)
    };
    rounds.iter().filter_map(rates).collect()
}

impl Asked {
    /// Answers have the same length, so requests are in the same proportion.
    fn tokens_per_core_second(&self) -> Option<f64> {
        let processor = self.processor?.as_secs_f64();
        (processor > 0.0).then(|| self.tokens / processor)
    }
}

/// All rounds of one way together.
struct Sum {
    answered: f64,
    failed: u64,
    tokens: f64,
    elapsed: Duration,
    processor: Option<Duration>,
    latency: Option<Histogram<u64>>,
}

impl Sum {
    fn of(rounds: &[Round], way: Way) -> Self {
        let asked = || rounds.iter().filter_map(|round| round.get(&way));
        Self {
            answered: asked().map(|asked| asked.answered as f64).sum(),
            failed: asked().map(|asked| asked.failed).sum(),
            tokens: asked().map(|asked| asked.tokens).sum(),
            elapsed: asked().map(|asked| asked.elapsed).sum(),
            processor: asked().map(|asked| asked.processor).sum(),
            latency: asked().fold(None, |sum, asked| merged(sum, &asked.latency)),
        }
    }

    fn p50(&self) -> u64 {
        self.quantile(0.5)
    }

    fn p99(&self) -> u64 {
        self.quantile(0.99)
    }

    fn quantile(&self, quantile: f64) -> u64 {
        let latency = self.latency.as_ref();
        latency.map_or(0, |latency| latency.value_at_quantile(quantile))
    }

    fn result(&self, workload: Workload, way: Way) -> BenchResult {
        let seconds = self.elapsed.as_secs_f64();
        let processor = self.processor.as_ref().map(Duration::as_secs_f64);
        BenchResult {
            workload: workload.name().to_owned(),
            way: way.name().to_owned(),
            requests_per_second: self.answered / seconds,
            tokens_per_second: self.tokens / seconds,
            failed: self.failed,
            core_share: processor.map(|processor| processor / seconds),
            requests_per_core_second: processor.map(|processor| self.answered / processor),
            tokens_per_core_second: processor.map(|processor| self.tokens / processor),
            of_pass_through: None,
            latency_p50: self.p50(),
            latency_p99: self.p99(),
            added_p50: None,
            added_p99: None,
        }
    }
}

/// Histograms of the same digits add up.
fn merged(sum: Option<Histogram<u64>>, one: &Histogram<u64>) -> Option<Histogram<u64>> {
    let Some(mut sum) = sum else {
        return Some(one.clone());
    };
    sum.add(one).ok()?;
    Some(sum)
}

fn difference(one: u64, other: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(one) - signed(other)
}

/// The results for people; latencies in microseconds.
pub fn table(results: &[BenchResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "answers",
        "way",
        "requests/s",
        "tokens/s",
        "failed",
        "of a core",
        "requests/core s",
        "tokens/core s",
        "of pass-through",
        "p50, us",
        "added",
        "p99, us",
        "added",
    ]);
    for result in results {
        table.add_row([
            result.workload.clone(),
            result.way.clone(),
            format!("{:.0}", result.requests_per_second),
            format!("{:.0}", result.tokens_per_second),
            result.failed.to_string(),
            or_blank(result.core_share, |share| format!("{share:.2}")),
            or_blank(result.requests_per_core_second, |rate| format!("{rate:.0}")),
            or_blank(result.tokens_per_core_second, |rate| format!("{rate:.0}")),
            or_blank(result.of_pass_through, |ratio| {
                format!("{:.2} ({:.2}-{:.2})", ratio.median, ratio.least, ratio.most)
            }),
            result.latency_p50.to_string(),
            or_blank(result.added_p50, |added| added.to_string()),
            result.latency_p99.to_string(),
            or_blank(result.added_p99, |added| added.to_string()),
        ]);
    }
    table
}

fn or_blank<T>(value: Option<T>, text: impl FnOnce(T) -> String) -> String {
    value.map(text).unwrap_or_default()
}
