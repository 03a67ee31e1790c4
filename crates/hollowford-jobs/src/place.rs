//! A pass over the steps that wait.

use crate::advice::{Standing, Want};
use crate::choose::Room;
use crate::engine::Engine;
use crate::order::Order;
use crate::queue::Queue;
use crate::spec::{StepKey, StepSpec};
use crate::urgency::Waiting;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use std::sync::Arc;

/// Workers to ask about beyond those that a step needs, as a part of them.
const ASK_FACTOR: usize = 3;
/// Fewest workers to ask about at first.
const ASK_LEAST: usize = 8;

/// What one pass works on.
pub(crate) struct Pass {
    pub now: Millis,
    /// Workers that may get tasks, with what the pass leaves free.
    pub rooms: Vec<Room>,
    /// Calls for advice, the most urgent first.
    pub wants: Vec<Want>,
    /// Gangs for which room is kept so far.
    pub reservations: usize,
}

impl Engine {
    /// Starts what can be started, and asks for the advice that is missing.
    pub(crate) fn place(&mut self, now: Millis, out: &mut Vec<Order>) {
        let usable = self.workers.iter().filter(|(_, w)| w.usable(now) && w.recorded);
        let rooms = usable.map(|(i, w)| Room::of(i, w, now)).collect();
        let mut pass = Pass { now, rooms, wants: Vec::new(), reservations: 0 };
        for waiting in self.waiting_steps(now) {
            self.place_step(&mut pass, &waiting, out);
        }
        self.ask(pass.wants, now, out);
    }

    fn place_step(&mut self, pass: &mut Pass, waiting: &Waiting, out: &mut Vec<Order>) {
        let Some(job) = self.jobs.get(waiting.key.job) else { return };
        let Some(queue) = self.queues.get(&job.queue).cloned() else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(waiting.key.step as usize) else { return };
        if step.gang {
            self.place_gang(pass, waiting, step, &queue, out);
        } else {
            self.place_tasks(pass, waiting, step, &queue, out);
        }
    }

    fn place_tasks(
        &mut self,
        pass: &mut Pass,
        waiting: &Waiting,
        spec: &StepSpec,
        queue: &Queue,
        out: &mut Vec<Order>,
    ) {
        let key = waiting.key;
        let Some(step) = self.jobs.step(key) else { return };
        let waits = |(i, t): (usize, &crate::job::Task)| {
            t.waits(pass.now).then_some((i as u32, t.run, t.avoid))
        };
        let tasks: Vec<_> = step.tasks.iter().enumerate().filter_map(waits).collect();
        let floor = self.jobs.get(key.job).map_or(0, |j| j.run_floor(self.epoch));
        let mut left = tasks.len();
        // A worker that a waiting task has failed on: it needs another one.
        let mut shunned = None;
        for (index, run, avoid) in tasks {
            if !waiting.kept {
                break;
            }
            let avoid = avoid.filter(|&w| self.has_other(pass, key, spec, queue, w));
            let Some(at) = self.choose(pass, key, spec, queue, avoid) else {
                shunned = shunned.or(avoid);
                break;
            };
            pass.rooms[at].take(&spec.room());
            let idx = pass.rooms[at].idx;
            self.start(idx, key.task(index), run.max(floor) + 1, pass.now, out);
            left -= 1;
        }
        if left > 0
            && let Some(cost) = queue.advice
            && let Some(workers) = self.to_ask(pass, key, spec, queue, left, shunned)
        {
            pass.wants.push(Want { step: key, workers, cost });
        }
    }

    /// Tells whether the step may run on some worker other than `w`, now or once it has room.
    fn has_other(
        &self,
        pass: &Pass,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        w: WorkerIdx,
    ) -> bool {
        let may = |r: &Room| self.standing(key, r.idx, queue, pass.now) != Standing::Barred;
        pass.rooms.iter().any(|r| r.idx != w && may(r) && self.allowed(r, key, spec, queue))
    }

    /// Tells whether the step may run on a worker at all, advice aside.
    pub(crate) fn allowed(
        &self,
        room: &Room,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
    ) -> bool {
        if room.pool != queue.pool {
            return false;
        }
        if spec.spread > 0 && self.jobs.step(key).is_some_and(|s| s.on(room.idx) >= spec.spread) {
            return false;
        }
        spec.requires.is_empty()
            || self.workers.get(room.idx).is_some_and(|w| w.has_label(&spec.requires))
    }

    pub(crate) fn standing(
        &self,
        key: StepKey,
        idx: WorkerIdx,
        queue: &Queue,
        now: Millis,
    ) -> Standing {
        if queue.advice.is_none() {
            return Standing::Ticketed;
        }
        self.jobs.step(key).map_or(Standing::Unknown, |s| s.advice.standing(idx, now))
    }

    /// Returns the best room for one task.
    fn choose(
        &self,
        pass: &Pass,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        avoid: Option<WorkerIdx>,
    ) -> Option<usize> {
        let need = spec.room();
        let ends = pass.now + Millis(spec.estimate_ms);
        let fits = |r: &Room| {
            Some(r.idx) != avoid
                && r.fits(&need, ends)
                && self.standing(key, r.idx, queue, pass.now) == Standing::Ticketed
                && self.allowed(r, key, spec, queue)
        };
        let rooms = pass.rooms.iter().enumerate().filter(|(_, r)| fits(r));
        let costs = rooms.map(|(at, r)| (at, r.cost(spec)));
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
    }

    /// Returns the workers to ask about for `tasks` tasks; none when a call is under way or
    /// there is no worker to ask about.
    fn to_ask(
        &self,
        pass: &Pass,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        tasks: usize,
        shunned: Option<WorkerIdx>,
    ) -> Option<Vec<WorkerIdx>> {
        if self.jobs.step(key)?.advice.asking {
            return None;
        }
        let need = spec.room();
        let ends = pass.now + Millis(spec.estimate_ms);
        let mut lapsed = Vec::new();
        let mut unknown = Vec::new();
        let mut lapsed_room = 0;
        for r in &pass.rooms {
            let skipped = Some(r.idx) == shunned;
            if skipped || !r.fits(&need, ends) || !self.allowed(r, key, spec, queue) {
                continue;
            }
            let cost = r.cost(spec);
            match self.standing(key, r.idx, queue, pass.now) {
                Standing::Lapsed => {
                    lapsed_room += r.count(&need).max(1) as usize;
                    lapsed.push((cost, r.idx));
                }
                Standing::Unknown => unknown.push((cost, r.idx)),
                Standing::Ticketed | Standing::Barred => {}
            }
        }
        let pick = |mut list: Vec<(f32, WorkerIdx)>, most: usize| -> Vec<WorkerIdx> {
            list.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
            list.into_iter().take(most).map(|(_, w)| w).collect()
        };
        let mut workers = pick(lapsed, tasks + tasks / 2 + 1);
        if lapsed_room < tasks {
            workers.extend(pick(unknown, (tasks * ASK_FACTOR).max(ASK_LEAST)));
        }
        (!workers.is_empty()).then_some(workers)
    }

    /// Returns the rack of a worker, for gangs that want one.
    pub(crate) fn racks(pass: &Pass) -> Vec<Arc<str>> {
        let mut racks: Vec<_> = pass.rooms.iter().filter_map(|r| r.rack.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}
