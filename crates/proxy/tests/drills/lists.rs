//! Configuration and lists: what hosts know of them when the store comes back from an
//! older copy and revisions are given out again.

use crate::explorer::StateModel;

/// A rule that the check takes out, one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListGuard {
    /// A configuration of a lower version is not applied.
    ConfigurationKept,
    /// A list of an earlier revision of the same era is not applied.
    OldRevisionIgnored,
    /// A list of an older era is not applied.
    OldEraIgnored,
    /// A list of a newer era replaces any of an older one, whatever its revision.
    NewEraApplied,
    /// A watch goes on only in the era of the list that it began from.
    WatchOfEra,
    /// An instance that was gone in an older era is used again only once its entry
    /// was written in the newer one.
    ReturnHeld,
    /// A list of a newer era without a host's entry is not its removal.
    EntryKept,
}

/// What the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ListContent {
    revision: u8,
    configuration: u8,
    /// Revision at which the configuration was written.
    configured_at: u8,
    /// Whether the instance is listed.
    is_listed: bool,
    /// Revision at which that was written or removed.
    listed_at: u8,
    /// Whether the entry of the hosts' runs is there.
    has_entry: bool,
    /// Revision at which it was written.
    entered_at: u8,
}

/// An answer of the store, or what a host passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct KnownList {
    era: u8,
    content: ListContent,
    /// Whether it says that an instance has gone that left for good.
    shows_left: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ListHost {
    known: KnownList,
    /// Revision of the first list that it applied in its era.
    first_revision: u8,
    configuration: u8,
    top_configuration: u8,
    uses_instance: bool,
    /// Era in which it found the instance gone.
    gone_in: Option<u8>,
    /// Whether it was told that the instance left for good.
    knows_left: bool,
    has_given_up: bool,
}

/// A state of the whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListState {
    era: u8,
    content: ListContent,
    copy: ListContent,
    /// Version that the operator wrote last.
    configuration: u8,
    is_alive: bool,
    expiries_left: u8,
    late_left: u8,
    copies_left: u8,
    hosts: Vec<ListHost>,
    late: Vec<(u8, KnownList)>,
    is_behind: bool,
}

/// One step; the numbers are indexes of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListStep {
    /// The operator writes a configuration, or the last one again.
    Configure,
    /// The instance leaves for good.
    Leave,
    /// The instance's entry expires.
    Expire,
    /// The instance, which is alive, writes its entry again.
    Return,
    /// The hosts' runs write their entry again.
    Register,
    /// The store takes a copy.
    Copy,
    /// The store comes back from its copy.
    Drill,
    /// A host lists.
    List(u8),
    /// As `List`; the answer is late.
    ListLate(u8),
    /// A host watches from the revision that it knows.
    Watch(u8),
    /// The second host learns what the first one knows.
    Tell(u8, u8),
    /// As `Tell`, late.
    TellLate(u8, u8),
    /// A late message arrives, by its index.
    Deliver(u8),
}

/// Bits of [`StateModel::reached`].
pub const RETURN_IN_NEW_ERA: u32 = 1;
pub const LEFT_IN_NEW_ERA: u32 = 2;
pub const CONFIGURED_IN_NEW_ERA: u32 = 4;

/// Bounds of the search, and the guard that is taken out.
#[derive(Debug, Clone)]
pub struct ListModel {
    /// Guard that is taken out.
    pub without: Option<ListGuard>,
    /// Number of hosts.
    pub hosts: u8,
    /// Number of drills.
    pub drills: u8,
    /// Number of copies that the store takes.
    pub copies: u8,
    /// Number of configurations.
    pub configurations: u8,
    /// Number of times that the entry of the instance expires.
    pub expiries: u8,
    /// Number of late messages.
    pub late: u8,
}

impl ListModel {
    fn has(&self, guard: ListGuard) -> bool {
        self.without != Some(guard)
    }

    /// The answer to a list, with what is known of the instance beside it.
    fn list(state: &ListState) -> KnownList {
        KnownList {
            era: state.era,
            content: state.content,
            shows_left: !state.is_alive && !state.content.is_listed,
        }
    }

    /// Whether a list replaces the one that a host has.
    fn replaces(&self, held: &KnownList, list: &KnownList) -> bool {
        let is_later = list.content.revision >= held.content.revision;
        if list.era < held.era {
            return is_later && !self.has(ListGuard::OldEraIgnored);
        }
        if list.era > held.era {
            return is_later || self.has(ListGuard::NewEraApplied);
        }
        is_later || !self.has(ListGuard::OldRevisionIgnored)
    }

    fn apply(&self, host: &mut ListHost, list: KnownList) {
        if !self.replaces(&host.known, &list) {
            return;
        }
        let (is_new_era, content) = (list.era != host.known.era, list.content);
        if is_new_era {
            host.first_revision = content.revision;
        }
        let configuration = host.configuration.max(content.configuration);
        host.configuration = if self.has(ListGuard::ConfigurationKept) {
            configuration
        } else {
            content.configuration
        };
        host.top_configuration = host.top_configuration.max(host.configuration);
        let was_written_since = content.listed_at > host.first_revision;
        let may_return = host.gone_in.is_none_or(|era| era == list.era)
            || was_written_since
            || !self.has(ListGuard::ReturnHeld);
        if !content.is_listed {
            if host.uses_instance {
                host.gone_in = Some(list.era);
            }
            host.uses_instance = false;
            host.knows_left |= list.shows_left;
        } else if may_return {
            host.gone_in = None;
            host.uses_instance = true;
        }
        if host.known.content.has_entry && !content.has_entry {
            host.has_given_up |= !is_new_era || !self.has(ListGuard::EntryKept);
        }
        host.known = list;
    }

    fn list_for(&self, state: &mut ListState, index: u8) {
        let list = Self::list(state);
        let host = &mut state.hosts[usize::from(index)];
        self.apply(host, list);
        state.is_behind |= host.known != list;
    }

    fn watch(&self, state: &mut ListState, index: u8) {
        let present = Self::list(state);
        let host = &mut state.hosts[usize::from(index)];
        let held = host.known;
        let is_other_era = held.era != present.era;
        let is_history_gone = held.content.revision > present.content.revision;
        if is_history_gone || is_other_era && self.has(ListGuard::WatchOfEra) {
            self.list_for(state, index);
            return;
        }
        let mut list = held;
        let since = held.content.revision;
        list.era = present.era;
        list.content.revision = present.content.revision;
        if present.content.configured_at > since {
            list.content.configuration = present.content.configuration;
            list.content.configured_at = present.content.configured_at;
        }
        if present.content.listed_at > since {
            list.content.is_listed = present.content.is_listed;
            list.content.listed_at = present.content.listed_at;
            list.shows_left = present.shows_left;
        }
        if present.content.entered_at > since {
            list.content.has_entry = present.content.has_entry;
            list.content.entered_at = present.content.entered_at;
        }
        self.apply(host, list);
        let (known, stored) = (&host.known.content, &present.content);
        state.is_behind |= known.is_listed != stored.is_listed
            || known.configuration != stored.configuration
            || known.has_entry != stored.has_entry;
    }
}

impl StateModel for ListModel {
    type State = ListState;
    type Step = ListStep;

    fn initial(&self) -> ListState {
        // The copy is from before the hosts registered.
        let copy = ListContent {
            revision: 2,
            configuration: 1,
            configured_at: 1,
            is_listed: true,
            listed_at: 2,
            has_entry: false,
            entered_at: 0,
        };
        let content = ListContent {
            revision: 3,
            has_entry: true,
            entered_at: 3,
            ..copy
        };
        let host = ListHost {
            known: KnownList {
                era: 0,
                content,
                shows_left: false,
            },
            first_revision: 0,
            configuration: 1,
            top_configuration: 1,
            uses_instance: true,
            gone_in: None,
            knows_left: false,
            has_given_up: false,
        };
        ListState {
            era: 0,
            content,
            copy,
            configuration: 1,
            is_alive: true,
            expiries_left: self.expiries,
            late_left: self.late,
            copies_left: self.copies,
            hosts: vec![host; usize::from(self.hosts)],
            late: Vec::new(),
            is_behind: false,
        }
    }

    fn steps(&self, state: &ListState) -> Vec<ListStep> {
        let content = &state.content;
        let mut steps = Vec::new();
        if content.configuration < state.configuration || state.configuration <= self.configurations
        {
            steps.push(ListStep::Configure);
        }
        if state.is_alive {
            steps.push(ListStep::Leave);
        }
        if content.is_listed && state.expiries_left > 0 {
            steps.push(ListStep::Expire);
        }
        if state.is_alive && !content.is_listed {
            steps.push(ListStep::Return);
        }
        if !content.has_entry {
            steps.push(ListStep::Register);
        }
        if state.era < self.drills {
            steps.push(ListStep::Drill);
            if state.copies_left > 0 && state.copy != state.content {
                steps.push(ListStep::Copy);
            }
        }
        for index in 0..self.hosts {
            steps.extend([ListStep::List(index), ListStep::Watch(index)]);
            if state.late_left > 0 {
                steps.push(ListStep::ListLate(index));
            }
            for other in 0..self.hosts {
                if other == index {
                    continue;
                }
                steps.push(ListStep::Tell(index, other));
                if state.late_left > 0 {
                    steps.push(ListStep::TellLate(index, other));
                }
            }
        }
        for (index, _) in state.late.iter().enumerate() {
            steps.push(ListStep::Deliver(u8::try_from(index).unwrap()));
        }
        steps
    }

    fn next(&self, state: &ListState, step: ListStep) -> ListState {
        let mut next = state.clone();
        let content = &mut next.content;
        match step {
            ListStep::Configure => {
                // What a drill has lost is written again before anything new.
                if content.configuration == next.configuration {
                    next.configuration += 1;
                }
                content.revision += 1;
                content.configuration = next.configuration;
                content.configured_at = content.revision;
            }
            ListStep::Leave | ListStep::Expire | ListStep::Return => {
                next.is_alive &= step != ListStep::Leave;
                if step == ListStep::Expire {
                    next.expiries_left -= 1;
                }
                let is_listed = step == ListStep::Return;
                if content.is_listed != is_listed {
                    content.revision += 1;
                    content.is_listed = is_listed;
                    content.listed_at = content.revision;
                }
            }
            ListStep::Register => {
                content.revision += 1;
                content.has_entry = true;
                content.entered_at = content.revision;
            }
            ListStep::Copy => {
                next.copies_left -= 1;
                next.copy = next.content;
            }
            ListStep::Drill => {
                next.era += 1;
                next.content = next.copy;
            }
            ListStep::List(index) => self.list_for(&mut next, index),
            ListStep::Watch(index) => self.watch(&mut next, index),
            ListStep::ListLate(index) => {
                next.late_left -= 1;
                let list = Self::list(&next);
                next.late.push((index, list));
            }
            ListStep::Tell(from, to) => {
                let known = next.hosts[usize::from(from)].known;
                self.apply(&mut next.hosts[usize::from(to)], known);
            }
            ListStep::TellLate(from, to) => {
                next.late_left -= 1;
                let known = next.hosts[usize::from(from)].known;
                next.late.push((to, known));
            }
            ListStep::Deliver(index) => {
                let (to, list) = next.late.remove(usize::from(index));
                self.apply(&mut next.hosts[usize::from(to)], list);
            }
        }
        next
    }

    fn violation(&self, state: &ListState) -> Option<&'static str> {
        if state.is_behind {
            return Some("a host was answered and does not have what the store holds");
        }
        for host in &state.hosts {
            if host.configuration < host.top_configuration {
                return Some("a host goes back to an older configuration");
            }
            if host.knows_left && host.uses_instance {
                return Some("a host uses an instance again that has left");
            }
            if host.has_given_up {
                return Some("a host gives up its terms though nobody removed its entry");
            }
        }
        None
    }

    fn reached(&self, state: &ListState) -> u32 {
        let mut reached = 0;
        for host in &state.hosts {
            if host.known.era == 0 {
                continue;
            }
            if host.uses_instance && host.known.content.listed_at > host.first_revision {
                reached |= RETURN_IN_NEW_ERA;
            }
            if host.knows_left {
                reached |= LEFT_IN_NEW_ERA;
            }
            if host.known.content.configuration > 1 {
                reached |= CONFIGURED_IN_NEW_ERA;
            }
        }
        reached
    }
}
