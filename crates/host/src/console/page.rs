//! The console of forms: one page, whose output is one document.

/// The page. It needs no build step and loads nothing from elsewhere.
pub const PAGE: &str = include_str!("page.html");
