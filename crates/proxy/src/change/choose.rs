//! Asks the instances of a database which one may be promoted.

use std::collections::BTreeSet;
use std::time::Instant;

use fulmarrill_position::{LogPoint, Term};
use futures_util::future::join_all;

use crate::catalogue::{CopyId, InstanceEntry};
use crate::change::PrimaryChange;
use crate::change::candidate::{ChangeCandidate, CommitBounds, choose_candidate};
use crate::codec::{DatabaseCommand, DatabaseRole, DatabaseStatus};
use crate::view::TrafficView;

impl PrimaryChange<'_> {
    /// The instance with the newest log among those that answer, if it may be
    /// promoted. If the old primary stepped down at `floor`, waits until
    /// `catch_up_until` for a replica that has received the log up to there.
    /// Otherwise pauses the replicas, so that they receive nothing more from terms
    /// before `term`. Sets `floor` if a primary steps down meanwhile.
    pub(super) async fn choose_instance(
        &self,
        term: Term,
        floor: &mut Option<LogPoint>,
        catch_up_until: Instant,
    ) -> Option<InstanceEntry> {
        let view = self.context.view.load();
        let database = &self.record.database;
        let limits = view.endpoints.as_ref()?.databases.get(database);
        let sync_replicas = limits.map_or(0, |limits| limits.sync_replicas);
        // A replica that is leaving counts for synchronous commits until it ends.
        let others: Vec<&InstanceEntry> = view
            .instances_of(database)
            .filter(|instance| instance.id != self.record.primary)
            .filter(|instance| sync_replicas > 0 || !instance.leaving)
            .collect();
        let mut copies: BTreeSet<CopyId> =
            others.iter().map(|other| CopyId::from(*other)).collect();
        if sync_replicas > 0 {
            copies.extend(self.record.copies.iter().cloned());
        }
        let replicas = copies.len();
        let is_floor_known = floor.is_some();
        let asking = others.into_iter().map(|instance| async move {
            // A replica that still receives from a primary that stepped down
            // must not be paused before it has the whole log.
            let command = if is_floor_known {
                DatabaseCommand::Status
            } else {
                DatabaseCommand::Pause(term)
            };
            let status = self.command(instance, command).await.status()?;
            // The old primary may have restarted under a new id.
            let (status, led) = self.end_lead(instance, status, term).await?;
            Some((ChangeCandidate { instance, status }, led))
        });
        let mut candidates = Vec::new();
        for (candidate, led) in join_all(asking).await.into_iter().flatten() {
            if led == Some(self.record.term) {
                floor.get_or_insert(candidate.status.received);
            }
            candidates.push(candidate);
        }
        let bounds = CommitBounds {
            floor: *floor,
            replicas,
            sync_replicas,
        };
        let may_wait = is_floor_known && Instant::now() < catch_up_until;
        if may_wait {
            candidates.retain(|candidate| !candidate.instance.leaving);
        }
        if let Some(chosen) = choose_candidate(&candidates)
            && bounds.allow(chosen, candidates.len(), may_wait)
        {
            return Some(chosen.instance.clone());
        }
        if may_wait {
            return None;
        }
        self.choose_old_primary(&view, term, floor, &candidates)
            .await
    }

    /// Tells an instance that leads a term before `term` to step down, since the platform
    /// promotes replicas only. Returns its status, and the term that it led.
    async fn end_lead(
        &self,
        instance: &InstanceEntry,
        status: DatabaseStatus,
        term: Term,
    ) -> Option<(DatabaseStatus, Option<Term>)> {
        if status.role != DatabaseRole::Primary || status.term >= term {
            return Some((status, None));
        }
        let answer = self.command(instance, DatabaseCommand::StepDown(term));
        Some((answer.await.status()?, Some(status.term)))
    }

    /// The old primary, if it answers again, is not leaving, and has as much as every
    /// candidate. It has every commit of its term, and no host uses that term any more.
    async fn choose_old_primary(
        &self,
        view: &TrafficView,
        term: Term,
        floor: &mut Option<LogPoint>,
        candidates: &[ChangeCandidate<'_>],
    ) -> Option<InstanceEntry> {
        let instance = view.instances.get(&self.record.primary)?;
        if instance.leaving {
            return None;
        }
        let status = self.command(instance, DatabaseCommand::Status).await;
        let (status, led) = self.end_lead(instance, status.status()?, term).await?;
        if led == Some(self.record.term) {
            floor.get_or_insert(status.received);
        }
        let mut received = candidates.iter().map(|other| other.status.received);
        let is_newest = received.all(|other| status.received >= other);
        is_newest.then(|| instance.clone())
    }
}
