//! Commonly used types, for `use hollowford_core::prelude::*`.

pub use crate::{
    AccountId, Clock, Epoch, Error, ErrorKind, InstanceId, Millis, PartitionId, RequestKey,
    RequestNo, Resources, Spec, TaskId,
};
