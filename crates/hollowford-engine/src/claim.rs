//! The list of workers, and the claims that reconcile the engine's tasks with those on a worker.

use crate::engine::Engine;
use crate::event::{Action, ClaimReport, TaskEnd, WorkerListing};
use crate::request::TaskState;
use crate::worker::{HeldTask, WorkerIdx};
use hollowford_core::{InstanceId, Millis, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time from a start to the claim of the restarted worker for which the task counts as
/// the cause of a crash. Later restarts do not count, since a task that runs for hours must not
/// fail because of restarts that are days apart.
const CRASH_WINDOW: Millis = Millis(20_000);

impl Engine {
    /// Applies the entries of the instance list that belong to the partition.
    pub fn set_worker_list(&mut self, now: Millis, list: &[WorkerListing], out: &mut Vec<Action>) {
        let mut unlisted: BTreeSet<WorkerIdx> = self.workers.iter().map(|(idx, _)| idx).collect();
        for item in list {
            let idx = self.workers.intern(&item.id);
            unlisted.remove(&idx);
            let w = self.workers.get(idx);
            let was_leaving = w.leaving;
            if w.listed && w.leaving == item.leaving {
                continue;
            }
            self.workers.update(idx, |w| {
                w.listed = true;
                w.zone = item.zone.clone();
                w.rack = item.rack.clone();
                // The worker may have reported this before the list shows it.
                w.leaving |= item.leaving;
            });
            if item.leaving && !was_leaving {
                self.stop_services(now, idx, out);
            }
            self.needs_pass = true;
        }
        for idx in unlisted {
            if self.workers.get(idx).listed {
                self.workers.update(idx, |w| w.listed = false);
            }
        }
    }

    /// Applies a worker's reply to a claim and reconciles its tasks.
    pub fn worker_claimed(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        claim: &ClaimReport,
        out: &mut Vec<Action>,
    ) {
        let idx = self.workers.intern(worker);
        self.workers.update(idx, |w| {
            w.claimed = true;
            w.incarnation = claim.incarnation;
            w.capacity = claim.capacity;
            w.leaving |= claim.leaving;
            w.clock = claim.clock;
            w.clock_read_at = now;
            w.renewed_at = Millis(0);
            w.foreign.clear();
        });
        self.reconcile_ended(now, idx, claim, out);
        self.reconcile_held(now, idx, claim, out);
        self.reconcile_foreign(idx, claim, out);
        if claim.leaving {
            self.stop_services(now, idx, out);
        }
        self.needs_pass = true;
    }

    fn reconcile_ended(
        &mut self,
        now: Millis,
        idx: WorkerIdx,
        claim: &ClaimReport,
        out: &mut Vec<Action>,
    ) {
        let worker = self.workers.get(idx).id.clone();
        for report in &claim.ended {
            self.task_ended(now, &worker, report, out);
        }
    }

    /// Reconciles the tasks that are placed on the worker with those that it is running.
    fn reconcile_held(
        &mut self,
        now: Millis,
        idx: WorkerIdx,
        claim: &ClaimReport,
        out: &mut Vec<Action>,
    ) {
        let running: BTreeSet<TaskId> = claim.running.iter().map(|c| c.task).collect();
        let held = self.workers.get(idx).held.clone();
        for h in held {
            if self.worker_of(&h.task) != Some(idx) {
                continue;
            }
            if running.contains(&h.task) {
                self.task_found(now, idx, &h.task, out);
            } else {
                self.task_missing(now, idx, &h, claim.incarnation, out);
            }
        }
    }

    fn task_found(&mut self, now: Millis, idx: WorkerIdx, task: &TaskId, out: &mut Vec<Action>) {
        let worker = self.workers.get(idx).id.clone();
        self.task_started(now, &worker, task, out);
        let Some(r) = self.requests.get(&task.request) else {
            return;
        };
        let unwanted = r.cancelled || r.restarting || r.answer.is_some();
        let state = r.state_of(task.index);
        if state == TaskState::Stopping(idx) {
            out.push(Action::Stop { worker, task: *task, checkpoint: r.is_preemptible() });
        } else if unwanted {
            self.stop_task(now, task.request, task.index, false, out);
        }
    }

    /// Handles a placed task that is not on its worker. In the incarnation that the intent
    /// names, it was never started; after a restart of the worker it may have run.
    fn task_missing(
        &mut self,
        now: Millis,
        idx: WorkerIdx,
        held: &HeldTask,
        incarnation: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&held.task.request) else {
            return;
        };
        let state = r.state_of(held.task.index);
        let unsent = state == TaskState::Placed(idx);
        let same_incarnation = held.incarnation == incarnation;
        let was_running = state == TaskState::Running(idx);
        if unsent && same_incarnation {
            return;
        }
        if unsent || (same_incarnation && !was_running) {
            self.withdraw(now, &held.task, out);
        } else {
            let started = r.tasks[held.task.index as usize].since;
            let is_crash = !same_incarnation && now.since(started) < CRASH_WINDOW;
            let end = if is_crash { TaskEnd::Crashed } else { TaskEnd::Lost };
            self.end_attempt(now, &held.task, end, out);
        }
    }

    /// Stops running tasks without an intent in the ledger. Their resources stay occupied
    /// until they have stopped.
    fn reconcile_foreign(&mut self, idx: WorkerIdx, claim: &ClaimReport, out: &mut Vec<Action>) {
        let mut foreign = BTreeMap::new();
        for c in &claim.running {
            if self.worker_of(&c.task) == Some(idx) {
                continue;
            }
            let held = HeldTask {
                task: c.task,
                resources: c.resources,
                incarnation: claim.incarnation,
                preemptible: false,
                placed_at: Millis(0),
                expected_end: Millis::MAX,
            };
            foreign.insert(c.task, held);
        }
        self.stats.foreign += foreign.len() as u64;
        let worker = self.workers.get(idx).id.clone();
        for task in foreign.keys() {
            out.push(Action::Stop { worker: worker.clone(), task: *task, checkpoint: false });
        }
        self.workers.update(idx, |w| w.foreign = foreign.into_values().collect());
    }

    /// Records that the session with a worker has ended. It gets no new tasks until it is
    /// claimed again. Its running tasks are reconciled then, or count as lost once its
    /// leases have ended.
    pub fn session_ended(&mut self, now: Millis, worker: &InstanceId, out: &mut Vec<Action>) {
        let Some(idx) = self.workers.find(worker) else {
            return;
        };
        if !self.workers.get(idx).claimed {
            return;
        }
        self.workers.update(idx, |w| {
            w.claimed = false;
            w.foreign.clear();
        });
        let held: Vec<TaskId> = self.workers.get(idx).held.iter().map(|h| h.task).collect();
        for task in held {
            let state = self.requests.get(&task.request).map(|r| r.state_of(task.index));
            if state == Some(TaskState::Placed(idx)) {
                self.withdraw(now, &task, out);
            }
        }
    }
}
