//! Ownership of partitions: a lease in the table, taken over by compare-and-set.

mod board;
mod hand_over;
mod keeper;
mod lease;
mod standstill;
mod takeover;
#[cfg(test)]
mod tests;

pub(crate) use board::{Board, follow};
pub(crate) use keeper::run;
pub(crate) use lease::OwnerLease;
pub(crate) use standstill::Standstill;
