//! Which members watch which.

use fulmarrill_ownership::rendezvous_weight;

/// Watchers of a member in its own data centre.
const NEAR_WATCHERS: usize = 5;
/// Watchers of a member; those beyond the near ones are in other data centres, so that the loss
/// of a whole data centre is noticed.
const WATCHERS: usize = 8;

/// Name and location of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPlace<'a> {
    /// Name.
    pub name: &'a str,
    /// Data centre.
    pub data_centre: &'a str,
}

/// Place of `own` among the watchers of `watched`, zero for the first; `None` if it does not
/// watch it.
#[must_use]
pub fn watch_place<'a>(
    watched: MemberPlace<'_>,
    own: MemberPlace<'_>,
    members: impl Iterator<Item = MemberPlace<'a>>,
) -> Option<usize> {
    if own.name == watched.name {
        return None;
    }
    let is_near = |member: MemberPlace<'_>| member.data_centre == watched.data_centre;
    let weight = |name: &str| rendezvous_weight(watched.name, name);
    let own_rank = (weight(own.name), own.name);
    let (mut near_count, mut before) = (0, 0);
    for member in members {
        if member.name == watched.name || member.name == own.name {
            continue;
        }
        near_count += usize::from(is_near(member));
        let is_before = (weight(member.name), member.name) > own_rank;
        before += usize::from(is_before && is_near(member) == is_near(own));
    }
    if is_near(own) {
        return (before < NEAR_WATCHERS).then_some(before);
    }
    let place = near_count.min(NEAR_WATCHERS) + before;
    (place < WATCHERS).then_some(place)
}
