//! The duty that answers callers and operators.

mod auth;
mod operator;
mod results;
mod router;
mod scheduler;
mod status;

pub(crate) use operator::OperatorService;
pub(crate) use scheduler::SchedulerService;
