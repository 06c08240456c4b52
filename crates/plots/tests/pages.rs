//! Content of rendered pages and plots.

use std::time::Duration;

use fulmarrill_plots::{BarPlot, CountPlot, PlotError, PlotPage, draw_bars, draw_counts};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(500);

fn counts() -> CountPlot {
    CountPlot::new("Writes", STEP)
        .with_series("served", vec![4, 5, 0, 6])
        .with_series("refused", vec![0, 0, 7])
        .with_mark(STEP, 2 * STEP, "primary of d0 dies")
}

#[test]
fn plot_labels_its_series_and_marks() {
    let svg = draw_counts(&counts()).unwrap();
    for text in [
        "Writes",
        "served",
        "refused",
        "primary of d0 dies",
        "seconds",
    ] {
        assert!(svg.contains(text), "{text}");
    }
}

/// A series may be shorter than others, and a mark may extend beyond the last step.
#[test]
fn series_of_different_lengths_are_drawn() {
    let plot = counts().with_mark(3 * STEP, 100 * STEP, "late");
    assert!(draw_counts(&plot).unwrap().ends_with("</svg>\n"));
}

#[test]
fn bars_are_labelled_with_their_values() {
    let plot = BarPlot::new("Gaps", "ms")
        .with_bar("term 2", 812.4)
        .with_bar("term 3", 0.0);
    let svg = draw_bars(&plot).unwrap();
    assert!(svg.contains("term 2: 812.4"));
    assert!(svg.contains("term 3: 0.0"));
}

#[rstest]
#[case::counts(draw_counts(&CountPlot::new("Reads", STEP)))]
#[case::bars(draw_bars(&BarPlot::new("Reads", "ms")))]
fn plot_without_data_is_refused(#[case] drawn: Result<String, PlotError>) {
    assert!(matches!(drawn, Err(PlotError::Empty(title)) if title == "Reads"));
}

#[test]
fn title_and_notes_of_a_page_are_escaped() {
    let page = PlotPage::new("a < b")
        .with_note("<script>")
        .with_plot("<svg/>".to_owned());
    let html = page.render();
    assert!(html.contains("<h1>a &lt; b</h1>"));
    assert!(html.contains("<p>&lt;script&gt;</p>"));
    assert!(html.contains("<figure><svg/></figure>"));
}
