//! Ownership of partitions by leases, which are rows in the store that change by compare-and-set.

mod hand_over;
mod lease;
mod lease_manager;
mod no_takeover_promise;
mod owner_rows;
mod takeover;
#[cfg(test)]
mod tests;

pub(crate) use lease::OwnerLease;
pub(crate) use lease_manager::run;
pub(crate) use no_takeover_promise::NoTakeoverPromise;
pub(crate) use owner_rows::{OwnerRows, follow_owner_rows};
