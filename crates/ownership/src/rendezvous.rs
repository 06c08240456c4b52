//! Rendezvous (highest-random-weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Weight of `host` for `key`, the same on every machine and in every build.
#[must_use]
pub fn rendezvous_weight(key: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Sorts the hosts by descending weight for `key`; the first is its owner.
///
/// The relative order of two hosts does not depend on the others, so the loss
/// of a host moves only the keys that it owned.
#[must_use]
pub fn rank_hosts<'a>(key: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted = Vec::new();
    for host in hosts {
        weighted.push((rendezvous_weight(key, host), host));
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, host)| host).collect()
}
