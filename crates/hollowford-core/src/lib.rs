//! Types shared by all crates of hollowford: time, identifiers, resources, validated request
//! specifications and the closed list of error kinds.

mod answer_times;
mod error;
mod id;
pub mod prelude;
mod resources;
mod spec;
mod time;

pub use answer_times::AnswerTimes;
pub use error::{Error, ErrorInfo, ErrorKind, Execution};
pub use id::{AccountId, Epoch, InstanceId, PartitionId, RequestKey, RequestNo, TaskId, hash64};
pub use resources::{Resources, Totals};
pub use spec::{Kind, MAX_GANG_TASKS, MAX_PAYLOAD_BYTES, MAX_TASKS, Placement, Spec, Spread};
pub use time::{Clock, Millis};
