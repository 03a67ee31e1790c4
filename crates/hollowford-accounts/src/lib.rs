//! Client accounts: what the configuration grants and owes them, and how their callers prove who
//! they are.

mod allowance;
mod credential;
mod policy;

pub use allowance::Allowance;
pub use credential::{Credential, Credentials};
pub use policy::AccountPolicy;
