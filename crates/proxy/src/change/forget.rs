//! Takes copies of a term out of its record that are no longer needed.

use std::time::{Duration, Instant};

use fulmarrill_position::DatabaseName;
use futures_util::future::join_all;
use smol::Timer;

use crate::catalogue::{CopyId, InstanceEntry, ObjectVersion, TermRecord};
use crate::change::REQUEST_TIMEOUT;
use crate::change::copies::is_covered_by_rest;
use crate::clock::BootTime;
use crate::codec::{DatabaseCommand, DatabaseRole, DatabaseStatus};
use crate::context::SharedContext;
use crate::control::ControlEvent;
use crate::port::ControlPort;
use crate::server::{ControlMessage, ControlSender};
use crate::view::TrafficView;

/// Time for replicas to receive what the primary had when it was asked.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests to the replicas.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of the write of the record.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Takes the copies `gone` out of a term record of this version, once the rest of its copies has
/// everything that the primary has. Otherwise changes nothing.
pub async fn forget_copies(
    context: &SharedContext,
    port: &ControlPort,
    control: &ControlSender,
    database: &DatabaseName,
    version: ObjectVersion,
    gone: &[CopyId],
) {
    let view = context.view.load();
    let held = view.terms.get(database);
    let Some(term) = held.filter(|term| term.version == version) else {
        return;
    };
    let mut record = term.record.clone();
    record.copies.retain(|copy| !gone.contains(copy));
    let limits = view.endpoints.as_ref();
    let limits = limits.and_then(|table| table.databases.get(database));
    let sync_replicas = limits.map_or(0, |limits| limits.sync_replicas);
    if !is_covered(context, &view, &record, sync_replicas).await {
        return;
    }
    let as_of = BootTime::now();
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let written = port.write_confirmed(&record, term.stored, deadline, || ());
    if let Some(version) = written.await {
        log::info!("{database}: {gone:?} hold nothing that the other copies lack");
        let event = ControlEvent::Term {
            as_of,
            record,
            version,
        };
        // Fails only while the process ends.
        control.send(ControlMessage::Event(event)).ok();
    }
}

/// Whether the copies that a record names have everything that its primary has.
async fn is_covered(
    context: &SharedContext,
    view: &TrafficView,
    record: &TermRecord,
    sync_replicas: usize,
) -> bool {
    let Some(primary) = view.instances.get(&record.primary) else {
        return false;
    };
    let Some(status) = ask(context, view, primary).await else {
        return false;
    };
    if status.role != DatabaseRole::Primary || status.term != record.term {
        return false;
    }
    let until = Instant::now() + CATCH_UP_TIMEOUT;
    while Instant::now() < until {
        let instances = view.instances_of(&record.database);
        let copies = instances.filter(|instance| record.copies.contains(&CopyId::from(*instance)));
        let answers = join_all(copies.map(|copy| ask(context, view, copy))).await;
        let received: Vec<_> = answers.into_iter().flatten().map(|s| s.received).collect();
        if is_covered_by_rest(status.received, &received, sync_replicas) {
            return true;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    false
}

async fn ask(
    context: &SharedContext,
    view: &TrafficView,
    instance: &InstanceEntry,
) -> Option<DatabaseStatus> {
    let owner = context.owners.owner(view, instance);
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let (_, answer) = owner.run_command(DatabaseCommand::Status, deadline).await?;
    context.owners.read_status(&answer)
}
