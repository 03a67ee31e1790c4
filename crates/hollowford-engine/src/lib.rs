//! Scheduling decisions of one partition: which task starts on which worker, and when.
//!
//! The engine does no I/O, reads no clock and starts no thread. The owner of the
//! partition passes it events with a time and executes the actions that it returns.
//! The same engine runs in the server, in tests and in benchmarks.
//!
//! A start has three steps: an intent is appended to the ledger, the ledger reports
//! it as durable, and only then is the start sent to the worker. A new owner that
//! reads the ledger therefore knows every task that a worker may be running. The one
//! exception is described in `write_behind.rs`.

mod account;
mod claim;
mod durability;
mod engine;
mod event;
mod feasibility;
mod gang;
mod health;
mod placement;
mod policy;
mod preemption;
mod query;
mod recover;
mod reports;
mod request;
mod submit;
mod task_ends;
mod tick;
mod worker;
mod worker_choice;
mod write_behind;

pub use engine::{Authority, Engine, Stats};
pub use event::{
    Action, Change, ClaimReport, ClaimedTask, EndReport, FinalAnswer, Outcome, Record, TaskEnd,
    TaskResult, TaskUsage, WorkerListing,
};
pub use hollowford_accounts::AccountPolicy;
pub use policy::Policy;
pub use query::{AccountView, RequestView, WorkerView};
