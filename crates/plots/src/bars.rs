//! Bar plots of named values.

use plotters::prelude::*;

use crate::{DrawingError, PLOT_SIZE, PlotError};

/// Fill colour of the bars.
const BAR_COLOUR: RGBColor = RGBColor(60, 80, 160);
/// Width of a bar as a fraction of the distance between two bars.
const BAR_WIDTH: f64 = 0.7;

/// Named values of one unit, drawn as bars.
#[derive(Debug, Clone)]
pub struct BarPlot {
    title: String,
    unit: String,
    bars: Vec<(String, f64)>,
}

impl BarPlot {
    /// Creates a plot without bars; `unit` labels the value axis.
    #[must_use]
    pub fn new(title: &str, unit: &str) -> Self {
        Self {
            title: title.to_owned(),
            unit: unit.to_owned(),
            bars: Vec::new(),
        }
    }

    /// Adds a bar to the right of the others.
    #[must_use]
    pub fn with_bar(mut self, name: &str, value: f64) -> Self {
        self.bars.push((name.to_owned(), value));
        self
    }
}

/// Draws a bar plot as SVG.
///
/// # Errors
///
/// When the plot has no bars or the drawing library fails.
pub fn draw_bars(plot: &BarPlot) -> Result<String, PlotError> {
    if plot.bars.is_empty() {
        return Err(PlotError::Empty(plot.title.clone()));
    }
    let mut svg = String::new();
    draw(plot, &mut svg).map_err(|error| PlotError::drawing(&plot.title, &error))?;
    Ok(svg)
}

fn draw<'a>(plot: &BarPlot, svg: &'a mut String) -> Result<(), DrawingError<'a>> {
    let y_max = plot.bars.iter().map(|(_, value)| *value);
    let y_max = y_max.fold(f64::MIN_POSITIVE, f64::max) * 1.2;
    #[allow(clippy::cast_precision_loss)]
    let count = plot.bars.len() as f64;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(8)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..count, 0.0..y_max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc(&plot.unit)
        .draw()?;
    let mut left = 0.0;
    for (name, value) in &plot.bars {
        let corners = [(left, 0.0), (left + BAR_WIDTH, *value)];
        chart.draw_series([Rectangle::new(corners, BAR_COLOUR.filled())])?;
        let label = format!("{name}: {value:.1}");
        let label_position = (left, value + 0.04 * y_max);
        chart.draw_series([Text::new(label, label_position, ("sans-serif", 12))])?;
        left += 1.0;
    }
    area.present()
}
