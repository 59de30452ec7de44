//! `flaxward explain`: the story of one request, from the logs of all daemons.

use std::collections::BTreeSet;
use std::path::PathBuf;

use anyhow::Context;

/// How long before the request what the daemons believed is told, in ms.
const BEFORE_MS: i64 = 3_000;
const DAY_MS: i64 = 24 * 60 * 60 * 1_000;

/// Events that concern every request of a daemon.
const GENERAL_EVENTS: [&str; 11] = [
    "started",
    "stopping",
    "stopped",
    "lease-acquired",
    "lease-lost",
    "coordinator-known",
    "configuration-applied",
    "configuration-rejected",
    "quota-limits",
    "dependency-lost",
    "dependency-regained",
];

/// Arguments of `flaxward explain`.
#[derive(Debug, clap::Args)]
pub struct ExplainArguments {
    /// Identity of the request.
    pub request: String,
    /// Files with the logs of the daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Reads the logs and prints the story.
///
/// # Errors
/// Fails if a file cannot be read or no line names the request.
pub fn run(arguments: &ExplainArguments) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for path in &arguments.logs {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("{} cannot be read", path.display()))?;
        lines.extend(text.lines().map(str::to_owned));
    }
    let story = story(&lines, &arguments.request);
    anyhow::ensure!(
        !story.is_empty(),
        "no line names the request {}",
        arguments.request
    );
    for line in story {
        println!("{line}");
    }
    Ok(())
}

/// One line of a log.
struct Line<'a> {
    text: &'a str,
    time_ms: i64,
}

impl Line<'_> {
    fn field(&self, name: &str) -> Option<&str> {
        self.text.split(' ').find_map(|part| {
            let (found, value) = part.split_once('=')?;
            (found == name).then_some(value)
        })
    }

    fn is_general(&self) -> bool {
        self.field("event")
            .is_some_and(|event| GENERAL_EVENTS.contains(&event))
    }
}

/// The lines that tell of a request, of the runners and units that it met, and of what every daemon
/// believed meanwhile, in the order of time.
pub fn story(lines: &[String], request: &str) -> Vec<String> {
    let mut parsed: Vec<Line<'_>> = lines.iter().filter_map(|line| parse(line)).collect();
    parsed.sort_by_key(|line| line.time_ms);
    let of_request = |line: &&Line<'_>| line.field("request") == Some(request);
    let own: Vec<&Line<'_>> = parsed.iter().filter(of_request).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let held = last.field("after_ms").and_then(|text| text.parse().ok());
    let from = first.time_ms.min(last.time_ms - held.unwrap_or(0)) - BEFORE_MS;
    let to = last.time_ms;
    let met: BTreeSet<&str> = own
        .iter()
        .flat_map(|line| {
            [
                line.field("runner"),
                line.field("unit"),
                unit_of_reason(line),
            ]
        })
        .flatten()
        .collect();
    let concerns = |line: &&Line<'_>| {
        let other = line.field("request").is_some_and(|id| id != request);
        let is_met = |name: &str| {
            line.field(name)
                .is_some_and(|value| is_same_model(&met, value))
        };
        let is_in_time = (from..=to).contains(&line.time_ms);
        is_in_time
            && !other
            && (of_request(line) || line.is_general() || is_met("runner") || is_met("unit"))
    };
    parsed
        .iter()
        .filter(concerns)
        .map(|line| line.text.to_owned())
        .collect()
}

/// The unit that the reason of a refusal begins with.
fn unit_of_reason<'a>(line: &'a Line<'_>) -> Option<&'a str> {
    let value = line.field("reason")?.trim_start_matches('"');
    value.contains('/').then_some(value)
}

/// Whether a name was met, or is that of the model of an adapter which was.
fn is_same_model(met: &BTreeSet<&str>, value: &str) -> bool {
    met.iter().any(|name| {
        *name == value
            || name
                .strip_prefix(value)
                .is_some_and(|rest| rest.starts_with('/'))
    })
}

/// A line with a time; whatever stands before it, such as a machine's name, is kept.
fn parse(text: &str) -> Option<Line<'_>> {
    let at = text.find("time=")? + "time=".len();
    let clock = text[at..].split(' ').next()?.split_once('T')?.1;
    let number = |range: std::ops::Range<usize>| clock.get(range)?.parse::<i64>().ok();
    let seconds = (number(0..2)? * 60 + number(3..5)?) * 60 + number(6..8)?;
    let time_ms = (seconds * 1_000 + number(9..12)?) % DAY_MS;
    Some(Line { text, time_ms })
}
