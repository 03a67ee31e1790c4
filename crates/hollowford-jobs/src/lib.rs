//! The scheduling engine of one partition: which tasks run, where and when.
//!
//! A job has steps that may depend on earlier steps. A step has identical tasks, which may have
//! to run together as a gang. The engine does no I/O, reads no clock and starts no threads. The
//! owner of the partition passes it events with the time of each, executes the orders that it
//! returns, and writes the batches of rows that it produces.
//!
//! All times are readings of the store's steady clock, in milliseconds, so that an owner can
//! compare its own times with those that an earlier owner stored.

mod accounts;
mod advice;
mod advice_calls;
mod advice_selection;
mod answers;
mod audit;
mod batch;
mod candidate;
mod crashes;
mod dirty;
mod ends;
mod engine;
mod evacuate;
mod gang;
mod gang_advice_selection;
mod gone;
mod health;
#[cfg(test)]
mod health_tests;
mod held;
mod job;
mod jobs;
mod lease;
mod life;
mod listing;
mod lives;
mod note;
mod order;
mod pacing;
mod pass;
mod placement;
mod progress_rows;
mod queue;
mod recover;
mod reservation;
mod rows;
mod spec;
mod stall;
mod starts;
mod submit;
mod suspicion;
mod urgency;
mod view;
mod wait_causes;
mod worker;
mod workers;

pub use accounts::{Account, AccountUsage, NO_ACCOUNT};
pub use advice_calls::AdviceChannel;
pub use audit::Stuck;
pub use batch::{Batch, RowWrite};
pub use candidate::rack_label;
pub use engine::{Engine, Stats, TimeLimits};
pub use job::JobState;
pub use lease::LookAnswer;
pub use life::{Incarnation, WorkerLife};
pub use note::{GiveUp, LifeEnd, Note};
pub use order::{
    Advised, End, EndKind, Look, Order, Running, StartAnswer, WorkerCall, WorkerListing,
};
pub use queue::{AdviceCost, Queue};
pub use recover::Recovered;
pub use rows::{RowError, WorkerAddress, decode_spec, decode_workers, encode_spec, encode_workers};
pub use spec::{JobId, JobSpec, RawJob, RawStep, Schedule, SpecError, StepKey, StepSpec, TaskKey};
pub use submit::{CancelAnswer, SubmitAnswer};
pub use view::EngineView;
pub use wait_causes::{StepWait, WaitCause};
pub use worker::SLOWEST_CLOCK_PERCENT;
