//! A scheduler process: its components, each with a thread of its own, and the rings that
//! connect them.
//!
//! | component | thread | receives from | sends to |
//! | --- | --- | --- | --- |
//! | entry | `entry` | callers, by gRPC | decide, peers |
//! | decide | `decide` | its ring | ledger, workers |
//! | ledger | `ledger` | a ring for each partition | the store |
//! | ownership, configuration, lists | `watch` | the store | decide, workers |
//! | peer links | `peers` | its ring, other processes | decide |
//! | worker links | `workers` | its ring, workers | decide |
//! | metrics, health, state | `admin` | operators, by HTTP | |

mod accounts;
#[cfg(test)]
mod accounts_tests;
mod admin;
mod codec;
mod decide;
mod entry;
mod ledger;
mod members;
mod metrics;
mod owners;
#[cfg(test)]
mod owners_tests;
mod ownership;
mod peers;
mod process;
mod ring;
mod shared;
mod views;
mod watch;
mod workers;

pub use accounts::{hash_token, seed_account};
pub use entry::TlsError;
pub use process::{Addresses, Process, StartError};
pub use ring::Ring;
