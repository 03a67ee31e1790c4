//! Data formats that cross process boundaries: the published schema, the messages between the
//! scheduler's processes and the records of the ledger.

mod checks;
mod frames;
pub mod ledger;
pub mod peer;

/// The published schema, generated from `proto/`.
#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
pub mod v1 {
    include!("generated/hollowford.v1.rs");
}

pub use checks::{check_label, check_request_id, spec_to_wire};
pub use frames::{FrameError, Frames, MAX_FRAME_BYTES, decode, framed, mac, recv, send};
