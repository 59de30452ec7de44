//! Results as JSON lines, and those of experiments as a table.

use std::io::Write;

use anyhow::Result;
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use crate::experiment::RunResult;

/// How results are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// One JSON object a line.
    Json,
    /// A table for people.
    Table,
}

/// Writes results.
///
/// # Errors
/// Fails if they cannot be written.
pub fn write<T: Serialize>(
    results: &[T],
    output: Output,
    table: fn(&[T]) -> Table,
    to: &mut dyn Write,
) -> Result<()> {
    match output {
        Output::Json => {
            for result in results {
                writeln!(to, "{}", serde_json::to_string(result)?)?;
            }
        }
        Output::Table => writeln!(to, "{}", table(results))?,
    }
    Ok(())
}

/// Runs above which a table has a row for each of them, with the main measures only.
const COLUMNS_AT_MOST: usize = 8;

/// The results of experiments.
pub fn table(results: &[RunResult]) -> Table {
    if results.len() > COLUMNS_AT_MOST {
        row_for_each(results)
    } else {
        column_for_each(results)
    }
}

fn row_for_each(results: &[RunResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    let main: Vec<&(&str, Cell)> = ROWS
        .iter()
        .filter(|(label, _)| MAIN_ROWS.contains(label))
        .collect();
    let labels = main.iter().map(|(label, _)| (*label).to_owned());
    table.set_header(std::iter::once(String::new()).chain(labels));
    for result in results {
        let cells = main.iter().map(|(_, cell)| cell(result));
        table.add_row(std::iter::once(name(result).replace('\n', " ")).chain(cells));
    }
    table
}

fn column_for_each(results: &[RunResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    let names = results.iter().map(name);
    table.set_header(std::iter::once(String::new()).chain(names));
    for (label, cell) in ROWS {
        let cells = results.iter().map(cell);
        table.add_row(std::iter::once((*label).to_owned()).chain(cells));
    }
    table
}

fn name(result: &RunResult) -> String {
    if result.rule.is_weighted() {
        format!("{}\nw={}", result.rule.name(), result.weight)
    } else {
        result.rule.name().to_owned()
    }
}

type Cell = fn(&RunResult) -> String;

/// Labels of the measures shown of many runs.
const MAIN_ROWS: &[&str] = &[
    "cold starts",
    "cold start p99, s",
    "cold starts in all, s",
    "busy period start p99, s",
    "p99 / load time then",
    "idle accelerator hours",
    "loads done",
];

const ROWS: &[(&str, Cell)] = &[
    ("calls", |result| result.calls.to_string()),
    ("answered", |result| result.answered.to_string()),
    ("busy periods", |result| result.starts.to_string()),
    ("cold starts", |result| result.cold_starts.to_string()),
    ("cold starts unserved", |result| result.unserved.to_string()),
    ("cold start p50, s", |result| tenths(result.cold_p50)),
    ("cold start p95, s", |result| tenths(result.cold_p95)),
    ("cold start p99, s", |result| tenths(result.cold_p99)),
    ("cold start worst, s", |result| tenths(result.cold_worst)),
    ("cold starts in all, s", |result| tenths(result.cold_total)),
    ("busy period start p95, s", |result| {
        tenths(result.start_p95)
    }),
    ("busy period start p99, s", |result| {
        tenths(result.start_p99)
    }),
    ("p99 / load time", |result| hundredths(result.ratio_p99)),
    ("store not the limit", |result| result.unlimited.to_string()),
    ("p50 / load time then", |result| {
        hundredths(result.unlimited_ratio_p50)
    }),
    ("p99 / load time then", |result| {
        hundredths(result.unlimited_ratio_p99)
    }),
    ("idle accelerator hours", |result| {
        tenths(result.idle_accelerator_hours)
    }),
    ("loading accelerator hours", |result| {
        tenths(result.loading_accelerator_hours)
    }),
    ("loads decided", |result| result.loads_decided.to_string()),
    ("loads begun", |result| result.loads_begun.to_string()),
    ("loads done", |result| result.loads_done.to_string()),
    ("refusals by code", |result| {
        let refusals = result.refusals.iter();
        let refusals: Vec<String> = refusals
            .map(|(code, count)| format!("{code}: {count}"))
            .collect();
        refusals.join("\n")
    }),
    ("broken by faults", |result| result.broken.to_string()),
    ("first token p50, s", |result| {
        hundredths(result.first_token_p50)
    }),
    ("first token p95, s", |result| {
        hundredths(result.first_token_p95)
    }),
    ("between tokens p95, ms", |result| {
        result.between_tokens_p95_ms.to_string()
    }),
    ("most memory / size", |result| {
        hundredths(result.most_memory)
    }),
    ("memory refusals", |result| {
        result.memory_refusals.to_string()
    }),
    ("most replicas / allowed", |result| {
        hundredths(result.most_replicas)
    }),
    ("decisions", |result| result.decisions.to_string()),
    ("digest", |result| result.digest.chars().take(8).collect()),
];

fn tenths(value: f64) -> String {
    format!("{value:.1}")
}

fn hundredths(value: f64) -> String {
    format!("{value:.2}")
}
