//! Results as an SVG plot.

use std::ops::Range;

use plotters::prelude::*;

use crate::Error;
use crate::Metric;
use crate::Row;
use crate::Rule;
use crate::Summary;

/// The width of a plot, in pixels.
const WIDTH: u32 = 1_100;
/// The height of one scenario's panel, in pixels.
const PANEL: u32 = 150;

impl Summary {
    /// Draws one metric: a panel for each service and scenario, a bar for each rule with its range over the seeds.
    pub fn svg(&self, metric: Metric) -> Result<String, Error> {
        let panels = self.panels(metric);
        let mut text = String::new();
        if panels.is_empty() {
            return Err(Error::Missing("figures of this metric"));
        }
        let size = (WIDTH, PANEL * panels.len() as u32);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let areas = area.split_evenly((panels.len(), 1));
        for (rows, area) in panels.iter().zip(&areas) {
            panel(rows, metric, area)?;
        }
        area.present().map_err(plot_error)?;
        drop(areas);
        drop(area);
        Ok(text)
    }

    /// Rows with this metric, grouped by service and scenario.
    fn panels(&self, metric: Metric) -> Vec<Vec<&Row>> {
        let mut panels: Vec<Vec<&Row>> = Vec::new();
        for row in &self.rows {
            if row.figure(metric).is_none() {
                continue;
            }
            match panels.last_mut() {
                Some(panel) if panel[0].scenario == row.scenario && panel[0].service == row.service => panel.push(row),
                _ => panels.push(vec![row]),
            }
        }
        panels
    }
}

fn panel(
    rows: &[&Row],
    metric: Metric,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), Error> {
    const MARGIN: f64 = 1.1;
    let figure = |row: &&Row| row.figure(metric).copied();
    let figures: Vec<_> = rows.iter().filter_map(figure).collect();
    let top = figures
        .iter()
        .map(|figure| figure.max)
        .fold(f64::MIN_POSITIVE, f64::max)
        * MARGIN;
    let title = format!(
        "{} {} {}: {}",
        rows[0].deployment, rows[0].service, rows[0].scenario, metric
    );
    let across: Range<f64> = 0.0..rows.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 14))
        .margin(6)
        .x_label_area_size(20)
        .y_label_area_size(60)
        .build_cartesian_2d(across, 0.0..top)
        .map_err(plot_error)?;
    let label = |at: &f64| {
        rows.get(*at as usize)
            .map_or("", |row: &&Row| Rule::as_str(row.rule))
            .to_owned()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(rows.len())
        .x_label_formatter(&label)
        .y_labels(4)
        .draw()
        .map_err(plot_error)?;
    let bars = figures.iter().enumerate().map(|(index, figure)| {
        let left = index as f64 + 0.25;
        Rectangle::new([(left, 0.0), (left + 0.5, figure.median)], BLUE.mix(0.5).filled())
    });
    chart.draw_series(bars).map_err(plot_error)?;
    let ranges = figures.iter().enumerate().map(|(index, figure)| {
        let middle = index as f64 + 0.5;
        PathElement::new(vec![(middle, figure.min), (middle, figure.max)], BLACK)
    });
    chart.draw_series(ranges).map_err(plot_error)?;
    Ok(())
}

fn plot_error<E: std::error::Error>(error: E) -> Error {
    Error::Plot(error.to_string())
}
