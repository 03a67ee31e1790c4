//! The decisions about jobs: what runs where, and when.
//!
//! A job has steps that may depend on earlier ones; a step has equal tasks, which may have
//! to run together as a gang. The engine does no I/O, reads no clock and starts no thread:
//! the owner of the partition tells it what happened and at what time, carries out the
//! orders that come back, and writes the batches of rows that it asks for.
//!
//! Time is the store's steady clock in milliseconds, so that an owner can compare what an
//! earlier one wrote down.

mod accounts;
mod advice;
mod answer_timeouts;
mod asking;
mod audit;
mod batch;
mod choose;
mod crash_record;
mod crashes;
mod engine;
mod evacuate;
mod event;
mod gang;
mod gang_asking;
mod health;
#[cfg(test)]
mod health_tests;
mod held_task;
mod job;
mod jobs;
mod lease;
mod listing;
mod order;
mod pacing;
mod pass;
mod place;
mod progress_rows;
mod queue;
mod recover;
mod reserve;
mod rows;
mod seats;
mod spec;
mod stall;
mod starts;
mod submit;
mod task_ends;
mod urgency;
mod view;
mod waits;
mod worker;
mod worker_life;
mod worker_removal;
mod worker_restart;
mod workers;
mod write_queue;

pub use accounts::{Account, AccountUse, NO_ACCOUNT};
pub use audit::StuckTask;
pub use batch::{Batch, RowWrite};
pub use choose::rack_label;
pub use engine::{Bounds, Engine, Stats};
pub use event::{Event, GiveUpCause, WorkerExit};
pub use job::JobState;
pub use lease::LookAnswer;
pub use order::{
    End, EndKind, Look, Order, Running, StartAnswer, WorkerCall, WorkerListing, WorkerTickets,
};
pub use queue::{AdviceCost, Queue};
pub use recover::Recovered;
pub use rows::{RowError, WorkerAddress, decode_spec, decode_workers, encode_spec, encode_workers};
pub use seats::Seat;
pub use spec::{JobId, JobSpec, RawJob, RawStep, Schedule, SpecError, StepKey, StepSpec, TaskKey};
pub use submit::{CancelAnswer, SubmitAnswer};
pub use view::EngineView;
pub use waits::{StepWait, WaitCause};
pub use worker::MIN_CLOCK_RATE_PERCENT;
pub use worker_life::{Incarnation, WorkerLife};
