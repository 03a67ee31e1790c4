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
mod choose;
mod claim;
mod durable;
mod engine;
mod event;
mod feasible;
mod gang;
mod health;
mod lease;
mod place;
mod policy;
mod preempt;
mod query;
mod recover;
mod reports;
mod request;
mod settle;
mod submit;
mod unledgered;
mod worker;

pub use engine::{Authority, Engine, Stats};
pub use event::{
    Action, Change, ClaimReport, ClaimedTask, EndReport, FinalAnswer, Outcome, Record, TaskEnd,
    TaskResult, TaskUsage, WorkerListing,
};
pub use hollowford_accounts::AccountPolicy;
pub use policy::Policy;
pub use query::{AccountView, RequestView, WorkerView};
