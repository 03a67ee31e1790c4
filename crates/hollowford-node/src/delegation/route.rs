//! Choice of the member that calls a worker.

use super::Delegate;
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A worker that leaves this many consecutive calls unanswered is assigned to another member.
const MAX_UNANSWERED: u32 = 2;

/// The routing state of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Route {
    /// Number of consecutive unanswered calls.
    unanswered: u32,
    /// Number of members to skip in the worker's order of preference.
    pub skipped_members: usize,
}

impl Route {
    /// Records whether the worker answered. Skips the current member after [`MAX_UNANSWERED`]
    /// consecutive unanswered calls.
    pub fn record(&mut self, answered: bool) {
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
        if self.unanswered == MAX_UNANSWERED {
            self.unanswered = 0;
            self.skipped_members += 1;
        }
    }
}

/// Picks the member for an address by rendezvous hashing, after skipping `skipped_members` members.
/// A member that joins or leaves changes only its own share of the workers.
pub(super) fn pick_member<'a>(
    members: impl Iterator<Item = &'a Delegate>,
    address: &str,
    skipped_members: usize,
) -> Option<&'a Delegate> {
    let weight = |m: &Delegate| {
        let seed = xxh3_64(m.address.as_bytes());
        xxh3_64_with_seed(address.as_bytes(), seed)
    };
    if skipped_members == 0 {
        return members.max_by_key(|m| weight(m));
    }
    let mut all: Vec<_> = members.collect();
    all.sort_by_key(|m| Reverse(weight(m)));
    let index = skipped_members % all.len().max(1);
    all.into_iter().nth(index)
}
