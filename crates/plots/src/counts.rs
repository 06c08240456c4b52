//! Stacked counts of outcomes over time, with disturbances marked.

use std::time::Duration;

use plotters::prelude::*;

use crate::{DrawingError, PLOT_SIZE, PlotError};

/// Colours of the series in their order; green, the first, is meant for successes.
const COLOURS: [RGBColor; 5] = [
    RGBColor(76, 153, 84),
    RGBColor(232, 190, 74),
    RGBColor(216, 117, 53),
    RGBColor(179, 45, 59),
    RGBColor(90, 90, 110),
];
/// Colour of the interval of a disturbance.
const MARK_COLOUR: RGBColor = RGBColor(60, 80, 160);
/// Heights of successive mark labels as fractions of the plot, so that labels of
/// simultaneous disturbances do not overlap.
const LABEL_HEIGHTS: [f64; 6] = [0.98, 0.90, 0.82, 0.74, 0.66, 0.58];

#[derive(Debug, Clone)]
struct CountSeries {
    name: String,
    counts: Vec<u64>,
}

#[derive(Debug, Clone)]
struct PlotMark {
    at: Duration,
    lasts: Duration,
    label: String,
}

/// Series of counts per time step, drawn stacked, and marked intervals.
#[derive(Debug, Clone)]
pub struct CountPlot {
    title: String,
    step: Duration,
    series: Vec<CountSeries>,
    marks: Vec<PlotMark>,
}

impl CountPlot {
    /// Creates a plot without series; each count covers one `step`.
    #[must_use]
    pub fn new(title: &str, step: Duration) -> Self {
        Self {
            title: title.to_owned(),
            step,
            series: Vec::new(),
            marks: Vec::new(),
        }
    }

    /// Adds a series, stacked above those added before it.
    #[must_use]
    pub fn with_series(mut self, name: &str, counts: Vec<u64>) -> Self {
        let name = name.to_owned();
        self.series.push(CountSeries { name, counts });
        self
    }

    /// Marks a disturbance that began at `at` and lasted for `lasts`.
    #[must_use]
    pub fn with_mark(mut self, at: Duration, lasts: Duration, label: &str) -> Self {
        let label = label.to_owned();
        self.marks.push(PlotMark { at, lasts, label });
        self
    }

    fn step_count(&self) -> usize {
        let lengths = self.series.iter().map(|series| series.counts.len());
        lengths.max().unwrap_or_default()
    }

    /// Returns the sum of the counts of a series and all series below it at a step.
    fn stacked_count(&self, series: usize, step: usize) -> f64 {
        let below = self.series.iter().take(series + 1);
        let counts = below.map(|series| series.counts.get(step).copied().unwrap_or_default());
        to_f64(counts.sum())
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Draws a plot of counts as SVG.
///
/// # Errors
///
/// When the plot has no counts or the drawing library fails.
pub fn draw_counts(plot: &CountPlot) -> Result<String, PlotError> {
    let steps = plot.step_count();
    if steps == 0 {
        return Err(PlotError::Empty(plot.title.clone()));
    }
    let mut svg = String::new();
    draw(plot, steps, &mut svg).map_err(|error| PlotError::drawing(&plot.title, &error))?;
    Ok(svg)
}

fn draw<'a>(plot: &CountPlot, steps: usize, svg: &'a mut String) -> Result<(), DrawingError<'a>> {
    let step = plot.step.as_secs_f64();
    let end = step * to_f64(steps as u64);
    let top = plot.series.len().saturating_sub(1);
    let y_max = (0..steps).map(|at| plot.stacked_count(top, at));
    let y_max = y_max.fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..y_max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds")
        .y_desc(format!("count per {} ms", plot.step.as_millis()))
        .draw()?;
    // The bars of each series reach down to zero. The top series is drawn first, so
    // that each lower one covers its part of the bars drawn before.
    for (index, series) in plot.series.iter().enumerate().rev() {
        let colour = COLOURS[index % COLOURS.len()];
        let bars = (0..steps).map(|at| {
            let left = step * to_f64(at as u64);
            let corners = [(left, 0.0), (left + step, plot.stacked_count(index, at))];
            Rectangle::new(corners, colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(&series.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    for (index, mark) in plot.marks.iter().enumerate() {
        let (from, until) = (mark.at.as_secs_f64(), (mark.at + mark.lasts).as_secs_f64());
        let corners = [(from, 0.0), (until.min(end), y_max)];
        let span = Rectangle::new(corners, MARK_COLOUR.mix(0.08).filled());
        chart.draw_series([span])?;
        let height = LABEL_HEIGHTS[index % LABEL_HEIGHTS.len()] * y_max;
        let style = ("sans-serif", 11).into_font().color(&MARK_COLOUR);
        chart.draw_series([Text::new(mark.label.clone(), (from, height), style)])?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()
}
