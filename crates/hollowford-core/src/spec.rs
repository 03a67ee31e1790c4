//! Validated specification of a request.

use crate::{InstanceId, Resources};
use std::sync::Arc;

/// Maximum number of tasks of a request.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum number of tasks of a gang.
pub const MAX_GANG_TASKS: u32 = 1_000;
/// Maximum size of a request's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_096;

/// Kind of work of a request, which determines how its tasks start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Short and urgent work, started ahead of all other kinds.
    Check,
    /// All tasks start together or none does.
    Gang,
    /// Tasks start independently of each other.
    Batch,
    /// Tasks run until the request is cancelled; lost tasks are restarted.
    Service,
}

impl Kind {
    /// All kinds, in the order of the metric labels.
    pub const ALL: [Kind; 4] = [Kind::Check, Kind::Gang, Kind::Batch, Kind::Service];

    /// Returns the stable name, used in settings, metrics and output.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Check => "check",
            Kind::Gang => "gang",
            Kind::Batch => "batch",
            Kind::Service => "service",
        }
    }
}

/// Anti-affinity between the tasks of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Spread {
    /// No restriction.
    #[default]
    None,
    /// At most one task per instance.
    Instance,
    /// At most one task per rack.
    Rack,
}

/// Placement constraints for the tasks of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Placement {
    /// Allowed availability zones; empty allows all.
    pub zones: Vec<Arc<str>>,
    /// Instances that must not run the tasks.
    pub exclude_instances: Vec<InstanceId>,
    /// Anti-affinity between the tasks.
    pub spread: Spread,
    /// Whether all tasks must run in the same rack; only for gangs.
    pub same_rack: bool,
}

impl Placement {
    /// Returns true if there are no constraints.
    pub fn is_unrestricted(&self) -> bool {
        *self == Placement::default()
    }
}

/// Validated specification of a request, created from the schema's message by `TryFrom`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Kind of work.
    pub kind: Kind,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that one task needs.
    pub per_task: Resources,
    /// Declared run time of a task in milliseconds; 0 if unknown.
    pub run_time_ms: u64,
    /// Whether a task may be restarted after a failure.
    pub repeatable: bool,
    /// Whether the request goes ahead of others of its kind and may preempt batch tasks.
    pub urgent: bool,
    /// Labels for cancelling by label.
    pub labels: Vec<Arc<str>>,
    /// Placement constraints.
    pub placement: Placement,
    /// Opaque data passed to the worker.
    pub payload: Vec<u8>,
    /// Time in milliseconds within which the request must start, or else it is given up; 0 means no
    /// limit.
    pub start_within_ms: u64,
}
