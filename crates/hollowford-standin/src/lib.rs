//! Small stand-ins for the platform and the workers, for tests and `dev` only.
//!
//! Faults are switched on by a call. A worker records every start and stop that it
//! makes: that record, and not the scheduler's own view, is the judge in tests.

pub mod judge;
pub mod payload;
pub mod platform;
pub mod record;
pub mod worker;
