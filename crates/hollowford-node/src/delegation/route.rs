//! By which member a worker is reached.

use super::Delegate;
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A worker that doesn't answer so many calls in a row gets another member.
const MAX_UNANSWERED: u32 = 2;

/// How a worker is reached.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Route {
    /// Calls in a row that it has not answered.
    unanswered: u32,
    /// How many members are passed over for it.
    pub skipped_members: usize,
}

impl Route {
    /// Takes note of whether the worker has answered, and passes over its member once it has not
    /// twice.
    pub fn record(&mut self, answered: bool) {
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
        if self.unanswered == MAX_UNANSWERED {
            self.unanswered = 0;
            self.skipped_members += 1;
        }
    }
}

/// Picks the member for an address, after passing over so many: the one with the highest hash of
/// both, so that a member that comes or goes changes only its own share.
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
