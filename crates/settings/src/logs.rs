//! The log: lines of `key=value` fields on standard error. Counters are written first and at
//! intervals; any other line tells a change of state.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Name of the event of a line of counters.
const COUNTERS_EVENT: &str = "counters";

/// Sends the log of this process to standard error, from this level upward.
///
/// # Errors
/// Fails if the logging library cannot make its sink.
pub fn install(level: Level) -> Result<(), spdlog::Error> {
    let layout = pattern!(
        "time={year}-{month}-{day}T{time}.{millisecond}{tz_offset} level={level} {payload}{eol}"
    );
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(PatternFormatter::new(layout))
        .build_arc()?;
    let logger: Arc<Logger> = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Lines that wait to be written at most; more are dropped.
const QUEUED_LINES: usize = 4_096;

/// Sends the log of this process to standard output, from this level upward, by a thread of its own:
/// whoever writes a line never waits, and a line that finds the queue full is dropped.
///
/// # Errors
/// Fails if the logging library cannot make its sink.
pub fn install_queued(level: Level) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(PatternFormatter::new(pattern!(
            "time={year}-{month}-{day}T{time}.{millisecond}{tz_offset} level={level} {payload}{eol}"
        )))
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(QUEUED_LINES).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {})
        .build_arc()?;
    let logger: Arc<Logger> = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes a change of state at the level `info`.
pub fn state_change(event: &str, fields: &[(&str, &dyn Display)]) {
    state_change_at(Level::Info, event, fields);
}

/// Writes a change of state at a level.
pub fn state_change_at(level: Level, event: &str, fields: &[(&str, &dyn Display)]) {
    spdlog::log!(level, "{}", line(event, fields));
}

/// The text of one line: `event=...` and then the fields in their order. A value with spaces,
/// quotes, equal signs or control characters, and an empty one, stands in quotes.
pub fn line(event: &str, fields: &[(&str, &dyn Display)]) -> String {
    let mut text = String::from("event=");
    push_value(&mut text, event);
    for (name, value) in fields {
        text.push(' ');
        text.push_str(name);
        text.push('=');
        push_value(&mut text, &value.to_string());
    }
    text
}

fn push_value(text: &mut String, value: &str) {
    let plain = |character: char| {
        !character.is_whitespace() && !character.is_control() && !"=\"\\".contains(character)
    };
    if !value.is_empty() && value.chars().all(plain) {
        text.push_str(value);
    } else {
        write!(text, "{value:?}").expect("a string can be written to");
    }
}

/// Makes the line of counters: the totals of those that have changed since the line before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountersLine {
    totals: BTreeMap<String, u64>,
}

impl CountersLine {
    /// The next line, or `None` if no counter has changed. A counter not seen before counts as
    /// changed unless it is zero.
    pub fn next<Name: AsRef<str>>(&mut self, counters: &[(Name, u64)]) -> Option<String> {
        let before = |name: &Name| self.totals.get(name.as_ref()).copied().unwrap_or(0);
        let changed: Vec<(&str, &dyn Display)> = counters
            .iter()
            .filter(|(name, total)| before(name) != *total)
            .map(|(name, total)| (name.as_ref(), total as &dyn Display))
            .collect();
        if changed.is_empty() {
            return None;
        }
        let text = line(COUNTERS_EVENT, &changed);
        let totals = counters
            .iter()
            .map(|(name, total)| (name.as_ref().to_owned(), *total));
        self.totals.extend(totals);
        Some(text)
    }

    /// Writes the next line, if there is one.
    pub fn write<Name: AsRef<str>>(&mut self, counters: &[(Name, u64)]) {
        if let Some(text) = self.next(counters) {
            spdlog::info!("{}", text);
        }
    }
}
