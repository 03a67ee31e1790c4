//! Displacing batch work by checkpoint, so that urgent work starts.

use crate::engine::Engine;
use crate::event::Action;
use crate::feasibility::placement_allows;
use crate::request::TaskState;
use crate::worker::{HeldTask, Worker, WorkerIdx};
use hollowford_core::{Millis, RequestNo, Resources, TaskId};

/// Workers that are looked at for one displacement.
const MAX_WORKERS_COMPARED: usize = 64;

/// Room that is being made for one urgent task.
#[derive(Debug)]
struct PendingPreemption {
    request: RequestNo,
    victims: Vec<TaskId>,
}

/// How much may be displaced, and what is being displaced.
#[derive(Debug, Default)]
pub(crate) struct PreemptionState {
    budget_second: Millis,
    spent: u32,
    pending: Vec<PendingPreemption>,
}

impl PreemptionState {
    /// Takes `n` displacements from this second's budget, if it has them.
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
    /// Starts to make room for one waiting task of an urgent request, unless that
    /// is under way already. Returns whether anything was displaced.
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

    /// Displaces all that can be displaced from the workers.
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

    /// Finds the worker on which the least run time is lost.
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

    /// Chooses the tasks of a worker that make the room, youngest first.
    fn victims_on(&self, w: &Worker, need: &Resources, now: Millis) -> (u64, Vec<TaskId>) {
        let age = |h: &HeldTask| {
            let r = self.requests.get(&h.task.request);
            r.map_or(0, |r| now.since(r.tasks[h.task.index as usize].since).0)
        };
        let mut held: Vec<&HeldTask> = w.held.iter().filter(|h| h.preemptible).collect();
        held.sort_by_key(|h| age(h));
        let mut room = w.free;
        let mut cost = 0;
        let mut victims = Vec::new();
        for h in held {
            if need.fits(&room) {
                break;
            }
            room = room.plus(&h.resources);
            cost += age(h) + 1;
            victims.push(h.task);
        }
        (cost, victims)
    }

    /// Stops one held task: withdraws it when its start was never sent.
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
        // An unclaimed worker is told at its claim.
        if worker.claimed {
            out.push(Action::Stop { worker: worker.id.clone(), task, checkpoint });
        }
    }
}
