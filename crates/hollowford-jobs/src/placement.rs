//! Placing the tasks of the steps that wait.

use crate::accounts::AccountIdx;
use crate::advice::{AdviceStatus, StepAdvice};
use crate::advice_calls::AdviceCall;
use crate::candidate::CandidateWorker;
use crate::engine::Engine;
use crate::job::Task;
use crate::order::Order;
use crate::pass::Pass;
use crate::queue::Queue;
use crate::reservation::StartPlan;
use crate::spec::{JobSpec, StepKey, StepSpec};
use crate::urgency::WaitingStep;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;
use std::sync::Arc;

/// Steps that a pass tries without placing any task of theirs, the most urgent first. Passes
/// come with every event, so each may cost little; every tenth of a second one tries them all.
const MAX_UNPLACED_STEPS: usize = 200;

/// The step that is being placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepPlacement<'a> {
    pub key: StepKey,
    /// The client account of its job.
    pub account: AccountIdx,
    /// The job's acceptance is in the store, so that tasks may start.
    pub durable: bool,
    pub spec: &'a StepSpec,
    pub queue: &'a Queue,
}

/// A task that may be started.
#[derive(Clone, Copy, Debug)]
struct ReadyTask {
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
    pub(crate) fn run_pass(&mut self, now: Millis, full: bool, out: &mut Vec<Order>) {
        self.expire_advice_calls(now);
        let steps = self.waiting_steps(now);
        if steps.is_empty() {
            return;
        }
        self.recount_usage();
        let usable = self.workers.iter().filter(|(_, w)| w.usable(now) && w.recorded);
        let rooms = usable.map(|(i, w)| CandidateWorker::of(i, w, now)).collect();
        let asks_again = full || std::mem::take(&mut self.slow_call_answered);
        let mut pass = Pass::new(now, asks_again, rooms);
        let mut tries = if full { usize::MAX } else { MAX_UNPLACED_STEPS };
        for waiting in steps {
            let before = out.len();
            self.place_step(&mut pass, &waiting, out);
            self.stats.tried += 1;
            tries -= usize::from(out.len() == before);
            if tries == 0 {
                break;
            }
        }
        for (waiting, plan) in std::mem::take(&mut pass.deferred_gangs) {
            self.ask_concurrently(&pass, &waiting, plan.as_ref(), out);
        }
    }

    /// Makes another call for a gang beside the one under way.
    fn ask_concurrently(
        &mut self,
        pass: &Pass,
        waiting: &WaitingStep,
        plan: Option<&StartPlan>,
        out: &mut Vec<Order>,
    ) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.placement_inputs(key) else { return };
        let Some(spec) = job.steps.get(key.step as usize) else { return };
        let gang = StepPlacement { key, account, durable: waiting.durable, spec, queue: &queue };
        self.ask_for_gang(pass, gang, plan, out);
    }

    /// Returns what a step is placed by: its job's specification, its queue and its client account.
    fn placement_inputs(&self, key: StepKey) -> Option<(Arc<JobSpec>, Arc<Queue>, AccountIdx)> {
        let job = self.jobs.get(key.job)?;
        let queue = self.queues.get(&job.queue)?;
        Some((job.spec.clone(), queue.clone(), job.account))
    }

    fn place_step(&mut self, pass: &mut Pass, waiting: &WaitingStep, out: &mut Vec<Order>) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.placement_inputs(key) else { return };
        let Some(spec) = job.steps.get(key.step as usize) else { return };
        let step = StepPlacement { key, account, durable: waiting.durable, spec, queue: &queue };
        if spec.gang {
            self.place_gang(pass, waiting, step, out);
        } else {
            self.place_tasks(pass, step, out);
        }
    }

    fn place_tasks(&mut self, pass: &mut Pass, step: StepPlacement<'_>, out: &mut Vec<Order>) {
        let tasks = self.waiting_tasks(step.key, pass.now);
        let waiting = tasks.len();
        let (started, shunned) =
            if step.durable { self.start_tasks(pass, step, tasks, out) } else { (0, None) };
        // What the account's quota holds back needs neither advice nor room.
        let room = step.spec.allocation();
        let left = self.accounts.allowed_count(step.account, &room, waiting - started);
        if left == 0 {
            return;
        }
        if let Some(cost) = self.single_call_cost(pass, step)
            && let Some(workers) = self.workers_to_ask_for(pass, step, left, shunned)
        {
            self.ask(AdviceCall { step: step.key, workers, cost }, pass.now, out);
        }
        // After asking, which goes by the room that is not kept for others.
        if step.durable {
            self.reserve_for_large(pass, step, left);
        }
    }

    /// Starts tasks of a step for as long as there is room. Returns how many, and the worker
    /// that the first one without room has failed on, if it needs another one.
    fn start_tasks(
        &mut self,
        pass: &mut Pass,
        step: StepPlacement<'_>,
        tasks: Vec<ReadyTask>,
        out: &mut Vec<Order>,
    ) -> (usize, Option<WorkerIdx>) {
        let floor = self.jobs.get(step.key.job).map_or(0, |j| j.run_floor(self.epoch));
        let mut started = 0;
        for ReadyTask { index, run, avoid, suspect } in tasks {
            if !self.accounts.allows(step.account, &step.spec.allocation(), 1) {
                return (started, None);
            }
            let avoid = avoid.filter(|&w| self.has_alternative_to(pass, step, w));
            let Some(at) = self.cheapest_candidate(pass, step, avoid, suspect) else {
                return (started, avoid);
            };
            pass.candidates[at].allocate(&step.spec.allocation());
            if suspect {
                pass.candidates[at].close();
            }
            self.accounts.add_usage(step.account, &step.spec.allocation());
            let idx = pass.candidates[at].idx;
            let p = Placement { idx, task: step.key.task(index), run: run.max(floor) + 1 };
            self.start_task(p, pass.now, out);
            started += 1;
        }
        (started, None)
    }

    /// Returns the tasks of a step that may be started.
    fn waiting_tasks(&self, key: StepKey, now: Millis) -> Vec<ReadyTask> {
        let Some(step) = self.jobs.step(key) else { return Vec::new() };
        let tasks = step.tasks.iter().enumerate().filter(|(_, t)| t.waits(now));
        let candidate = |(index, t): (usize, &Task)| ReadyTask {
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
    fn has_alternative_to(&self, pass: &Pass, step: StepPlacement<'_>, w: WorkerIdx) -> bool {
        let may =
            |r: &CandidateWorker| self.advice_status(step, r.idx, pass.now) != AdviceStatus::Denied;
        pass.candidates.iter().any(|r| r.idx != w && may(r) && self.is_eligible(r, step))
    }

    /// Tells whether the step may run on a worker at all, advice aside.
    pub(crate) fn is_eligible(&self, room: &CandidateWorker, step: StepPlacement<'_>) -> bool {
        let StepPlacement { key, spec, queue, .. } = step;
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
    pub(crate) fn advice_status(
        &self,
        step: StepPlacement<'_>,
        idx: WorkerIdx,
        now: Millis,
    ) -> AdviceStatus {
        if step.queue.advice.is_none() {
            return AdviceStatus::ValidTicket;
        }
        self.jobs.step(step.key).map_or(AdviceStatus::Unknown, |s| s.advice.advice_status(idx, now))
    }

    /// Returns the best room for one task.
    fn cheapest_candidate(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        avoid: Option<WorkerIdx>,
        suspect: bool,
    ) -> Option<usize> {
        let need = step.spec.allocation();
        if !pass.may_fit(&need) {
            return None;
        }
        let ends = pass.now + Millis(step.spec.estimate_ms);
        let fits = |&at: &usize| {
            let r = &pass.candidates[at];
            Some(r.idx) != avoid && r.fits(&need, ends) && self.is_eligible(r, step)
        };
        let cost = |at: usize| {
            let room = &pass.candidates[at];
            (at, if suspect { room.crash_impact_cost() } else { room.cost(step.spec) })
        };
        let less = |a: &(usize, f32), b: &(usize, f32)| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0));
        let rooms = self.candidates_with(pass, step, AdviceStatus::ValidTicket);
        rooms.filter(fits).map(cost).min_by(less).map(|(at, _)| at)
    }

    /// Returns the positions of the rooms where the step has that standing. Where advice is
    /// needed, only the few that it allows are gone through.
    pub(crate) fn candidates_with(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        standing: AdviceStatus,
    ) -> impl Iterator<Item = usize> {
        let advised = step.queue.advice.is_some();
        let advice = self.jobs.step(step.key).map(|s| &s.advice).filter(|_| advised);
        let allowed = advice.into_iter().flat_map(StepAdvice::allowed);
        let now = pass.now;
        let good = allowed.filter(move |&(_, t)| t.advice_status(now) == standing);
        let everywhere = if advised { 0 } else { pass.candidates.len() };
        (0..everywhere).chain(good.filter_map(|(w, _)| pass.position_of(w)))
    }
}
