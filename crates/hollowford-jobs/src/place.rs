//! Placing the tasks of the steps that wait.

use crate::accounts::AccountIdx;
use crate::advice::{Standing, StepAdvice};
use crate::choose::Room;
use crate::engine::Engine;
use crate::job::Task;
use crate::order::Order;
use crate::pass::Pass;
use crate::queue::Queue;
use crate::reserve::Plan;
use crate::seats::Want;
use crate::spec::{JobSpec, StepKey, StepSpec};
use crate::urgency::Waiting;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;
use std::sync::Arc;

/// Steps that a pass tries without placing any task of theirs, the most urgent first. Passes
/// come with every event, so each may cost little; every tenth of a second one tries them all.
const TRIES: usize = 200;

/// The step that is being placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placing<'a> {
    pub key: StepKey,
    /// The client account of its job.
    pub account: AccountIdx,
    /// The job's acceptance is in the store, so that tasks may start.
    pub kept: bool,
    pub spec: &'a StepSpec,
    pub queue: &'a Queue,
}

/// A task that may be started.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: u32,
    /// The highest run that is known.
    run: u32,
    /// A worker that it keeps off.
    avoid: Option<WorkerIdx>,
    /// Workers have crashed under it.
    suspect: bool,
}

impl Engine {
    /// Starts what can be started, and asks for the advice that is missing. A full pass tries
    /// all steps that wait.
    pub(crate) fn place(&mut self, now: Millis, full: bool, out: &mut Vec<Order>) {
        self.give_up_calls(now);
        let steps = self.waiting_steps(now);
        if steps.is_empty() {
            return;
        }
        self.count_use();
        let usable = self.workers.iter().filter(|(_, w)| w.usable(now) && w.recorded);
        let rooms = usable.map(|(i, w)| Room::of(i, w, now)).collect();
        let asks_again = full || std::mem::take(&mut self.seat_freed);
        let mut pass = Pass::new(now, asks_again, rooms);
        let mut tries = if full { usize::MAX } else { TRIES };
        for waiting in steps {
            let before = out.len();
            self.place_step(&mut pass, &waiting, out);
            self.stats.tried += 1;
            tries -= usize::from(out.len() == before);
            if tries == 0 {
                break;
            }
        }
        for (waiting, plan) in std::mem::take(&mut pass.asking) {
            self.ask_beside(&pass, &waiting, plan.as_ref(), out);
        }
    }

    /// Makes another call for a gang beside the one under way.
    fn ask_beside(
        &mut self,
        pass: &Pass,
        waiting: &Waiting,
        plan: Option<&Plan>,
        out: &mut Vec<Order>,
    ) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.parts_of(key) else { return };
        let Some(spec) = job.steps.get(key.step as usize) else { return };
        let gang = Placing { key, account, kept: waiting.kept, spec, queue: &queue };
        self.ask_for_gang(pass, gang, plan, out);
    }

    /// Returns what a step is placed by: its job's specification, its queue and its client account.
    fn parts_of(&self, key: StepKey) -> Option<(Arc<JobSpec>, Arc<Queue>, AccountIdx)> {
        let job = self.jobs.get(key.job)?;
        let queue = self.queues.get(&job.queue)?;
        Some((job.spec.clone(), queue.clone(), job.account))
    }

    fn place_step(&mut self, pass: &mut Pass, waiting: &Waiting, out: &mut Vec<Order>) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.parts_of(key) else { return };
        let Some(spec) = job.steps.get(key.step as usize) else { return };
        let step = Placing { key, account, kept: waiting.kept, spec, queue: &queue };
        if spec.gang {
            self.place_gang(pass, waiting, step, out);
        } else {
            self.place_tasks(pass, step, out);
        }
    }

    fn place_tasks(&mut self, pass: &mut Pass, step: Placing<'_>, out: &mut Vec<Order>) {
        let tasks = self.waiting_tasks(step.key, pass.now);
        let waiting = tasks.len();
        let (started, shunned) =
            if step.kept { self.start_tasks(pass, step, tasks, out) } else { (0, None) };
        // What the account's quota holds back needs neither advice nor room.
        let room = step.spec.allocation();
        let left = self.accounts.room_for(step.account, &room, waiting - started);
        if left == 0 {
            return;
        }
        if let Some(cost) = self.askable(pass, step)
            && let Some(workers) = self.to_ask(pass, step, left, shunned)
        {
            self.ask(Want { step: step.key, workers, cost }, pass.now, out);
        }
        // After asking, which goes by the room that is not kept for others.
        if step.kept {
            self.reserve_for_large(pass, step, left);
        }
    }

    /// Starts tasks of a step for as long as there is room. Returns how many, and the worker
    /// that the first one without room has failed on, if it needs another one.
    fn start_tasks(
        &mut self,
        pass: &mut Pass,
        step: Placing<'_>,
        tasks: Vec<Candidate>,
        out: &mut Vec<Order>,
    ) -> (usize, Option<WorkerIdx>) {
        let floor = self.jobs.get(step.key.job).map_or(0, |j| j.run_floor(self.epoch));
        let mut started = 0;
        for Candidate { index, run, avoid, suspect } in tasks {
            if !self.accounts.allows(step.account, &step.spec.allocation(), 1) {
                return (started, None);
            }
            let avoid = avoid.filter(|&w| self.has_other(pass, step, w));
            let Some(at) = self.choose(pass, step, avoid, suspect) else {
                return (started, avoid);
            };
            pass.rooms[at].take(&step.spec.allocation());
            if suspect {
                pass.rooms[at].close();
            }
            self.accounts.take(step.account, &step.spec.allocation());
            let idx = pass.rooms[at].idx;
            let p = Placement { idx, task: step.key.task(index), run: run.max(floor) + 1 };
            self.start(p, pass.now, out);
            started += 1;
        }
        (started, None)
    }

    /// Returns the tasks of a step that may be started.
    fn waiting_tasks(&self, key: StepKey, now: Millis) -> Vec<Candidate> {
        let Some(step) = self.jobs.step(key) else { return Vec::new() };
        let tasks = step.tasks.iter().enumerate().filter(|(_, t)| t.waits(now));
        let candidate = |(index, t): (usize, &Task)| Candidate {
            index: index as u32,
            run: t.run,
            avoid: t.avoided(now),
            suspect: t.is_suspect(),
        };
        let mut tasks: Vec<_> = tasks.map(candidate).collect();
        // Those that may go anywhere first: one that keeps off a worker holds up none of them.
        tasks.sort_by_key(|t| t.avoid.is_some());
        tasks
    }

    /// Tells whether the step may run on some worker other than `w`, now or once it has room.
    fn has_other(&self, pass: &Pass, step: Placing<'_>, w: WorkerIdx) -> bool {
        let may = |r: &Room| self.standing(step, r.idx, pass.now) != Standing::Barred;
        pass.rooms.iter().any(|r| r.idx != w && may(r) && self.allowed(r, step))
    }

    /// Tells whether the step may run on a worker at all, advice aside.
    pub(crate) fn allowed(&self, room: &Room, step: Placing<'_>) -> bool {
        let Placing { key, spec, queue, .. } = step;
        if !Arc::ptr_eq(&room.pool, &queue.pool) && room.pool != queue.pool {
            return false;
        }
        if spec.max_per_worker > 0
            && self.jobs.step(key).is_some_and(|s| s.on(room.idx) >= spec.max_per_worker)
        {
            return false;
        }
        spec.required_label.is_empty()
            || self.workers.get(room.idx).is_some_and(|w| w.has_label(&spec.required_label))
    }

    /// Returns what advice says of a worker for the step; where none is needed, each may.
    pub(crate) fn standing(&self, step: Placing<'_>, idx: WorkerIdx, now: Millis) -> Standing {
        if step.queue.advice.is_none() {
            return Standing::Ticketed;
        }
        self.jobs.step(step.key).map_or(Standing::Unknown, |s| s.advice.standing(idx, now))
    }

    /// Returns the best room for one task.
    fn choose(
        &self,
        pass: &Pass,
        step: Placing<'_>,
        avoid: Option<WorkerIdx>,
        suspect: bool,
    ) -> Option<usize> {
        let need = step.spec.allocation();
        if !pass.may_fit(&need) {
            return None;
        }
        let ends = pass.now + Millis(step.spec.estimate_ms);
        let fits = |&at: &usize| {
            let r = &pass.rooms[at];
            Some(r.idx) != avoid && r.fits(&need, ends) && self.allowed(r, step)
        };
        let cost = |at: usize| {
            let room = &pass.rooms[at];
            (at, if suspect { room.crash_cost() } else { room.cost(step.spec) })
        };
        let less = |a: &(usize, f32), b: &(usize, f32)| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0));
        let rooms = self.rooms_of(pass, step, Standing::Ticketed);
        rooms.filter(fits).map(cost).min_by(less).map(|(at, _)| at)
    }

    /// Returns the positions of the rooms where the step has that standing. Where advice is
    /// needed, only the few that it allows are gone through.
    pub(crate) fn rooms_of(
        &self,
        pass: &Pass,
        step: Placing<'_>,
        standing: Standing,
    ) -> impl Iterator<Item = usize> {
        let advised = step.queue.advice.is_some();
        let advice = self.jobs.step(step.key).map(|s| &s.advice).filter(|_| advised);
        let allowed = advice.into_iter().flat_map(StepAdvice::allowed);
        let now = pass.now;
        let good = allowed.filter(move |&(_, t)| t.standing(now) == standing);
        let everywhere = if advised { 0 } else { pass.rooms.len() };
        (0..everywhere).chain(good.filter_map(|(w, _)| pass.room_of(w)))
    }
}
