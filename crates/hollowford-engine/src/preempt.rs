//! Displacing batch work by checkpoint, so that urgent work starts.

use crate::engine::Engine;
use crate::event::Action;
use crate::feasible::zone_allows;
use crate::request::TaskState;
use crate::worker::{Held, Worker, WorkerIdx};
use hollowford_core::{Millis, RequestNo, Resources, TaskId};

/// Workers that are looked at for one displacement.
const WORKERS_COMPARED: usize = 64;

/// Room that is being made for one urgent task.
#[derive(Debug)]
struct Promise {
    request: RequestNo,
    victims: Vec<TaskId>,
}

/// How much may be displaced, and what is being displaced.
#[derive(Debug, Default)]
pub(crate) struct PreemptBudget {
    spent_in: Millis,
    spent: u32,
    promises: Vec<Promise>,
}

impl PreemptBudget {
    /// Takes `n` displacements from this second's budget, if it has them.
    fn take(&mut self, now: Millis, n: u32, per_second: u32) -> bool {
        const SECOND: u64 = 1_000;
        let second = Millis(now.0 / SECOND);
        if second != self.spent_in {
            self.spent_in = second;
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
        self.drop_kept_promises();
        let promised = self.preempt.promises.iter().filter(|p| p.request == no).count();
        let waiting = self.requests.get(&no).map_or(0, |r| r.waiting.len());
        if promised >= waiting {
            return false;
        }
        let Some(victims) = self.cheapest_victims(no, now) else {
            return false;
        };
        let n = victims.len() as u32;
        if !self.preempt.take(now, n, self.policy.preempt_per_second) {
            self.wakes.insert((now + Millis(1_000), no));
            return false;
        }
        for task in &victims {
            self.displace(task, now, out);
        }
        self.preempt.promises.push(Promise { request: no, victims });
        true
    }

    /// Displaces all that can be displaced from the workers.
    pub(crate) fn displace_from(
        &mut self,
        workers: &[WorkerIdx],
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let mut victims = Vec::new();
        for &idx in workers {
            let held = self.workers.get(idx).held.iter();
            victims.extend(held.filter(|h| h.preemptible).map(|h| h.task));
        }
        for task in victims {
            if self.preempt.take(now, 1, self.policy.preempt_per_second) {
                self.displace(&task, now, out);
            }
        }
    }

    fn displace(&mut self, task: &TaskId, now: Millis, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get(&task.request) {
            let ran = now.since(r.tasks[task.index as usize].since);
            self.stats.preempted += 1;
            self.stats.preempted_ms += ran.0;
        }
        self.stop_task(now, task.request, task.index, true, out);
    }

    fn drop_kept_promises(&mut self) {
        let mut promises = std::mem::take(&mut self.preempt.promises);
        promises.retain(|p| p.victims.iter().any(|task| self.holder(task).is_some()));
        self.preempt.promises = promises;
    }

    /// Finds the worker on which the least run time is lost.
    fn cheapest_victims(&self, no: RequestNo, now: Millis) -> Option<Vec<TaskId>> {
        let r = self.requests.get(&no)?;
        let need = &r.spec.per_task;
        let could = |w: &Worker| need.fits(&w.free.plus(&w.preemptible()));
        let mut best: Option<(u64, Vec<TaskId>)> = None;
        let candidates = self
            .workers
            .usable()
            .map(|idx| (idx, self.workers.get(idx)))
            .filter(|(idx, w)| could(w) && zone_allows(&r.spec, w) && !r.failed_on.contains(idx))
            .take(WORKERS_COMPARED);
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
        let age = |h: &Held| {
            let r = self.requests.get(&h.task.request);
            r.map_or(0, |r| now.since(r.tasks[h.task.index as usize].since).0)
        };
        let mut held: Vec<&Held> = w.held.iter().filter(|h| h.preemptible).collect();
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
        let worker = self.workers.touch(w);
        if let Some(h) = worker.held.iter_mut().find(|h| h.task == task) {
            h.preemptible = false;
        }
        // An unclaimed worker is told at its claim.
        if worker.claimed {
            out.push(Action::Stop { worker: worker.id.clone(), task, checkpoint });
        }
    }
}
