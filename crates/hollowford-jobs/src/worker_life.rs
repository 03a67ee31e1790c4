//! Identity of one incarnation of a worker.

use hollowford_core::InstanceId;
use std::fmt::{self, Display};

/// Distinguishes incarnations with the same id. It is derived from the time of day, which may jump
/// backwards, so incarnations are compared for equality only, never for order. Which one is later
/// follows from the order of calls and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// One incarnation of a worker, from the start of its process to its end. State of one incarnation
/// doesn't apply to another with the same id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkerLife {
    id: InstanceId,
    incarnation: Option<Incarnation>,
}

impl WorkerLife {
    /// Creates an identity. Without an incarnation it can't be distinguished from others with the
    /// same id.
    pub fn new(id: InstanceId, incarnation: Option<Incarnation>) -> WorkerLife {
        WorkerLife { id, incarnation }
    }

    /// Returns the worker's id, which calls to it contain.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns the incarnation, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns true if both may be the same incarnation: the ids are equal and the incarnations
    /// equal or unknown.
    pub fn may_be_same(&self, other: &WorkerLife) -> bool {
        let both_known = self.incarnation.is_some() && other.incarnation.is_some();
        self.id == other.id && (!both_known || self.incarnation == other.incarnation)
    }
}

impl From<&str> for WorkerLife {
    fn from(id: &str) -> WorkerLife {
        WorkerLife::new(id.into(), None)
    }
}

impl Display for WorkerLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.incarnation {
            Some(Incarnation(n)) => write!(f, "{}@{n}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}
