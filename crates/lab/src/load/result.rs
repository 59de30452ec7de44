//! What a load run gave.

use std::collections::BTreeMap;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use crate::client::{Answer, Ending};
use crate::simulation::Times;

/// Name of the row that counts all models.
const ALL: &str = "all";

/// Times in milliseconds, from when each request was due.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// The model, or `all`.
    pub model: String,
    /// Requests that were due.
    pub due: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused or failed, by result code; 0 if there was none.
    pub refused: BTreeMap<u64, u64>,
    /// Broken off or not connected.
    pub broken: u64,
    /// Due and not sent, because too many were outstanding.
    pub not_sent: u64,
    /// Requests answered a second.
    pub answered_per_second: f64,
    /// Tokens received a second.
    pub tokens_per_second: f64,
    /// To the first token.
    pub first_token_p50: u64,
    /// To the first token.
    pub first_token_p95: u64,
    /// To the first token.
    pub first_token_p99: u64,
    /// To the first token.
    pub first_token_worst: u64,
    /// Between tokens.
    pub between_tokens_p95: u64,
    /// To the end of the answer.
    pub took_p50: u64,
    /// To the end of the answer.
    pub took_p99: u64,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    due: u64,
    answered: u64,
    refused: BTreeMap<u64, u64>,
    broken: u64,
    not_sent: u64,
    tokens: u64,
    first_token: Times,
    between_tokens: Times,
    took: Times,
}

/// Adds up answers.
#[derive(Clone, Debug)]
pub struct Tally {
    models: Vec<String>,
    counts: Vec<Counts>,
    all: Counts,
}

impl Tally {
    /// For these models.
    pub fn new(models: &[String]) -> Self {
        Self {
            models: models.to_vec(),
            counts: vec![Counts::default(); models.len()],
            all: Counts::default(),
        }
    }

    /// A request of a model was due and not sent.
    pub fn not_sent(&mut self, model: usize) {
        for counts in [&mut self.counts[model], &mut self.all] {
            counts.due += 1;
            counts.not_sent += 1;
        }
    }

    /// A request of a model has ended.
    pub fn ended(&mut self, model: usize, answer: &Answer) {
        self.counts[model].ended(answer);
        self.all.ended(answer);
    }

    /// All models together, then each.
    pub fn results(&self, elapsed: Duration) -> Vec<LoadResult> {
        let each = self.models.iter().zip(&self.counts);
        let all = std::iter::once((ALL, &self.all));
        all.chain(each.map(|(model, counts)| (model.as_str(), counts)))
            .map(|(model, counts)| counts.result(model, elapsed))
            .collect()
    }
}

impl Counts {
    fn ended(&mut self, answer: &Answer) {
        self.due += 1;
        self.tokens += answer.tokens;
        match &answer.ending {
            Ending::Answered => {
                self.answered += 1;
                self.took.record(answer.took);
            }
            Ending::Coded(code) => *self.refused.entry(*code).or_default() += 1,
            Ending::Broken(_) => self.broken += 1,
        }
        if let Some(first_token) = answer.first_token {
            self.first_token.record(first_token);
        }
        for gap in &answer.between_tokens {
            self.between_tokens.record(*gap);
        }
    }

    #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
    fn result(&self, model: &str, elapsed: Duration) -> LoadResult {
        let seconds = elapsed.as_secs_f64();
        LoadResult {
            model: model.to_owned(),
            due: self.due,
            answered: self.answered,
            refused: self.refused.clone(),
            broken: self.broken,
            not_sent: self.not_sent,
            answered_per_second: self.answered as f64 / seconds,
            tokens_per_second: self.tokens as f64 / seconds,
            first_token_p50: self.first_token.quantile(0.5),
            first_token_p95: self.first_token.quantile(0.95),
            first_token_p99: self.first_token.quantile(0.99),
            first_token_worst: self.first_token.worst(),
            between_tokens_p95: self.between_tokens.quantile(0.95),
            took_p50: self.took.quantile(0.5),
            took_p99: self.took.quantile(0.99),
        }
    }
}

/// Columns that a terminal is wide enough for.
const COLUMNS_AT_MOST: usize = 5;

/// The results for people: a column for each model, or a row if there are many.
pub fn table(results: &[LoadResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    if results.len() > COLUMNS_AT_MOST {
        add_row_for_each(&mut table, results);
    } else {
        add_column_for_each(&mut table, results);
    }
    table
}

fn add_row_for_each(table: &mut Table, results: &[LoadResult]) {
    let labels = ROWS.iter().map(|(label, _)| *label);
    table.set_header(std::iter::once("").chain(labels));
    for result in results {
        let cells = ROWS.iter().map(|(_, cell)| cell(result));
        table.add_row(std::iter::once(result.model.clone()).chain(cells));
    }
}

fn add_column_for_each(table: &mut Table, results: &[LoadResult]) {
    let models = results.iter().map(|result| result.model.as_str());
    table.set_header(std::iter::once("").chain(models));
    for (label, cell) in ROWS {
        let cells = results.iter().map(cell);
        table.add_row(std::iter::once((*label).to_owned()).chain(cells));
    }
}

type Cell = fn(&LoadResult) -> String;

const ROWS: &[(&str, Cell)] = &[
    ("due", |result| result.due.to_string()),
    ("answered", |result| result.answered.to_string()),
    ("refused, by code", refusals),
    ("broken", |result| result.broken.to_string()),
    ("not sent", |result| result.not_sent.to_string()),
    ("answers a second", |result| {
        format!("{:.1}", result.answered_per_second)
    }),
    ("tokens a second", |result| {
        format!("{:.0}", result.tokens_per_second)
    }),
    ("first token p50, ms", |result| {
        time(result, result.first_token_p50)
    }),
    ("first token p95, ms", |result| {
        time(result, result.first_token_p95)
    }),
    ("first token p99, ms", |result| {
        time(result, result.first_token_p99)
    }),
    ("first token worst, ms", |result| {
        time(result, result.first_token_worst)
    }),
    ("between tokens p95, ms", |result| {
        time(result, result.between_tokens_p95)
    }),
    ("whole answer p50, ms", |result| {
        time(result, result.took_p50)
    }),
    ("whole answer p99, ms", |result| {
        time(result, result.took_p99)
    }),
];

fn refusals(result: &LoadResult) -> String {
    if result.refused.is_empty() {
        return "0".to_owned();
    }
    let refused = result.refused.iter();
    let refused: Vec<String> = refused
        .map(|(code, count)| format!("{code}: {count}"))
        .collect();
    refused.join("\n")
}

/// A time in milliseconds. Without an answer there is none, which is not a time of 0.
fn time(result: &LoadResult, milliseconds: u64) -> String {
    if result.answered == 0 && milliseconds == 0 {
        return "-".to_owned();
    }
    milliseconds.to_string()
}
