//! `check`: validates an operators' document or a settings file.

use std::path::Path;

use fulmarrill_document::{HostSettings, OperatorDocument, parse_json};

use crate::commands::read_file;
use crate::error::CommandError;

/// Field that every settings file has and no operators' document has.
const SETTINGS_FIELD: &str = "host";

/// Validates a file and prints which kind of file it is.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let text = read_file(path)?;
    let refused = |faults| CommandError::Refused {
        path: path.display().to_string(),
        faults,
    };
    let value = parse_json(&text).map_err(refused)?;
    if value.get(SETTINGS_FIELD).is_some() {
        HostSettings::parse(&text).map_err(refused)?;
        println!("{}: a settings file without faults", path.display());
    } else {
        OperatorDocument::parse(&text).map_err(refused)?;
        println!("{}: an operators' document without faults", path.display());
    }
    Ok(())
}
