//! Pages with plots of counts over time and of figures beside each other.
//!
//! Whoever looks for the cause of a bad minute sees first when it began, what
//! callers were told meanwhile, and what was disturbed at the time. These pages
//! show that in one file that any browser opens.
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

/// Width and height of a plot, in pixels: two of them fill a usual screen.
const PLOT_SIZE: (u32, u32) = (1000, 320);

/// What the drawing library says when it gives up.
type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// A plot that cannot be drawn.
#[derive(Debug, Error)]
pub enum PlotError {
    /// It has nothing to show.
    #[error("plot {0:?} has nothing to show")]
    Empty(String),
    /// The drawing library gave up.
    #[error("plot {title:?} cannot be drawn: {reason}")]
    Drawing {
        /// The plot.
        title: String,
        /// What the library said.
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
