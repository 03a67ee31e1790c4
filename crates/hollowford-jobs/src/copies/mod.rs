//! Copies of stragglers: a second run of a task whose first run is unlikely to end soon.
//!
//! Only tasks of steps with `speculative` have copies. The first end as done counts, and the other
//! run is stopped; see `docs/design/task-copies.md`.

mod decision;
#[cfg(test)]
mod decision_tests;
mod start;

pub use decision::CopyCause;
