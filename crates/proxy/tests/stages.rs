//! Model check of the stages of a change of primary: hosts and instances that end, one of each for
//! good, orders that are lost or take effect late. From every state a healthy instance is
//! used again; with any way out taken away the search finds a state that is stuck. The table of the
//! stages stands in docs/design/stages-of-a-change.md.

#[path = "support/reachability.rs"]
mod reachability;

use reachability::{STUCK, StateChecks, search};
use rstest::rstest;

const HOSTS: usize = 2;
/// The first instance is the primary of term 1.
const INSTANCES: usize = 2;
const HOST_ENDS_MAX: u8 = 2;
const INSTANCE_ENDS_MAX: u8 = 2;
/// Terms that orders of a schedule may begin.
const TERM_MAX: u8 = 5;
/// Term up to which a schedule has room for the orders that would follow.
const JUDGED_TERM_MAX: u8 = 3;

/// A rule without which some state has no way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WayOut {
    /// Another host takes over the change of one that has ended or has run out of time.
    TakeOver,
    /// A host begins its own change anew that has run out of time.
    BeginAnew,
    /// The old primary is promoted if no other instance can be.
    OldPrimary,
    /// A record whose primary does not lead is a reason for a change.
    Superseded,
}

/// Stage of a change, as the host that makes it knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Reserved,
    Ended,
    Ordered(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DatabaseState {
    hosts_up: [bool; HOSTS],
    /// The host that never comes back.
    host_gone: Option<usize>,
    instances_up: [bool; INSTANCES],
    instance_gone: Option<usize>,
    /// Instance that leads by its own account, and its term.
    leader: Option<(usize, u8)>,
    term: u8,
    /// Record: primary, term and the host that is changing it.
    record: (usize, u8, Option<usize>),
    /// Change that a host is making.
    changing: Option<(usize, Stage)>,
    /// Orders that may take effect.
    orders: [bool; INSTANCES],
    host_ends: u8,
    instance_ends: u8,
}

/// Adds the state that follows by a change.
type PushState<'a> = &'a mut dyn FnMut(&dyn Fn(&mut DatabaseState));

impl DatabaseState {
    const fn new() -> Self {
        Self {
            hosts_up: [true; HOSTS],
            host_gone: None,
            instances_up: [true; INSTANCES],
            instance_gone: None,
            leader: Some((0, 1)),
            term: 1,
            record: (0, 1, None),
            changing: None,
            orders: [false; INSTANCES],
            host_ends: 0,
            instance_ends: 0,
        }
    }

    fn is_served(&self) -> bool {
        let (primary, term, changed_by) = self.record;
        let leads = self.leader == Some((primary, term)) && self.instances_up[primary];
        leads && changed_by.is_none() && self.hosts_up.contains(&true)
    }

    /// Whether the bounds leave room for the change that would follow.
    fn is_judged(&self) -> bool {
        self.term <= JUDGED_TERM_MAX
    }

    fn begin(&mut self, host: usize) {
        self.record.2 = Some(host);
        self.changing = Some((host, Stage::Reserved));
    }

    /// Whether there is a reason to change the primary.
    fn has_reason(&self, without: Option<WayOut>) -> bool {
        let (primary, term, _) = self.record;
        let leads = self.leader == Some((primary, term));
        !self.instances_up[primary] || (!leads && without != Some(WayOut::Superseded))
    }

    fn next_states(&self, without: Option<WayOut>) -> Vec<Self> {
        let mut states = Vec::new();
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut next = self.clone();
            change(&mut next);
            states.push(next);
        };
        for host in 0..HOSTS {
            if !self.hosts_up[host] {
                if self.host_gone != Some(host) {
                    push(&|next| next.hosts_up[host] = true);
                }
                if self.host_gone.is_none() {
                    push(&|next| next.host_gone = Some(host));
                }
                continue;
            }
            if self.host_ends < HOST_ENDS_MAX {
                push(&|next| {
                    next.host_ends += 1;
                    next.hosts_up[host] = false;
                    next.changing.take_if(|(changing, _)| *changing == host);
                });
            }
            let may_begin = self.changing.is_none()
                && match self.record.2 {
                    None => self.has_reason(without),
                    Some(other) if other == host => without != Some(WayOut::BeginAnew),
                    Some(_) => without != Some(WayOut::TakeOver),
                };
            if may_begin {
                push(&|next| next.begin(host));
            }
        }
        for instance in 0..INSTANCES {
            if self.instances_up[instance] {
                if self.instance_ends < INSTANCE_ENDS_MAX {
                    push(&|next| {
                        next.instance_ends += 1;
                        next.instances_up[instance] = false;
                    });
                }
                if self.orders[instance] && self.term < TERM_MAX {
                    push(&|next| {
                        next.orders[instance] = false;
                        next.term += 1;
                        next.leader = Some((instance, next.term));
                    });
                }
            } else if self.instance_gone != Some(instance) {
                push(&|next| next.instances_up[instance] = true);
                if self.instance_gone.is_none() {
                    push(&|next| next.instance_gone = Some(instance));
                }
            }
            if self.orders[instance] {
                push(&|next| next.orders[instance] = false);
            }
        }
        if let Some((host, stage)) = self.changing {
            // The change runs out of time; the record stays reserved.
            push(&|next| next.changing = None);
            self.push_stage(host, stage, without, &mut push);
        }
        states
    }

    fn push_stage(&self, host: usize, stage: Stage, without: Option<WayOut>, push: PushState<'_>) {
        let old = self.record.0;
        match stage {
            Stage::Reserved => push(&|next| {
                // The old primary steps down, or every lease on it expires.
                let leads = next.leader == Some((old, next.record.1));
                if leads && next.instances_up[old] {
                    next.leader = None;
                }
                next.changing = Some((host, Stage::Ended));
            }),
            Stage::Ended => {
                let mut others = (0..INSTANCES).filter(|other| *other != old);
                let other = others.find(|other| self.instances_up[*other]);
                let old_primary =
                    (self.instances_up[old] && without != Some(WayOut::OldPrimary)).then_some(old);
                if let Some(chosen) = other.or(old_primary) {
                    push(&|next| {
                        next.leader
                            .take_if(|(leader, term)| *leader == chosen && *term == next.record.1);
                        next.orders[chosen] = true;
                        next.changing = Some((host, Stage::Ordered(chosen)));
                    });
                }
            }
            Stage::Ordered(chosen) => {
                let leads = self.leader.filter(|(leader, term)| {
                    *leader == chosen && *term > self.record.1 && self.instances_up[chosen]
                });
                if let Some((_, term)) = leads {
                    push(&|next| {
                        next.record = (chosen, term, None);
                        next.changing = None;
                    });
                } else if !self.orders[chosen] {
                    push(&|next| next.changing = Some((host, Stage::Ended)));
                }
            }
        }
    }
}

fn fault_without(without: Option<WayOut>) -> Option<&'static str> {
    let checks = StateChecks {
        broken: |_| None,
        is_served: DatabaseState::is_served,
        is_judged: DatabaseState::is_judged,
    };
    search(
        DatabaseState::new(),
        |state| state.next_states(without),
        &checks,
    )
    .0
}

#[test]
fn a_healthy_instance_is_used_again_from_every_state() {
    assert_eq!(fault_without(None), None);
}

#[rstest]
#[case::take_over(WayOut::TakeOver)]
#[case::begin_anew(WayOut::BeginAnew)]
#[case::old_primary(WayOut::OldPrimary)]
#[case::superseded(WayOut::Superseded)]
fn search_finds_a_stuck_state_without_way_out(#[case] way: WayOut) {
    assert_eq!(fault_without(Some(way)), Some(STUCK));
}
