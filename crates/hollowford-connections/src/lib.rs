//! Connections that others open to a process: how they are accepted, and how much they may make
//! the process keep.
//!
//! All listeners of a process share one [`Pool`]. It counts the connections and the bytes kept for
//! them against limits that follow from the instance's memory and descriptors. When there is no
//! room, it closes the connections that have kept the process waiting longest, so that a crowd of
//! slow clients doesn't keep others out.

mod accept;
mod body;
#[cfg(test)]
mod body_tests;
mod connection;
mod counts;
mod http;
mod limits;
mod pool;
#[cfg(test)]
mod pool_tests;
mod state;
mod stream;

pub use accept::{accept, bind};
pub use body::{ReadBodyError, read_body};
pub use connection::{Connection, NoRoom, RequestGuard, Reservation, WorkGuard};
pub use counts::Counts;
pub use http::{HttpLimits, serve_http};
pub use limits::{Limits, Listener};
pub use pool::Pool;
pub use stream::ConnectionStream;
