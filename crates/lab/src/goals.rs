//! How near each run comes to the goals: load times, the oracle's idle hours, and the baselines.

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use crate::experiment::{Rule, RunResult};

/// Cold-start time at the 99th percentile over the physical load time that is aimed at, at most.
pub const LOAD_RATIO_GOAL: f64 = 1.1;
/// Idle accelerator hours over the oracle's at the same tail that are aimed at, at most.
pub const IDLE_RATIO_GOAL: f64 = 1.3;

/// How one run stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Standing {
    /// What decided.
    pub rule: Rule,
    /// Weight of cold starts.
    pub weight: f64,
    /// Cold-start time at the 99th percentile over the physical load time, while the weight store was
    /// not the limit.
    pub load_ratio: f64,
    /// Idle accelerator hours over those of the oracle at the weight at which its busy periods start
    /// as late at the 99th percentile; none if the oracle's never start as early.
    pub idle_at_same_tail: Option<f64>,
    /// The same where the oracle's callers wait as long in all.
    pub idle_at_same_wait: Option<f64>,
    /// Baselines with fewer idle accelerator hours and an earlier start of busy periods at the 99th
    /// percentile.
    pub beaten_by: Vec<Rule>,
}

/// How each run of a weighted rule but the oracle stands, among the others of its experiment.
pub fn standings(results: &[RunResult]) -> Vec<Standing> {
    let judged = results
        .iter()
        .filter(|result| result.rule.is_weighted() && result.rule != Rule::Oracle);
    judged.map(|result| standing(result, results)).collect()
}

fn standing(result: &RunResult, results: &[RunResult]) -> Standing {
    let ratio = |measure: fn(&RunResult) -> f64| {
        let oracle = oracle_idle_at(results, measure, measure(result))?;
        (oracle > 0.0).then_some(result.idle_accelerator_hours / oracle)
    };
    let beats = |other: &&RunResult| {
        !other.rule.is_weighted()
            && other.idle_accelerator_hours < result.idle_accelerator_hours
            && other.start_p99 < result.start_p99
    };
    Standing {
        rule: result.rule,
        weight: result.weight,
        load_ratio: result.unlimited_ratio_p99,
        idle_at_same_tail: ratio(|result| result.start_p99),
        idle_at_same_wait: ratio(|result| result.cold_total),
        beaten_by: results
            .iter()
            .filter(beats)
            .map(|other| other.rule)
            .collect(),
    }
}

/// The fewest idle accelerator hours with which the oracle, between its runs, gets a measure down to
/// some value.
fn oracle_idle_at(
    results: &[RunResult],
    measure: fn(&RunResult) -> f64,
    value: f64,
) -> Option<f64> {
    let oracle = results.iter().filter(|result| result.rule == Rule::Oracle);
    let mut curve: Vec<(f64, f64)> = oracle
        .map(|result| (result.idle_accelerator_hours, measure(result)))
        .collect();
    curve.sort_by(|one, other| one.0.total_cmp(&other.0));
    let first = curve.first()?;
    if first.1 <= value {
        return Some(first.0);
    }
    let crossing = curve.windows(2).find(|pair| pair[1].1 <= value)?;
    let [(idle_before, before), (idle_after, after)] = [crossing[0], crossing[1]];
    let way = (before - value) / (before - after);
    Some(idle_before + way * (idle_after - idle_before))
}

/// Standings as a table, a row for each run.
pub fn table(standings: &[Standing]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "rule".to_owned(),
        "weight".to_owned(),
        format!("p99 / load time (goal {LOAD_RATIO_GOAL})"),
        format!("idle / oracle at same tail (goal {IDLE_RATIO_GOAL})"),
        "idle / oracle at same wait".to_owned(),
        "beaten in both by".to_owned(),
    ]);
    for standing in standings {
        let beaten_by: Vec<&str> = standing.beaten_by.iter().map(|rule| rule.name()).collect();
        table.add_row([
            standing.rule.name().to_owned(),
            standing.weight.to_string(),
            format!("{:.2}", standing.load_ratio),
            ratio(standing.idle_at_same_tail),
            ratio(standing.idle_at_same_wait),
            beaten_by.join(", "),
        ]);
    }
    table
}

fn ratio(value: Option<f64>) -> String {
    value.map_or_else(|| "not reached".to_owned(), |value| format!("{value:.2}"))
}
