//! HTML pages with plots: stacked counts over time and bars of named values.
//!
//! A page shows when errors began, which outcomes callers saw meanwhile and which
//! disturbances were active at the time, in one file that any browser opens.
//!
//! ```
//! use std::time::Duration;
//! use fulmarrill_plots::{CountPlot, PlotPage, draw_counts};
//!
//! let plot = CountPlot::new("Reads", Duration::from_millis(500))
//!     .with_series("served", vec![40, 41, 12, 39])
//!     .with_mark(Duration::from_secs(1), Duration::from_millis(1500), "primary dies");
//! let page = PlotPage::new("A run").with_plot(draw_counts(&plot).unwrap());
//! assert!(page.render().contains("primary dies"));
//! ```

mod bars;
mod counts;
mod page;

use plotters::prelude::{DrawingAreaErrorKind, DrawingBackend, SVGBackend};
use thiserror::Error;

pub use crate::bars::{BarPlot, draw_bars};
pub use crate::counts::{CountPlot, draw_counts};
pub use crate::page::PlotPage;

/// Width and height of a plot in pixels; two plots below each other fit on a common
/// screen.
const PLOT_SIZE: (u32, u32) = (1000, 320);

/// Error of the drawing library.
type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// Why a plot cannot be drawn.
#[derive(Debug, Error)]
pub enum PlotError {
    /// The plot has no data.
    #[error("plot {0:?} has no data")]
    Empty(String),
    /// The drawing library reported an error.
    #[error("plot {title:?} cannot be drawn: {reason}")]
    Drawing {
        /// Title of the plot.
        title: String,
        /// The library's error message.
        reason: String,
    },
}

impl PlotError {
    fn drawing(title: &str, reason: &impl std::fmt::Display) -> Self {
        Self::Drawing {
            title: title.to_owned(),
            reason: reason.to_string(),
        }
    }
}
