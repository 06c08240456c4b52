//! Figures beside each other.

use plotters::prelude::*;

use crate::{DrawingError, PLOT_SIZE, PlotError};

/// Colour of bars.
const BAR_COLOUR: RGBColor = RGBColor(60, 80, 160);
/// Share of its place that a bar fills.
const BAR_WIDTH: f64 = 0.7;

/// Named figures of one unit.
#[derive(Debug, Clone)]
pub struct BarPlot {
    title: String,
    unit: String,
    bars: Vec<(String, f64)>,
}

impl BarPlot {
    /// A plot without bars.
    #[must_use]
    pub fn new(title: &str, unit: &str) -> Self {
        Self {
            title: title.to_owned(),
            unit: unit.to_owned(),
            bars: Vec::new(),
        }
    }

    /// Adds a bar to the right.
    #[must_use]
    pub fn with_bar(mut self, name: &str, figure: f64) -> Self {
        self.bars.push((name.to_owned(), figure));
        self
    }
}

/// Draws bars as SVG.
///
/// # Errors
///
/// When there is nothing to draw.
pub fn draw_bars(plot: &BarPlot) -> Result<String, PlotError> {
    if plot.bars.is_empty() {
        return Err(PlotError::Empty(plot.title.clone()));
    }
    let mut svg = String::new();
    draw(plot, &mut svg).map_err(|error| PlotError::drawing(&plot.title, &error))?;
    Ok(svg)
}

fn draw<'a>(plot: &BarPlot, svg: &'a mut String) -> Result<(), DrawingError<'a>> {
    let highest = plot.bars.iter().map(|(_, figure)| *figure);
    let highest = highest.fold(f64::MIN_POSITIVE, f64::max) * 1.2;
    #[allow(clippy::cast_precision_loss)]
    let count = plot.bars.len() as f64;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(8)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..count, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc(&plot.unit)
        .draw()?;
    let mut left = 0.0;
    for (name, figure) in &plot.bars {
        let corners = [(left, 0.0), (left + BAR_WIDTH, *figure)];
        chart.draw_series([Rectangle::new(corners, BAR_COLOUR.filled())])?;
        let label = format!("{name}: {figure:.1}");
        let place = (left, figure + 0.04 * highest);
        chart.draw_series([Text::new(label, place, ("sans-serif", 12))])?;
        left += 1.0;
    }
    area.present()
}
