//! Client accounts: what the configuration grants them, and how their callers prove who they are.

mod credential;
mod policy;

pub use credential::{Credential, Credentials};
pub use policy::AccountPolicy;
