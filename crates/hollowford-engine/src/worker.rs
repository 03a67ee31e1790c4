//! Workers, the tasks that they hold, and an index of workers by free resources.

use hollowford_core::{InstanceId, Millis, RequestNo, Resources, TaskId, Totals};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Index of a worker in the engine's table.
pub(crate) type WorkerIdx = u32;

/// A task that is placed on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldTask {
    pub task: TaskId,
    pub resources: Resources,
    /// Incarnation of the worker when the task was placed.
    pub incarnation: u64,
    pub preemptible: bool,
    /// When the task was placed.
    pub placed_at: Millis,
    /// When the task is expected to end; `Millis::MAX` if unknown or a service.
    pub expected_end: Millis,
}

impl HeldTask {
    /// Returns when the task is expected to end, as estimated at `now`. An overdue task is
    /// expected to run for another half of the time since it was placed.
    pub fn expected_end_at(&self, now: Millis) -> Millis {
        if self.expected_end > now {
            return self.expected_end;
        }
        now + Millis(now.since(self.placed_at).0 / 2 + 1)
    }
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub id: InstanceId,
    pub zone: Arc<str>,
    pub rack: Arc<str>,
    /// Whether the platform's list has the instance.
    pub listed: bool,
    /// Whether the instance is about to be removed.
    pub leaving: bool,
    /// Whether this owner has claimed the worker and the session is open.
    pub claimed: bool,
    pub incarnation: u64,
    pub capacity: Resources,
    pub free: Resources,
    pub held: Vec<HeldTask>,
    /// Tasks that run on the worker without an intent in the ledger; they are being stopped.
    pub foreign: Vec<HeldTask>,
    /// The worker's clock in its last report.
    pub clock: u64,
    /// Time on the owner's clock at which that report arrived.
    pub clock_read_at: Millis,
    /// Time on the owner's clock by which every lease of this worker has ended.
    pub lease_expiry: Millis,
    /// When the leases were last renewed.
    pub renewed_at: Millis,
    /// Distinct requests that failed on this worker since its last success.
    pub failed_requests: Vec<RequestNo>,
    /// End of the quarantine, if the worker is in quarantine.
    pub quarantined_until: Option<Millis>,
    /// Quarantines since the last success.
    pub quarantine_count: u32,
    /// After a quarantine: the worker gets one task at a time until one succeeds.
    pub probing: bool,
    /// Gang that the worker is reserved for.
    pub reserved_for: Option<RequestNo>,
    /// Entry in the index: free CPU and whether accelerators are free.
    index_entry: Option<(u32, bool)>,
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
            clock_read_at: Millis(0),
            lease_expiry: Millis(0),
            renewed_at: Millis(0),
            failed_requests: Vec::new(),
            quarantined_until: None,
            quarantine_count: 0,
            probing: false,
            reserved_for: None,
            index_entry: None,
        }
    }

    /// Returns true if the worker may get new tasks.
    pub fn is_usable(&self) -> bool {
        self.claimed && self.listed && !self.leaving && self.quarantined_until.is_none()
    }

    /// Returns true if the worker is probing and has a task.
    pub fn has_probe_task(&self) -> bool {
        self.probing && !self.held.is_empty()
    }

    /// Returns the sum of the resources of preemptible tasks.
    pub fn preemptible(&self) -> Resources {
        let sum = |a: Resources, h: &HeldTask| {
            if h.preemptible { a.plus(&h.resources) } else { a }
        };
        self.held.iter().fold(Resources::default(), sum)
    }

    fn update_free(&mut self) {
        let held = self.held.iter().chain(&self.foreign);
        let used = held.fold(Resources::default(), |a, h| a.plus(&h.resources));
        self.free = self.capacity.minus(&used);
    }
}

#[derive(Debug, Default)]
pub(crate) struct Workers {
    list: Vec<Worker>,
    by_id: HashMap<InstanceId, WorkerIdx>,
    /// Usable workers by free CPU: without free accelerators, and with free accelerators.
    by_free_cpu: [BTreeSet<(u32, WorkerIdx)>; 2],
    /// Number of workers for each capacity that are claimed, listed and not leaving.
    capacity_counts: BTreeMap<Resources, u32>,
    /// Total capacity of these workers.
    pub total_capacity: Totals,
    /// Total free resources of usable workers.
    pub free: Totals,
    /// Workers in quarantine.
    pub quarantined: u32,
}

impl Workers {
    /// Returns the index of a worker; adds it as unclaimed if it is new.
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

    pub fn capacity_counts(&self) -> &BTreeMap<Resources, u32> {
        &self.capacity_counts
    }

    /// Changes a worker and updates the index and the totals.
    pub fn update<R>(&mut self, idx: WorkerIdx, change: impl FnOnce(&mut Worker) -> R) -> R {
        self.unindex(idx);
        let w = &mut self.list[idx as usize];
        let out = change(w);
        w.update_free();
        self.index(idx);
        out
    }

    /// Returns a worker for changes that affect neither the index nor the totals.
    pub fn get_mut_unindexed(&mut self, idx: WorkerIdx) -> &mut Worker {
        &mut self.list[idx as usize]
    }

    /// Adds a task to a worker and takes its resources from the free ones.
    pub fn assign(&mut self, idx: WorkerIdx, held: HeldTask) {
        self.unindex(idx);
        let w = &mut self.list[idx as usize];
        w.free = w.free.minus(&held.resources);
        w.held.push(held);
        self.index(idx);
    }

    /// Removes a task from a worker and returns it.
    pub fn release(&mut self, idx: WorkerIdx, task: &TaskId) -> Option<HeldTask> {
        let at = self.list[idx as usize].held.iter().position(|h| h.task == *task)?;
        Some(self.update(idx, |w| w.held.swap_remove(at)))
    }

    fn unindex(&mut self, idx: WorkerIdx) {
        let w = &mut self.list[idx as usize];
        if let Some((cpu, accelerated)) = w.index_entry.take() {
            self.by_free_cpu[usize::from(accelerated)].remove(&(cpu, idx));
            self.free.sub(&w.free);
        }
        if w.claimed && w.listed && !w.leaving {
            self.total_capacity.sub(&w.capacity);
            if let Some(n) = self.capacity_counts.get_mut(&w.capacity) {
                *n -= 1;
            }
        }
    }

    fn index(&mut self, idx: WorkerIdx) {
        let w = &mut self.list[idx as usize];
        if w.is_usable() {
            let entry = (w.free.cpu_milli, w.free.accelerators > 0);
            self.by_free_cpu[usize::from(entry.1)].insert((entry.0, idx));
            self.free.add(&w.free);
            w.index_entry = Some(entry);
        }
        if w.claimed && w.listed && !w.leaving {
            self.total_capacity.add(&w.capacity);
            *self.capacity_counts.entry(w.capacity).or_insert(0) += 1;
        }
    }

    /// Returns usable workers that have room, those with the least free CPU first. For a
    /// task without accelerators, workers with free accelerators come last.
    pub fn with_room<'a>(&'a self, need: &'a Resources) -> impl Iterator<Item = WorkerIdx> + 'a {
        let plain = if need.accelerators == 0 { Some(&self.by_free_cpu[0]) } else { None };
        let sets = plain.into_iter().chain([&self.by_free_cpu[1]]);
        sets.flat_map(|set| set.range((need.cpu_milli, 0)..))
            .map(|&(_, idx)| idx)
            .filter(|&idx| need.fits(&self.get(idx).free))
    }

    pub fn usable(&self) -> impl Iterator<Item = WorkerIdx> + '_ {
        self.by_free_cpu.iter().flatten().map(|&(_, idx)| idx)
    }
}
