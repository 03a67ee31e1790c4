//! The scheduling engine of one partition: which tasks run, where and when.
//!
//! A job has steps that may depend on earlier steps. A step has identical tasks, which may have
//! to run together as a gang. The engine does no I/O, reads no clock and starts no threads. The
//! owner of the partition passes it events with the time of each, executes the orders that it
//! returns, and writes the batches of rows that it produces.
//!
//! All times are readings of the store's steady clock, in milliseconds, so that an owner can
//! compare its own times with those that an earlier owner stored.

mod account_shares;
mod accounts;
mod advice;
mod answer_timeouts;
mod audit;
#[cfg(test)]
mod audit_tests;
mod batch;
mod candidate;
mod copies;
mod crash_record;
mod crashes;
mod engine;
mod evacuate;
mod event;
mod features;
mod gang;
mod health;
#[cfg(test)]
mod health_tests;
mod held_task;
mod job;
mod job_rows;
mod jobs;
mod lease;
mod listing;
mod order;
mod pacing;
mod pass;
mod placement;
mod progress_rows;
#[cfg(test)]
mod progress_rows_tests;
mod progress_segments;
mod queue;
mod recover;
mod reservation;
mod row_division;
mod row_removal;
mod rows;
mod run_times;
mod settling;
mod shares;
mod spec;
mod stall;
mod starts;
mod stored_progress;
mod submit;
mod task_ends;
mod unlisted_ends;
mod unwritten_progress;
mod urgency;
mod view;
mod wait_causes;
mod worker;
mod worker_life;
mod worker_removal;
mod worker_restart;
mod worker_rows;
mod workers;
mod write_queue;

pub use account_shares::AccountShare;
pub use accounts::{Account, AccountUsage, NO_ACCOUNT};
pub use advice::AdviceChannel;
pub use audit::StuckTask;
pub use batch::{Batch, RowWrite};
pub use candidate::rack_label;
pub use copies::CopyCause;
pub use crash_record::RunStage;
pub use engine::{Engine, Stats, TimeLimits};
pub use event::{Event, GiveUpCause, WorkerExit};
pub use features::Features;
pub use job::JobState;
pub use lease::LookAnswer;
pub use order::{
    End, EndKind, Look, Order, Running, StartAnswer, WorkerCall, WorkerListing, WorkerTickets,
};
pub use progress_segments::RowLimits;
pub use queue::{AdviceCost, Queue};
pub use recover::Recovered;
pub use rows::{RowError, WorkerAddress, decode_spec, decode_workers, encode_spec, encode_workers};
pub use run_times::{LearnedQueue, LearnedRunTimes};
pub use spec::{JobId, JobSpec, RawJob, RawStep, Schedule, SpecError, StepKey, StepSpec, TaskKey};
pub use submit::{CancelAnswer, SubmitAnswer};
pub use view::EngineView;
pub use wait_causes::{StepWait, WaitCause};
pub use worker::MIN_CLOCK_RATE_PERCENT;
pub use worker_life::{Incarnation, WorkerLife};
