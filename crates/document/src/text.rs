//! Parses JSON with comments.

use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde_json::Value;

use crate::error::DocumentError;

/// Parses JSON with `//` and `/* */` comments and trailing commas.
///
/// # Errors
///
/// The first syntax error, with its line and column.
pub fn parse_json(text: &str) -> Result<Value, Vec<DocumentError>> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    match parse_to_serde_value::<Value>(text, &options) {
        Ok(value) => Ok(value),
        Err(error) => {
            let location = format!(
                "line {}, column {}",
                error.line_display(),
                error.column_display()
            );
            Err(vec![DocumentError::new(location, error.kind().to_string())])
        }
    }
}
