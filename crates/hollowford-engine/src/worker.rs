//! Workers, what they hold, and the index by which room is found.

use hollowford_core::{InstanceId, Millis, RequestNo, Resources, TaskId, Totals};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Position of a worker in the engine's table.
pub(crate) type WorkerIdx = u32;

/// A task that a worker holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub task: TaskId,
    pub resources: Resources,
    /// Incarnation of the worker when the intent was written.
    pub incarnation: u64,
    pub preemptible: bool,
    /// When it was placed.
    pub since: Millis,
    /// When the task is expected to end; `Millis::MAX`: not known, or a service.
    pub ends: Millis,
}

impl Held {
    /// Returns when the task is expected to end, seen from `now`. One that has run
    /// past its time is expected to run half as long again.
    pub fn ends_by(&self, now: Millis) -> Millis {
        if self.ends > now {
            return self.ends;
        }
        now + Millis(now.since(self.since).0 / 2 + 1)
    }
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub id: InstanceId,
    pub zone: Arc<str>,
    pub rack: Arc<str>,
    pub listed: bool,
    pub leaving: bool,
    /// Claimed by this owner, with a session that stands.
    pub claimed: bool,
    pub incarnation: u64,
    pub capacity: Resources,
    pub free: Resources,
    pub held: Vec<Held>,
    /// Tasks that the worker runs but the ledger doesn't know; they are being stopped.
    pub foreign: Vec<Held>,
    /// The worker's clock in its last report.
    pub clock: u64,
    /// This process's clock when that report came.
    pub clock_at: Millis,
    /// When every lease given to this worker has surely ended.
    pub lapse_at: Millis,
    pub renewed_at: Millis,
    /// Different requests that failed here since the last success.
    pub fails: Vec<RequestNo>,
    /// Put aside until this time.
    pub aside_until: Option<Millis>,
    /// Times it was put aside without a success since.
    pub aside_count: u32,
    /// Back from being put aside: takes one task at a time until one succeeds.
    pub probing: bool,
    /// Kept for a gang.
    pub reserved_for: Option<RequestNo>,
    indexed: Option<(u32, bool)>,
}

impl Worker {
    fn new(id: InstanceId) -> Worker {
        Worker {
            id,
            zone: "".into(),
            rack: "".into(),
            listed: false,
            leaving: false,
            claimed: false,
            incarnation: 0,
            capacity: Resources::default(),
            free: Resources::default(),
            held: Vec::new(),
            foreign: Vec::new(),
            clock: 0,
            clock_at: Millis(0),
            lapse_at: Millis(0),
            renewed_at: Millis(0),
            fails: Vec::new(),
            aside_until: None,
            aside_count: 0,
            probing: false,
            reserved_for: None,
            indexed: None,
        }
    }

    /// Tells whether new work may go here.
    pub fn usable(&self) -> bool {
        self.claimed && self.listed && !self.leaving && self.aside_until.is_none()
    }

    /// Tells whether a probing worker has its one task already.
    pub fn probe_taken(&self) -> bool {
        self.probing && !self.held.is_empty()
    }

    /// Returns the sum of what could be displaced.
    pub fn preemptible(&self) -> Resources {
        let sum = |a: Resources, h: &Held| {
            if h.preemptible { a.plus(&h.resources) } else { a }
        };
        self.held.iter().fold(Resources::default(), sum)
    }

    fn recount(&mut self) {
        let held = self.held.iter().chain(&self.foreign);
        let used = held.fold(Resources::default(), |a, h| a.plus(&h.resources));
        self.free = self.capacity.minus(&used);
    }
}

/// All workers of the partition.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    list: Vec<Worker>,
    by_id: HashMap<InstanceId, WorkerIdx>,
    /// Usable workers without and with free accelerators, by free processors.
    rooms: [BTreeSet<(u32, WorkerIdx)>; 2],
    /// How many workers there are of each capacity that could ever be used.
    capacities: BTreeMap<Resources, u32>,
    /// Sum of the capacities.
    pub whole: Totals,
    /// Sum of what is free on usable workers.
    pub free: Totals,
    pub aside: u32,
}

impl Workers {
    /// Finds a worker, or adds an unclaimed one.
    pub fn intern(&mut self, id: &InstanceId) -> WorkerIdx {
        if let Some(&idx) = self.by_id.get(id) {
            return idx;
        }
        let idx = self.list.len() as WorkerIdx;
        self.list.push(Worker::new(id.clone()));
        self.by_id.insert(id.clone(), idx);
        idx
    }

    pub fn find(&self, id: &InstanceId) -> Option<WorkerIdx> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, idx: WorkerIdx) -> &Worker {
        &self.list[idx as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = (WorkerIdx, &Worker)> {
        self.list.iter().enumerate().map(|(i, w)| (i as WorkerIdx, w))
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn capacities(&self) -> &BTreeMap<Resources, u32> {
        &self.capacities
    }

    /// Changes a worker and brings the index and the sums up to date.
    pub fn update<R>(&mut self, idx: WorkerIdx, change: impl FnOnce(&mut Worker) -> R) -> R {
        self.unindex(idx);
        let w = &mut self.list[idx as usize];
        let out = change(w);
        w.recount();
        self.index(idx);
        out
    }

    /// Changes what the index doesn't depend on.
    pub fn touch(&mut self, idx: WorkerIdx) -> &mut Worker {
        &mut self.list[idx as usize]
    }

    /// Gives a task to a worker, or takes the room for it.
    pub fn hold(&mut self, idx: WorkerIdx, held: Held) {
        self.unindex(idx);
        let w = &mut self.list[idx as usize];
        w.free = w.free.minus(&held.resources);
        w.held.push(held);
        self.index(idx);
    }

    /// Takes a task off a worker.
    pub fn release(&mut self, idx: WorkerIdx, task: &TaskId) -> Option<Held> {
        let at = self.list[idx as usize].held.iter().position(|h| h.task == *task)?;
        Some(self.update(idx, |w| w.held.swap_remove(at)))
    }

    fn unindex(&mut self, idx: WorkerIdx) {
        let w = &mut self.list[idx as usize];
        if let Some((cpu, accelerated)) = w.indexed.take() {
            self.rooms[usize::from(accelerated)].remove(&(cpu, idx));
            self.free.sub(&w.free);
        }
        if w.claimed && w.listed && !w.leaving {
            self.whole.sub(&w.capacity);
            if let Some(n) = self.capacities.get_mut(&w.capacity) {
                *n -= 1;
            }
        }
    }

    fn index(&mut self, idx: WorkerIdx) {
        let w = &mut self.list[idx as usize];
        if w.usable() {
            let entry = (w.free.cpu_milli, w.free.accelerators > 0);
            self.rooms[usize::from(entry.1)].insert((entry.0, idx));
            self.free.add(&w.free);
            w.indexed = Some(entry);
        }
        if w.claimed && w.listed && !w.leaving {
            self.whole.add(&w.capacity);
            *self.capacities.entry(w.capacity).or_insert(0) += 1;
        }
    }

    /// Returns usable workers with room, those with the least free processors
    /// first; workers with free accelerators come last for work that needs none.
    pub fn with_room<'a>(&'a self, need: &'a Resources) -> impl Iterator<Item = WorkerIdx> + 'a {
        let plain = if need.accelerators == 0 { Some(&self.rooms[0]) } else { None };
        let sets = plain.into_iter().chain([&self.rooms[1]]);
        sets.flat_map(|set| set.range((need.cpu_milli, 0)..))
            .map(|&(_, idx)| idx)
            .filter(|&idx| need.fits(&self.get(idx).free))
    }

    /// Returns the workers that are usable.
    pub fn usable(&self) -> impl Iterator<Item = WorkerIdx> + '_ {
        self.rooms.iter().flatten().map(|&(_, idx)| idx)
    }
}
