//! What control needs of the platform, as closures that an adapter supplies.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::DatabaseName;
use futures_lite::future::Boxed;
use smol::Timer;

use crate::catalogue::{HostName, InstanceId, ObjectVersion, TermRecord};

/// Time between two tries to settle a write whose answer was lost.
const SETTLE_INTERVAL: Duration = Duration::from_millis(150);

/// Outcome of one conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermWrite {
    /// The record was written as this version.
    Written(ObjectVersion),
    /// Somebody else was first.
    Conflict,
    /// The store refused and did nothing.
    Refused,
    /// No answer came; the write may still take effect.
    Unknown,
}

/// An order to the platform to make an instance the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromoteOrder {
    /// The database.
    pub database: DatabaseName,
    /// The instance that takes over.
    pub instance: InstanceId,
    /// Host that gives the order.
    pub holder: HostName,
    /// Number that rises with each change of the giver.
    pub fence: u64,
}

/// Outcome of an order to promote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteOutcome {
    /// The platform took it.
    Accepted,
    /// The instance cannot take over.
    Refused,
    /// No answer came.
    Unknown,
}

/// Writes a record on the condition of a version.
type WriteTerm = dyn Fn(TermRecord, ObjectVersion) -> Boxed<TermWrite> + Send + Sync;
/// Reads a record; the outer `None` says that no answer came.
type ReadTerm =
    dyn Fn(DatabaseName) -> Boxed<Option<Option<(TermRecord, ObjectVersion)>>> + Send + Sync;
/// Gives an order.
type GiveOrder = dyn Fn(PromoteOrder) -> Boxed<PromoteOutcome> + Send + Sync;

/// What control needs of the platform.
pub struct ControlPort {
    /// Writes a record.
    pub write_term: Box<WriteTerm>,
    /// Reads a record.
    pub read_term: Box<ReadTerm>,
    /// Gives an order.
    pub promote: Box<GiveOrder>,
}

impl std::fmt::Debug for ControlPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlPort").finish_non_exhaustive()
    }
}

impl ControlPort {
    /// Writes a record on the condition of a version, and settles a lost
    /// answer by reading the record back. `None` if somebody else was first,
    /// or if nothing could be settled before `deadline`. `on_failure` is called
    /// for each try that did not bring an answer to the question.
    pub async fn write_confirmed(
        &self,
        record: &TermRecord,
        if_version: ObjectVersion,
        deadline: Instant,
        mut on_failure: impl FnMut() + Send,
    ) -> Option<ObjectVersion> {
        loop {
            let unknown = match (self.write_term)(record.clone(), if_version).await {
                TermWrite::Written(version) => return Some(version),
                TermWrite::Refused => false,
                TermWrite::Conflict | TermWrite::Unknown => true,
            };
            if unknown && let Some(held) = (self.read_term)(record.database.clone()).await {
                match held {
                    Some((held, version)) if held == *record => return Some(version),
                    Some((_, version)) if version != if_version => return None,
                    _ => {}
                }
            }
            on_failure();
            if Instant::now() + SETTLE_INTERVAL >= deadline {
                let database: &CompactString = &record.database;
                log::warn!("{database}: the term could not be written before the deadline");
                return None;
            }
            Timer::after(SETTLE_INTERVAL).await;
        }
    }
}
