//! Maps refusals and unknown outcomes to PostgreSQL errors.

use fulmarrill_peer::NotRunReason;
use fulmarrill_pg::{ErrorReport, sqlstate};

/// `DETAIL` of a refusal after which the request may be sent again.
const DETAIL_NOT_RUN: &str = "not run: the request had no effect and may be sent again";
/// `DETAIL` of a refusal that sending again would not change.
const DETAIL_NOT_RUN_FINAL: &str = "not run: the request had no effect";
/// `DETAIL` of an unknown outcome.
const DETAIL_UNKNOWN: &str =
    "outcome unknown: the request may have run; look before sending it again, or use a request key";

/// The error for a request that did not run.
#[must_use]
pub fn not_run_report(reason: NotRunReason, message: &str) -> ErrorReport {
    let (code, again) = match reason {
        NotRunReason::NotOwner
        | NotRunReason::NotPrimary
        | NotRunReason::Behind
        | NotRunReason::Unavailable => (sqlstate::UNAVAILABLE, true),
        NotRunReason::Overload => (sqlstate::LIMIT_EXCEEDED, true),
        NotRunReason::Deadline => (sqlstate::CANCELED, true),
        NotRunReason::TransactionLost => (sqlstate::SERIALIZATION, true),
        NotRunReason::ReadOnly => (sqlstate::READ_ONLY, false),
        NotRunReason::KeyMismatch | NotRunReason::KeyRefused => {
            (sqlstate::INVALID_PARAMETER, false)
        }
    };
    let detail = if again {
        DETAIL_NOT_RUN
    } else {
        DETAIL_NOT_RUN_FINAL
    };
    ErrorReport::new(code, message).with_detail(detail)
}

/// The error for a request whose outcome is unknown.
#[must_use]
pub fn unknown_report(message: &str) -> ErrorReport {
    ErrorReport::new(sqlstate::OUTCOME_UNKNOWN, message).with_detail(DETAIL_UNKNOWN)
}
