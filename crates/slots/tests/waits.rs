//! When waiting work is refused.

use std::time::{Duration, Instant};

use fulmarrill_schedule::{AdmissionRefusal, RankPolicy};
use fulmarrill_slots::SlotGate;
use smol::Timer;

/// Time that each earlier statement took.
const STATEMENT_TIME: Duration = Duration::from_millis(20);
/// Time from the start of each request to its deadline.
const TIME_LIMIT: Duration = Duration::from_millis(600);

/// Guards against refusals that come too late: in an overload, work that can no
/// longer finish must be refused while its caller still waits.
#[test]
fn work_that_cannot_finish_is_refused_before_its_deadline() {
    smol::block_on(async {
        let gate = SlotGate::new(vec![RankPolicy::new("reports", 0.0)], 1);
        for _ in 0..40 {
            let grant = gate.take(0, "", Instant::now() + TIME_LIMIT, false).await;
            Timer::after(STATEMENT_TIME).await;
            drop(grant.unwrap());
        }
        let far = Instant::now() + Duration::from_mins(1);
        let held = gate.take(0, "", far, false).await.unwrap();
        let deadline = Instant::now() + TIME_LIMIT;
        let refusal = gate.take(0, "", deadline, false).await.unwrap_err();
        assert!(matches!(refusal, AdmissionRefusal::TooLate(_)));
        assert!(Instant::now() < deadline, "refused after the deadline");
        drop(held);
    });
}

#[test]
fn waiting_work_is_refused_when_the_instance_stalls() {
    smol::block_on(async {
        let gate = SlotGate::new(vec![RankPolicy::new("reports", 0.0)], 1);
        let far = Instant::now() + Duration::from_mins(1);
        let held = gate.take(0, "", far, false).await.unwrap();
        let waiting = gate.take(0, "", far, false);
        let refusing = async {
            while gate.waiting() == 0 {
                Timer::after(Duration::from_millis(1)).await;
            }
            gate.refuse_waiting();
        };
        let (refused, ()) = futures_lite::future::zip(waiting, refusing).await;
        assert!(refused.is_err());
        drop(held);
        assert_eq!((gate.running(), gate.waiting()), (0, 0));
    });
}

/// A waiting task whose caller has gone away is dropped after its refusal was sent,
/// and before it read that.
#[test]
fn refusal_that_nobody_reads_frees_no_slot() {
    smol::block_on(async {
        let gate = SlotGate::new(vec![RankPolicy::new("reports", 0.0)], 1);
        let far = Instant::now() + Duration::from_mins(1);
        let held = gate.take(0, "", far, false).await.unwrap();
        let mut waiting = Box::pin(gate.take(0, "", far, false));
        assert!(
            futures_lite::future::poll_once(&mut waiting)
                .await
                .is_none()
        );
        gate.refuse_waiting();
        drop(waiting);
        assert_eq!(gate.running(), 1);
        drop(held);
        assert_eq!(gate.running(), 0);
    });
}

/// The same for a task that was granted the slot: it must be free again.
#[test]
fn grant_that_nobody_reads_frees_its_slot() {
    smol::block_on(async {
        let gate = SlotGate::new(vec![RankPolicy::new("reports", 0.0)], 1);
        let far = Instant::now() + Duration::from_mins(1);
        let held = gate.take(0, "", far, false).await.unwrap();
        let mut waiting = Box::pin(gate.take(0, "", far, false));
        assert!(
            futures_lite::future::poll_once(&mut waiting)
                .await
                .is_none()
        );
        drop(held);
        assert_eq!(gate.running(), 1);
        drop(waiting);
        assert_eq!(gate.running(), 0);
    });
}
