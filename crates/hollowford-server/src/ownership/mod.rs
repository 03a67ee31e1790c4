//! Ownership of partitions: a lease in the table, taken over by compare-and-set.

mod keeper;
mod lease;

pub(crate) use keeper::{follow, run};
pub(crate) use lease::OwnerLease;
