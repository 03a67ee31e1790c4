//! Preemption: stops batch tasks, with a checkpoint, so that urgent work can start.

use crate::engine::Engine;
use crate::event::Action;
use crate::feasibility::placement_allows;
use crate::request::TaskState;
use crate::worker::{HeldTask, Worker, WorkerIdx};
use hollowford_core::{Millis, RequestNo, Resources, TaskId};

/// Maximum number of workers that are compared for one preemption.
const MAX_WORKERS_COMPARED: usize = 64;

/// Tasks that are being stopped to make room for one urgent task.
#[derive(Debug)]
struct PendingPreemption {
    request: RequestNo,
    victims: Vec<TaskId>,
}

/// Rate limit of preemptions, and the preemptions in progress.
#[derive(Debug, Default)]
pub(crate) struct PreemptionState {
    /// Second of the owner's clock to which `spent` applies.
    budget_second: Millis,
    /// Preemptions in that second.
    spent: u32,
    pending: Vec<PendingPreemption>,
}

impl PreemptionState {
    /// Takes `n` preemptions from the budget of the current second. Returns false and takes
    /// none if fewer are left.
    fn try_spend(&mut self, now: Millis, n: u32, per_second: u32) -> bool {
        const SECOND_MS: u64 = 1_000;
        let second = Millis(now.0 / SECOND_MS);
        if second != self.budget_second {
            self.budget_second = second;
            self.spent = 0;
        }
        if self.spent + n > per_second {
            return false;
        }
        self.spent += n;
        true
    }
}

impl Engine {
    /// Preempts tasks to make room for one waiting task of an urgent request, unless that
    /// is in progress for all of its waiting tasks. Returns true if any task was preempted.
    pub(crate) fn preempt_for(
        &mut self,
        no: RequestNo,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        self.drop_finished_preemptions();
        let pending_count = self.preemption.pending.iter().filter(|p| p.request == no).count();
        let waiting = self.requests.get(&no).map_or(0, |r| r.waiting.len());
        if pending_count >= waiting {
            return false;
        }
        let Some(victims) = self.cheapest_victims(no, now) else {
            return false;
        };
        let n = victims.len() as u32;
        if !self.preemption.try_spend(now, n, self.policy.preempt_per_second) {
            self.retry_times.insert((now + Millis(1_000), no));
            return false;
        }
        for task in &victims {
            self.preempt_task(task, now, out);
        }
        self.preemption.pending.push(PendingPreemption { request: no, victims });
        true
    }

    /// Preempts all preemptible tasks on the workers, within the rate limit.
    pub(crate) fn preempt_on(&mut self, workers: &[WorkerIdx], now: Millis, out: &mut Vec<Action>) {
        let mut victims = Vec::new();
        for &idx in workers {
            let held = self.workers.get(idx).held.iter();
            victims.extend(held.filter(|h| h.preemptible).map(|h| h.task));
        }
        for task in victims {
            if self.preemption.try_spend(now, 1, self.policy.preempt_per_second) {
                self.preempt_task(&task, now, out);
            }
        }
    }

    fn preempt_task(&mut self, task: &TaskId, now: Millis, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get(&task.request) {
            let ran = now.since(r.tasks[task.index as usize].since);
            self.stats.preempted += 1;
            self.stats.preempted_ms += ran.0;
        }
        self.stop_task(now, task.request, task.index, true, out);
    }

    fn drop_finished_preemptions(&mut self) {
        let mut pending = std::mem::take(&mut self.preemption.pending);
        pending.retain(|p| p.victims.iter().any(|task| self.worker_of(task).is_some()));
        self.preemption.pending = pending;
    }

    /// Returns the tasks to preempt on the worker where the least run time is lost.
    fn cheapest_victims(&self, no: RequestNo, now: Millis) -> Option<Vec<TaskId>> {
        let r = self.requests.get(&no)?;
        let need = &r.spec.per_task;
        let can_fit = |w: &Worker| need.fits(&w.free.plus(&w.preemptible()));
        let mut best: Option<(u64, Vec<TaskId>)> = None;
        let candidates = self
            .workers
            .usable()
            .map(|idx| (idx, self.workers.get(idx)))
            .filter(|(idx, w)| {
                can_fit(w) && placement_allows(&r.spec, w) && !r.failed_workers.contains(idx)
            })
            .take(MAX_WORKERS_COMPARED);
        for (_, w) in candidates {
            let (cost, victims) = self.victims_on(w, need, now);
            if best.as_ref().is_none_or(|(low, _)| cost < *low) {
                best = Some((cost, victims));
            }
        }
        best.map(|(_, victims)| victims).filter(|v| !v.is_empty())
    }

    /// Chooses the tasks to preempt on a worker, youngest first. Returns their total run time
    /// in milliseconds, as the cost, and the tasks.
    fn victims_on(&self, w: &Worker, need: &Resources, now: Millis) -> (u64, Vec<TaskId>) {
        let age = |h: &HeldTask| {
            let r = self.requests.get(&h.task.request);
            r.map_or(0, |r| now.since(r.tasks[h.task.index as usize].since).0)
        };
        let mut held: Vec<&HeldTask> = w.held.iter().filter(|h| h.preemptible).collect();
        held.sort_by_key(|h| age(h));
        let mut available = w.free;
        let mut cost = 0;
        let mut victims = Vec::new();
        for h in held {
            if need.fits(&available) {
                break;
            }
            available = available.plus(&h.resources);
            cost += age(h) + 1;
            victims.push(h.task);
        }
        (cost, victims)
    }

    /// Stops a task on its worker, or withdraws it if its start was not sent.
    pub(crate) fn stop_task(
        &mut self,
        now: Millis,
        no: RequestNo,
        index: u32,
        checkpoint: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        let task = r.task_id(index);
        let t = &mut r.tasks[index as usize];
        let w = match t.state {
            TaskState::Placed(_) => {
                self.withdraw(now, &task, out);
                return;
            }
            TaskState::Starting(w) => w,
            TaskState::Running(w) => {
                r.running -= 1;
                w
            }
            TaskState::Waiting | TaskState::Stopping(_) | TaskState::Ended => return,
        };
        t.state = TaskState::Stopping(w);
        let worker = self.workers.get_mut_unindexed(w);
        if let Some(h) = worker.held.iter_mut().find(|h| h.task == task) {
            h.preemptible = false;
        }
        // An unclaimed worker gets the stop when it is claimed.
        if worker.claimed {
            out.push(Action::Stop { worker: worker.id.clone(), task, checkpoint });
        }
    }
}
