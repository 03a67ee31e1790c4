//! All workers of the partition.

use crate::spec::TaskKey;
use crate::worker::Worker;
use crate::worker_life::WorkerLife;
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

/// The lives of workers, by position and by id.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    list: Vec<Option<Box<Worker>>>,
    /// The lives under each id, as they became known.
    by_id: FxHashMap<InstanceId, Vec<WorkerIdx>>,
    count: usize,
    /// Names of pools, each once, so that most comparisons are of addresses.
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

    /// Returns the one copy of a pool's name.
    pub fn pool_name(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.pools.iter().find(|p| *p == name) {
            return known.clone();
        }
        self.pools.push(name.clone());
        name.clone()
    }

    /// Returns the lives under an id, as they became known.
    pub fn with_id(&self, id: &InstanceId) -> impl Iterator<Item = (WorkerIdx, &Worker)> {
        let lives = self.by_id.get(id).into_iter().flatten();
        lives.filter_map(|&idx| Some((idx, self.get(idx)?)))
    }

    /// Returns the position of a life, also under the name that it had before it was told apart.
    pub fn find(&self, life: &WorkerLife) -> Option<WorkerIdx> {
        let exact = self.with_id(life.id()).find(|(_, w)| w.life == *life);
        let named = || {
            let is_unnamed = life.incarnation().is_none();
            self.with_id(life.id()).find(|(_, w)| is_unnamed && w.lacked_incarnation)
        };
        exact.or_else(named).map(|(idx, _)| idx)
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
        if let Some(lives) = self.by_id.get_mut(w.life.id()) {
            lives.retain(|&i| i != idx);
            if lives.is_empty() {
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
