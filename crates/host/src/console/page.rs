//! The operators' console: a single page whose forms edit the document.

/// The HTML of the page. It needs no build step and loads no other resource.
pub const PAGE: &str = include_str!("page.html");
