//! The table of a partition's workers.

use crate::spec::TaskKey;
use crate::worker::Worker;
use crate::worker_life::WorkerLife;
use hollowford_core::InstanceId;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Index of a worker in the owner's table. Indexes are not reused.
pub(crate) type WorkerIdx = u32;

/// A run of a task on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub idx: WorkerIdx,
    pub task: TaskKey,
    pub run: u32,
}

/// Incarnations of workers, by index and by id.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    list: Vec<Option<Box<Worker>>>,
    /// Indexes of the incarnations with each id, in the order in which they became known.
    by_id: FxHashMap<InstanceId, Vec<WorkerIdx>>,
    count: usize,
    /// Interned pool names, so that most comparisons are of pointers.
    pools: Vec<Arc<str>>,
}

impl Workers {
    pub fn insert(&mut self, w: Worker) -> WorkerIdx {
        let idx = self.list.len() as WorkerIdx;
        self.by_id.entry(w.life.id().clone()).or_default().push(idx);
        self.count += 1;
        self.list.push(Some(Box::new(w)));
        idx
    }

    /// Returns the interned copy of a pool name.
    pub fn pool_name(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.pools.iter().find(|p| *p == name) {
            return known.clone();
        }
        self.pools.push(name.clone());
        name.clone()
    }

    /// Returns the incarnations with an id, in the order in which they became known.
    pub fn with_id(&self, id: &InstanceId) -> impl Iterator<Item = (WorkerIdx, &Worker)> {
        let indexes = self.by_id.get(id).into_iter().flatten();
        indexes.filter_map(|&idx| Some((idx, self.get(idx)?)))
    }

    /// Returns the index of an incarnation. An identity without an incarnation number also finds
    /// the worker that was first known by that id.
    pub fn find(&self, life: &WorkerLife) -> Option<WorkerIdx> {
        let exact = self.with_id(life.id()).find(|(_, w)| w.life == *life);
        let by_id = || {
            let lacks_incarnation = life.incarnation().is_none();
            self.with_id(life.id()).find(|(_, w)| lacks_incarnation && w.lacked_incarnation)
        };
        exact.or_else(by_id).map(|(idx, _)| idx)
    }

    pub fn get(&self, idx: WorkerIdx) -> Option<&Worker> {
        self.list.get(idx as usize)?.as_deref()
    }

    pub fn get_mut(&mut self, idx: WorkerIdx) -> Option<&mut Worker> {
        self.list.get_mut(idx as usize)?.as_deref_mut()
    }

    pub fn remove(&mut self, idx: WorkerIdx) -> Option<Worker> {
        let w = self.list.get_mut(idx as usize)?.take()?;
        self.count -= 1;
        if let Some(indexes) = self.by_id.get_mut(w.life.id()) {
            indexes.retain(|&i| i != idx);
            if indexes.is_empty() {
                self.by_id.remove(w.life.id());
            }
        }
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
        self.count
    }
}
