//! Errors of commands, each with its exit code.

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
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A file has faults.
    #[error("{path} is refused:\n{}", format_errors(faults).trim_end())]
    Refused {
        /// The file.
        path: String,
        /// Its faults.
        faults: Vec<DocumentError>,
    },
    /// Somebody else changed the document first.
    #[error("conflict: version {read} was read, version {held} is in force; nothing was changed")]
    Conflict {
        /// Version that was read.
        read: u64,
        /// Version that the store has.
        held: u64,
    },
    /// A trace or a record did not hold what it must.
    #[error("{0}")]
    Untrue(String),
    /// A host's answer is not what was expected.
    #[error("{address}: {text}")]
    Answer {
        /// Address of the host.
        address: String,
        /// What it said.
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
    /// A soak cannot be run.
    #[error(transparent)]
    Soak(#[from] fulmarrill_soak::SoakError),
    /// A page cannot be drawn.
    #[error(transparent)]
    Plot(#[from] fulmarrill_plots::PlotError),
    /// A host cannot start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A host on the platform cannot start.
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
    /// The system refused something else.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// The exit code of the program.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Untrue(_) => EXIT_REFUSED,
            Self::Conflict { .. } => EXIT_CONFLICT,
            _ => EXIT_FAILED,
        }
    }
}
