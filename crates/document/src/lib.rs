//! The operators' document, which defines ranks, places and services, and the
//! settings file of a host.
//!
//! ```
//! use fulmarrill_document::OperatorDocument;
//!
//! let text = r#"{
//!     // Most urgent rank first.
//!     "ranks": [{"name": "urgent", "floor_percent": 20, "deadline_ms": 2000}],
//!     "services": [{"name": "renewals", "rank": "urgnet"}],
//! }"#;
//! let errors = OperatorDocument::parse(text).unwrap_err();
//! assert_eq!(errors[0].path, "services[0].rank");
//! ```
//!
//! Both are JSON with comments. A text is either accepted as a whole or rejected
//! with all its errors, each with the path of the value.

mod error;
mod operators;
mod reader;
mod settings;
mod text;

pub use crate::error::{DocumentError, format_errors};
pub use crate::operators::{
    OperatorDocument, PlacePolicy, RankDefinition, RequestPolicy, ServicePolicy,
};
pub use crate::reader::ObjectReader;
pub use crate::settings::HostSettings;
pub use crate::text::parse_json;
