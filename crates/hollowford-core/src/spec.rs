//! A request's specification after its checks.

use crate::{InstanceId, Resources};
use std::sync::Arc;

/// Most tasks in one request.
pub const MAX_TASKS: u32 = 10_000;
/// Most tasks in one gang.
pub const MAX_GANG_TASKS: u32 = 1_000;
/// Most bytes of payload in one request.
pub const MAX_PAYLOAD_BYTES: usize = 4_096;

/// What kind of work a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Short and urgent.
    Check,
    /// All tasks together or none.
    Gang,
    /// Tasks one by one.
    Batch,
    /// Runs until cancelled.
    Service,
}

impl Kind {
    /// Every kind, in the order of the metrics' labels.
    pub const ALL: [Kind; 4] = [Kind::Check, Kind::Gang, Kind::Batch, Kind::Service];

    /// Returns the name used in settings, metrics and output.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Check => "check",
            Kind::Gang => "gang",
            Kind::Batch => "batch",
            Kind::Service => "service",
        }
    }
}

/// Where two tasks of one request must not share a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Spread {
    /// They may share any place.
    #[default]
    None,
    /// One task an instance.
    Instance,
    /// One task a rack.
    Rack,
}

/// Where the tasks of a request may go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Placement {
    /// Availability zones allowed; empty: any.
    pub zones: Vec<Arc<str>>,
    /// Instances not to be used.
    pub exclude_instances: Vec<InstanceId>,
    /// Keeps the request's tasks apart.
    pub spread: Spread,
    /// All tasks in one rack (gangs only).
    pub same_rack: bool,
}

impl Placement {
    /// Tells whether tasks may go anywhere.
    pub fn is_unrestricted(&self) -> bool {
        *self == Placement::default()
    }
}

/// What a client account asks for. Built by `TryFrom` from the schema's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The kind of work.
    pub kind: Kind,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    pub per_task: Resources,
    /// Declared run time of a task in milliseconds; 0: not known.
    pub run_time_ms: u64,
    /// Whether a task may be started again after a failure.
    pub repeatable: bool,
    /// Whether it goes ahead of others and may displace batch work.
    pub urgent: bool,
    /// Labels for cancelling by label.
    pub labels: Vec<Arc<str>>,
    /// Where the tasks may go.
    pub placement: Placement,
    /// Handed to the worker as it is.
    pub payload: Vec<u8>,
    /// Given up when not started within this many milliseconds; 0: no limit.
    pub start_within_ms: u64,
}
