//! Measurements as a table.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

use super::limits::{Line, MEMORY_LIMIT, NETWORK_LIMIT, PROCESSOR_LIMIT, Usage};
use super::run::Measurement;
use super::shape::TARGET_DAEMONS;
use super::tally::{PURPOSES, ROLES, Role, SIDES};

/// One row for each size and role, and the lines through them.
pub fn summary(measurements: &[Measurement]) -> String {
    let mut table = new_table(&[
        "daemons", "role", "count", "% core", "highest", "MB", "highest", "KB/s", "highest", "fits",
    ]);
    for measurement in measurements {
        let size = measurement.plan.daemons.to_string();
        let fits = fits(&measurement.average);
        table.add_row(row(
            &size,
            "average",
            measurement.plan.daemons as usize,
            &measurement.average,
            None,
            &fits,
        ));
        for (role, measure) in &measurement.roles {
            let fits = self::fits(&measure.highest);
            table.add_row(row(
                &size,
                role_name(*role),
                measure.daemons,
                &measure.mean,
                Some(&measure.highest),
                &fits,
            ));
        }
    }
    table.add_row([
        "",
        "limit",
        "",
        &number(PROCESSOR_LIMIT),
        "",
        &number(MEMORY_LIMIT),
        "",
        &number(NETWORK_LIMIT),
        "",
        "",
    ]);
    table.to_string()
}

/// What the bytes and the processor time of one run went to.
pub fn details(measurement: &Measurement) -> String {
    let mut text = String::new();
    for (role, measure) in &measurement.roles {
        let mut table = new_table(&[
            "purpose or side",
            "sent/s",
            "received/s",
            "B/s sent",
            "B/s received",
            "% core",
        ]);
        for purpose in PURPOSES {
            let traffic = measure
                .by_purpose
                .get(&purpose)
                .copied()
                .unwrap_or_default();
            let time = measure.processor_by_purpose.get(&purpose).copied();
            table.add_row(traffic_row(&format!("{purpose:?}"), &traffic, time));
        }
        for side in SIDES {
            let traffic = measure.by_side.get(&side).copied().unwrap_or_default();
            table.add_row(traffic_row(&format!("with {side:?}"), &traffic, None));
        }
        let head = format!(
            "{} daemons, {} ({}):\n",
            measurement.plan.daemons,
            role_name(*role),
            measure.daemons
        );
        text += &head;
        text += &table.to_string();
        let admission = measure.admission_percent;
        let _ = writeln!(
            text,
            "\nadmission, no part of control: {admission:.3} % of a core\n"
        );
    }
    text
}

/// Lines through the figures of several sizes, and their values at the target.
pub fn lines(measurements: &[Measurement]) -> String {
    let mut table = new_table(&[
        "role",
        "figure",
        "slope for each 100 daemons",
        "at none",
        "at 640",
    ]);
    for role in ROLES {
        for (figure, points) in points(measurements, role) {
            if let Some(line) = Line::through(&points) {
                table.add_row([
                    role_name(role).to_owned(),
                    figure.to_owned(),
                    number(line.slope * 100.0),
                    number(line.offset),
                    number(line.at(f64::from(TARGET_DAEMONS))),
                ]);
            }
        }
    }
    table.to_string()
}

/// Mean figures of a role by size.
pub fn points(measurements: &[Measurement], role: Role) -> BTreeMap<&'static str, Vec<(f64, f64)>> {
    let mut points: BTreeMap<&'static str, Vec<(f64, f64)>> = BTreeMap::new();
    for measurement in measurements {
        let Some(measure) = measurement.roles.get(&role) else {
            continue;
        };
        let size = f64::from(measurement.plan.daemons);
        let mean = &measure.mean;
        let mut add = |figure, value| points.entry(figure).or_default().push((size, value));
        add("% core", mean.processor_percent);
        add("KB/s", mean.kilobytes_per_second);
        if let Some(memory) = mean.memory_megabytes {
            add("MB", memory);
        }
    }
    points
}

/// Name of a role in tables.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Member => "member, observer, gateway",
        Role::StandBy => "stand-by",
        Role::Coordinator => "coordinator",
    }
}

fn new_table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(head.to_vec());
    table
}

fn row(
    size: &str,
    role: &str,
    count: usize,
    mean: &Usage,
    highest: Option<&Usage>,
    fits: &str,
) -> Vec<String> {
    let memory = |usage: &Usage| usage.memory_megabytes.map_or("-".to_owned(), number);
    let of = |value: fn(&Usage) -> f64| highest.map_or(String::new(), |usage| number(value(usage)));
    vec![
        size.to_owned(),
        role.to_owned(),
        count.to_string(),
        number(mean.processor_percent),
        of(|usage| usage.processor_percent),
        memory(mean),
        highest.map_or(String::new(), memory),
        number(mean.kilobytes_per_second),
        of(|usage| usage.kilobytes_per_second),
        fits.to_owned(),
    ]
}

/// Names what does not fit.
fn fits(usage: &Usage) -> String {
    let verdict = usage.verdict();
    let mut over = Vec::new();
    if !verdict.processor {
        over.push("processor");
    }
    if verdict.memory == Some(false) {
        over.push("memory");
    }
    if !verdict.network {
        over.push("network");
    }
    if over.is_empty() {
        "yes".to_owned()
    } else {
        format!("no: {}", over.join(", "))
    }
}

fn traffic_row(name: &str, traffic: &super::run::Traffic, time: Option<f64>) -> Vec<String> {
    vec![
        name.to_owned(),
        number(traffic.sent_per_second),
        number(traffic.received_per_second),
        number(traffic.bytes_sent_per_second),
        number(traffic.bytes_received_per_second),
        time.map_or(String::new(), number),
    ]
}

/// Three digits that matter, whole numbers from a hundred on.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.3}")
    }
}
