//! Client accounts: their quotas, shares and guaranteed job rates, and the authentication of their
//! callers.

mod allowance;
mod credential;
mod policy;

pub use allowance::Allowance;
pub use credential::{Credential, Credentials};
pub use policy::AccountPolicy;
