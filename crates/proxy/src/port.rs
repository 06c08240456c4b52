//! The platform operations that control needs, as closures supplied by an
//! adapter.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::DatabaseName;
use futures_lite::future::Boxed;
use smol::Timer;

use crate::catalogue::{HostName, InstanceId, ObjectVersion, TermRecord};

/// Delay between two attempts of one conditional write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Outcome of one conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermWrite {
    /// The record was written with this version.
    Written(ObjectVersion),
    /// The stored record does not have the expected version.
    Conflict,
    /// The store refused the write and changed nothing.
    Refused,
    /// No answer arrived; the write may still take effect.
    Unknown,
}

/// An order to the platform to promote an instance to primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromoteOrder {
    /// Database whose primary is replaced.
    pub database: DatabaseName,
    /// Instance to promote.
    pub instance: InstanceId,
    /// Host that sends the order.
    pub holder: HostName,
    /// Fencing token, higher than that of every order before.
    pub fence: u64,
}

/// Outcome of an order to promote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform does not promote the instance.
    Refused,
    /// The platform received nothing of the order, or turned it away unread.
    NotSent,
    /// No conclusive answer arrived; the order may still take effect.
    Unknown,
}

/// Writes a record if the stored one still has the given version.
type WriteTerm = dyn Fn(TermRecord, ObjectVersion) -> Boxed<TermWrite> + Send + Sync;
/// Reads a record. The outer `None` means that no answer arrived, the inner one
/// that there is no record.
type ReadTerm =
    dyn Fn(DatabaseName) -> Boxed<Option<Option<(TermRecord, ObjectVersion)>>> + Send + Sync;
/// Sends a promotion order.
type PromoteInstance = dyn Fn(PromoteOrder) -> Boxed<PromoteOutcome> + Send + Sync;

/// The platform operations that control needs.
pub struct ControlPort {
    /// Writes a term record if the stored one still has the given version.
    pub write_term: Box<WriteTerm>,
    /// Reads a term record.
    pub read_term: Box<ReadTerm>,
    /// Sends a promotion order.
    pub promote: Box<PromoteInstance>,
}

impl std::fmt::Debug for ControlPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlPort").finish_non_exhaustive()
    }
}

impl ControlPort {
    /// Writes a record if the stored one still has `if_version`. After a
    /// conflict or a lost answer, reads the record back to find out whether the
    /// write took effect. Returns `None` if another writer was first, or if no
    /// write is confirmed before `deadline`. Calls `on_failure` after each attempt
    /// that was refused or whose outcome is still unknown.
    pub async fn write_confirmed(
        &self,
        record: &TermRecord,
        if_version: ObjectVersion,
        deadline: Instant,
        mut on_failure: impl FnMut() + Send,
    ) -> Option<ObjectVersion> {
        loop {
            let is_unresolved = match (self.write_term)(record.clone(), if_version).await {
                TermWrite::Written(version) => return Some(version),
                TermWrite::Refused => false,
                TermWrite::Conflict | TermWrite::Unknown => true,
            };
            if is_unresolved && let Some(held) = (self.read_term)(record.database.clone()).await {
                match held {
                    Some((held, version)) if held == *record => return Some(version),
                    Some((_, version)) if version != if_version => return None,
                    _ => {}
                }
            }
            on_failure();
            if Instant::now() + WRITE_RETRY_INTERVAL >= deadline {
                let database: &CompactString = &record.database;
                log::warn!(
                    "{database}: no write of the term record was confirmed before the deadline"
                );
                return None;
            }
            Timer::after(WRITE_RETRY_INTERVAL).await;
        }
    }
}
