//! All workers of the partition.

use crate::spec::TaskKey;
use crate::worker::Worker;
use hollowford_core::InstanceId;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Position of a worker in the owner's table; not used again for another.
pub(crate) type WorkerIdx = u32;

/// One start of a task on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub idx: WorkerIdx,
    pub task: TaskKey,
    pub run: u32,
}

/// The workers, by position and by id.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    list: Vec<Option<Box<Worker>>>,
    by_id: FxHashMap<InstanceId, WorkerIdx>,
    /// Names of pools, each once, so that most comparisons are of addresses.
    pools: Vec<Arc<str>>,
}

impl Workers {
    pub fn insert(&mut self, w: Worker) -> WorkerIdx {
        let idx = self.list.len() as WorkerIdx;
        self.by_id.insert(w.id.clone(), idx);
        self.list.push(Some(Box::new(w)));
        idx
    }

    /// Returns the one copy of a pool's name.
    pub fn pool_name(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.pools.iter().find(|p| *p == name) {
            return known.clone();
        }
        self.pools.push(name.clone());
        name.clone()
    }

    pub fn find(&self, id: &InstanceId) -> Option<WorkerIdx> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, idx: WorkerIdx) -> Option<&Worker> {
        self.list.get(idx as usize)?.as_deref()
    }

    pub fn get_mut(&mut self, idx: WorkerIdx) -> Option<&mut Worker> {
        self.list.get_mut(idx as usize)?.as_deref_mut()
    }

    pub fn remove(&mut self, idx: WorkerIdx) -> Option<Worker> {
        let w = self.list.get_mut(idx as usize)?.take()?;
        self.by_id.remove(&w.id);
        Some(*w)
    }

    pub fn iter(&self) -> impl Iterator<Item = (WorkerIdx, &Worker)> {
        let numbered = self.list.iter().enumerate();
        numbered.filter_map(|(i, w)| Some((i as WorkerIdx, w.as_deref()?)))
    }

    pub fn indexes(&self) -> Vec<WorkerIdx> {
        self.iter().map(|(i, _)| i).collect()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }
}
