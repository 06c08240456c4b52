//! A self-contained HTML page with notes and plots.

use std::fmt::Write as _;

/// A page with a title, notes and a column of plots.
#[derive(Debug, Clone)]
pub struct PlotPage {
    title: String,
    notes: Vec<String>,
    plots: Vec<String>,
}

impl PlotPage {
    /// Creates a page without notes and plots.
    #[must_use]
    pub fn new(title: &str) -> Self {
        Self {
            title: title.to_owned(),
            notes: Vec::new(),
            plots: Vec::new(),
        }
    }

    /// Adds a paragraph of plain text above the plots.
    #[must_use]
    pub fn with_note(mut self, note: &str) -> Self {
        self.notes.push(note.to_owned());
        self
    }

    /// Adds a plot as SVG text, which is inserted unescaped.
    #[must_use]
    pub fn with_plot(mut self, svg: String) -> Self {
        self.plots.push(svg);
        self
    }

    /// Renders the page as HTML.
    #[must_use]
    pub fn render(&self) -> String {
        let title = escape(&self.title);
        let mut html = format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
             <title>{title}</title>\n<style>body{{font-family:sans-serif;margin:2em}}</style>\n\
             </head><body>\n<h1>{title}</h1>\n"
        );
        for note in &self.notes {
            // Writing to a string cannot fail.
            writeln!(html, "<p>{}</p>", escape(note)).ok();
        }
        for plot in &self.plots {
            writeln!(html, "<figure>{plot}</figure>").ok();
        }
        html.push_str("</body></html>\n");
        html
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
