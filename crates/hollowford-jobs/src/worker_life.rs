//! What tells the lives of workers apart.

use hollowford_core::InstanceId;
use std::fmt::{self, Display};

/// Tells the lives apart that bear the same id. It is made of a time of day, which jumps, also back: so it
/// is compared for being the same only. Which of two lives is the later one is told by what surely
/// came after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// One life of a worker: from one start to its end. Nothing that is known of one life holds for another,
/// though both may bear the same id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkerLife {
    id: InstanceId,
    incarnation: Option<Incarnation>,
}

impl WorkerLife {
    /// Makes the life of a worker. Without an incarnation it isn't told apart from others under its id.
    pub fn new(id: InstanceId, incarnation: Option<Incarnation>) -> WorkerLife {
        WorkerLife { id, incarnation }
    }

    /// Returns the id, which calls to the worker bear.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns what tells it apart from other lives under its id.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Tells whether both may be the same life: nothing tells them apart.
    pub fn may_be_same(&self, other: &WorkerLife) -> bool {
        let is_told = self.incarnation.is_some() && other.incarnation.is_some();
        self.id == other.id && (!is_told || self.incarnation == other.incarnation)
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
