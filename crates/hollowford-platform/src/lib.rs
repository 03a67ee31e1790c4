//! Clients of the platform: the transactional table, the object store, the instance list and the
//! links to workers. All of them use published protocols.

mod link;
pub mod rows;
mod store;

pub use link::{LinkError, Orders, Reports, WorkerClaim, attach};
pub use store::{Platform, StoreError, Txn, TxnResult};
