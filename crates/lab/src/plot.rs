//! Plots of experiments as SVG.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::experiment::{Rule, RunResult};

const SIZE: (u32, u32) = (900, 640);
/// Room left above the largest value, as a factor.
const HEADROOM: f64 = 1.08;

/// Plots cold-start time against idle accelerator hours: a curve over the weights for each weighted
/// rule, a point for each other.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn curve(results: &[RunResult], file: &Path) -> Result<()> {
    draw(results, file).map_err(|error| anyhow!("{}: {error}", file.display()))
}

type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(results: &[RunResult], file: &Path) -> Drawn {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let halves = root.split_evenly((2, 1));
    let title = results.first().map_or_else(String::new, |result| {
        let RunResult {
            scenario,
            days,
            seed,
            ..
        } = result;
        format!("{scenario}: {days} days, seed {seed}")
    });
    panel(
        &halves[0],
        &title,
        "start of a busy period p99, s",
        results,
        |result| result.start_p99,
    )?;
    panel(&halves[1], "", "cold starts in all, s", results, |result| {
        result.cold_total
    })?;
    root.present()?;
    Ok(())
}

fn panel(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    title: &str,
    measure: &str,
    results: &[RunResult],
    value: fn(&RunResult) -> f64,
) -> Drawn {
    let largest = |of: fn(&RunResult) -> f64| {
        let most = results.iter().map(of).fold(0.0, f64::max);
        (most * HEADROOM).max(1.0)
    };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(
            0.0..largest(|result| result.idle_accelerator_hours),
            0.0..largest(value),
        )?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc(measure)
        .draw()?;
    for (position, rule) in Rule::ALL.into_iter().enumerate() {
        let color = Palette99::pick(position).to_rgba();
        let points: Vec<(f64, f64)> = results
            .iter()
            .filter(|result| result.rule == rule)
            .map(|result| (result.idle_accelerator_hours, value(result)))
            .collect();
        if rule.is_weighted() {
            chart.draw_series(LineSeries::new(points.clone(), color))?;
        }
        let dots = points
            .into_iter()
            .map(|point| Circle::new(point, 4, color.filled()));
        chart
            .draw_series(dots)?
            .label(rule.name())
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
