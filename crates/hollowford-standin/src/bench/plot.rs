//! Plots waiting times over the rate of starts.

use super::Step;
use crate::StandinError;
use plotters::prelude::*;
use std::path::Path;

/// A line of the plot: its label, its color, and its value for a step in milliseconds.
type Series = (&'static str, RGBColor, fn(&Step) -> u64);

const SIZE_PX: (u32, u32) = (800, 480);

/// Draws the steps into an SVG file.
///
/// # Errors
/// Returns an error if the file can't be written.
pub(super) fn draw(steps: &[Step], path: &Path) -> Result<(), StandinError> {
    draw_chart(steps, path).map_err(|e| StandinError::Bench(e.to_string()))
}

fn draw_chart(steps: &[Step], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let max_rate = steps.iter().map(|s| s.rate as f64).fold(1.0, f64::max);
    let max_latency = |s: &Step| s.check_call_p99.max(s.batch_wait_p99) as f64;
    let max_ms = steps.iter().map(max_latency).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_rate, 0.0..max_ms)?;
    chart.configure_mesh().x_desc("starts asked for a second").y_desc("ms").draw()?;
    let series: [Series; 3] = [
        ("check, acceptance to start, p99", RED, |s| s.check_wait_p99),
        ("check, call to answer less run time, p99", BLUE, |s| s.check_call_p99),
        ("batch, acceptance to first start, p99", GREEN, |s| s.batch_wait_p99),
    ];
    for (name, color, value) in series {
        let points = steps.iter().map(|s| (s.rate as f64, value(s) as f64));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
