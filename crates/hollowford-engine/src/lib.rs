//! The decisions of one partition: which task starts where, and when.
//!
//! The engine does no I/O, reads no clock and starts no thread. The owner of the
//! partition gives it events with a time, and carries out the actions that come
//! back. The same engine runs in the server, in tests and in benchmarks.
//!
//! Order of a start: the intent is appended to the ledger, the ledger reports it
//! durable, and only then is the start sent. A new owner that reads the ledger
//! therefore knows of every task that any worker may be running.

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
