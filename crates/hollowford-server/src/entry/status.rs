//! Turns errors into the answers that callers get.

use hollowford_core::Error;
use tonic::metadata::MetadataValue;
use tonic::{Code, Status};

/// Metadata that names the error kind.
const KIND_KEY: &str = "hollowford-kind";
/// Metadata that says when to come back, in milliseconds.
const RETRY_KEY: &str = "hollowford-retry-after-ms";

/// Turns an error into a gRPC status, by the table of kinds.
pub(super) fn to_status(e: &Error) -> Status {
    let answer = e.kind.info();
    let mut status = Status::new(Code::from_i32(answer.grpc), e.message.clone());
    let meta = status.metadata_mut();
    meta.insert(KIND_KEY, MetadataValue::from_static(answer.name));
    if let Some(ms) = e.retry_after_ms {
        meta.insert(RETRY_KEY, MetadataValue::from(ms));
    }
    status
}
