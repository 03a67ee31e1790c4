//! Converts errors to gRPC statuses.

use hollowford_core::Error;
use tonic::metadata::MetadataValue;
use tonic::{Code, Status};

/// Metadata key of the error kind's name.
const KIND_KEY: &str = "hollowford-kind";
/// Metadata key of the delay before a retry, in milliseconds.
const RETRY_KEY: &str = "hollowford-retry-after-ms";

/// Converts an error to a gRPC status, with the error kind and the retry delay as metadata.
pub(super) fn to_status(e: &Error) -> Status {
    let info = e.kind.info();
    let mut status = Status::new(Code::from_i32(info.grpc), e.message.clone());
    let meta = status.metadata_mut();
    meta.insert(KIND_KEY, MetadataValue::from_static(info.name));
    if let Some(ms) = e.retry_after_ms {
        meta.insert(RETRY_KEY, MetadataValue::from(ms));
    }
    status
}
