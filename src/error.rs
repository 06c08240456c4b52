//! Errors of commands and their exit codes.

use std::io;

use fulmarrill_document::{DocumentError, format_errors};
use fulmarrill_fleet::FleetError;
use fulmarrill_host::HostError;
use fulmarrill_http::HttpError;
use fulmarrill_measure::MeasureError;
use fulmarrill_objects::PlatformError;
use fulmarrill_standin::DatabaseError;
use thiserror::Error;

use crate::{EXIT_CONFLICT, EXIT_FAILED, EXIT_REFUSED};

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not valid as a settings file, an operators' document or a scenario.
    #[error("{path} is refused:\n{}", format_errors(faults).trim_end())]
    Refused {
        /// Path of the file.
        path: String,
        /// All faults of the file.
        faults: Vec<DocumentError>,
    },
    /// The document was changed by somebody else since it was read.
    #[error(
        "conflict: version {read} was read, the store holds version {held}; nothing was changed"
    )]
    Conflict {
        /// Version that the change was made from.
        read: u64,
        /// Version that the store holds.
        held: u64,
    },
    /// A check of a trace, a record, measured writes or a soak run failed.
    #[error("{0}")]
    CheckFailed(String),
    /// A host answered with an error or with something unexpected.
    #[error("{address}: {text}")]
    UnexpectedAnswer {
        /// Address that was called.
        address: String,
        /// Body of the answer, or what is wrong with it.
        text: String,
    },
    /// A host cannot be reached.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The platform cannot be reached.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object store of the users' platform cannot be read.
    #[error(transparent)]
    Store(#[from] fulmarrill_platform::ObjectError),
    /// A soak test cannot be run.
    #[error(transparent)]
    Soak(#[from] fulmarrill_soak::SoakError),
    /// A page cannot be drawn.
    #[error(transparent)]
    Plot(#[from] fulmarrill_plots::PlotError),
    /// A host cannot start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A host on the users' platform cannot start.
    #[error(transparent)]
    Process(#[from] fulmarrill_platform::ProcessError),
    /// A database stand-in cannot start.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// A fleet cannot start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A scenario cannot be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// Another operation of the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// Returns the exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::CheckFailed(_) => EXIT_REFUSED,
            Self::Conflict { .. } => EXIT_CONFLICT,
            _ => EXIT_FAILED,
        }
    }
}
