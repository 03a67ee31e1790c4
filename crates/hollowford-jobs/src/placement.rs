//! Placement passes: starting the tasks of waiting steps on workers.

use crate::accounts::AccountIdx;
use crate::advice::{AdviceCall, AdviceRequest, AdviceStatus, StepAdvice};
use crate::candidate::CandidateWorker;
use crate::engine::Engine;
use crate::job::Task;
use crate::order::Order;
use crate::pass::Pass;
use crate::queue::Queue;
use crate::reservation::StartPlan;
use crate::spec::{JobSpec, StepKey, StepSpec};
use crate::urgency::WaitingStep;
use crate::worker::Worker;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;
use std::sync::Arc;

/// Maximum number of steps that a pass tries without placing any of their tasks, the most urgent
/// first. Passes run after every event, so each must be cheap; full passes have no limit.
const MAX_UNPLACED_STEPS: usize = 200;

/// The step that is being placed, with the data that decides where it may go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepPlacement<'a> {
    pub key: StepKey,
    /// The client account of the step's job.
    pub account: AccountIdx,
    /// Whether the job's acceptance is in the store; no task starts before.
    pub durable: bool,
    pub spec: &'a StepSpec,
    pub queue: &'a Queue,
    /// Expected run time of a task on an ordinary worker.
    pub run_time: Millis,
    /// Time until the tasks must be done for the job to meet its objective, as a multiple of
    /// [`StepPlacement::run_time`].
    pub headroom: f32,
}

/// A task that may be started.
#[derive(Clone, Copy, Debug)]
struct ReadyTask {
    index: u32,
    /// Highest run number known for the task.
    run: u32,
    /// Worker that the task avoids because it failed there.
    avoid: Option<WorkerIdx>,
    /// Whether a worker has crashed while running the task.
    suspect: bool,
}

impl Engine {
    /// Runs one pass: starts the tasks that can be started and asks for missing advice. A full pass
    /// tries all waiting steps.
    pub(crate) fn run_pass(&mut self, now: Millis, is_full: bool, out: &mut Vec<Order>) {
        self.expire_advice_calls(now);
        self.expire_unused_advice(now);
        if is_full {
            self.update_shares(now);
        }
        if !self.renews_leases {
            return;
        }
        let steps = self.waiting_steps(now);
        let stragglers = if is_full { self.stragglers(now) } else { Vec::new() };
        if steps.is_empty() && is_full {
            self.record_contention(&[], now);
        }
        if steps.is_empty() && stragglers.is_empty() {
            return;
        }
        self.recount_usage();
        let candidates = self.candidates(now);
        let may_ask_again = is_full || std::mem::take(&mut self.slow_call_answered);
        let mut pass = Pass::new(now, may_ask_again, candidates);
        let mut tries_left = if is_full { usize::MAX } else { MAX_UNPLACED_STEPS };
        for waiting in &steps {
            let orders_before = out.len();
            self.place_step(&mut pass, waiting, out);
            self.stats.tried += 1;
            tries_left -= usize::from(out.len() == orders_before);
            if tries_left == 0 {
                break;
            }
        }
        self.make_scheduled_calls(&mut pass, out);
        for (waiting, plan) in std::mem::take(&mut pass.deferred_gangs) {
            self.ask_concurrently(&pass, &waiting, plan.as_ref(), out);
        }
        if !stragglers.is_empty() {
            self.start_copies(&mut pass, &stragglers, &steps, out);
        }
        if is_full {
            self.update_contention(&pass, &steps);
        }
    }

    /// Returns the workers that may get tasks.
    pub(crate) fn candidates(&self, now: Millis) -> Vec<CandidateWorker> {
        let has_learned = self.run_times.has_learned();
        let candidate = |(idx, w): (WorkerIdx, &Worker)| {
            let learned = self.run_times.slowness(idx);
            let recent = if has_learned { w.recent_slowness(now) } else { w.slowness };
            CandidateWorker::from_worker(idx, w, (learned, recent), now)
        };
        let usable = self.workers.iter().filter(|(_, w)| w.is_usable(now) && w.recorded);
        usable.map(candidate).collect()
    }

    /// Makes another advice call for a gang while one is pending.
    fn ask_concurrently(
        &mut self,
        pass: &Pass,
        waiting: &WaitingStep,
        plan: Option<&StartPlan>,
        out: &mut Vec<Order>,
    ) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.placement_inputs(key) else { return };
        let Some(gang) = self.placement_of(&job, &queue, account, waiting, pass.now) else {
            return;
        };
        self.ask_for_gang(pass, gang, plan, out);
    }

    /// Returns the specification, queue and client account of a step's job.
    pub(crate) fn placement_inputs(
        &self,
        key: StepKey,
    ) -> Option<(Arc<JobSpec>, Arc<Queue>, AccountIdx)> {
        let job = self.jobs.get(key.job)?;
        let queue = self.queues.get(&job.queue)?;
        Some((job.spec.clone(), queue.clone(), job.account))
    }

    /// Returns the data that decides where a waiting step may go.
    pub(crate) fn placement_of<'a>(
        &self,
        job: &'a JobSpec,
        queue: &'a Queue,
        account: AccountIdx,
        waiting: &WaitingStep,
        now: Millis,
    ) -> Option<StepPlacement<'a>> {
        let (key, durable) = (waiting.key, waiting.durable);
        let spec = job.steps.get(key.step as usize)?;
        let (run_time, headroom) = self.time_needs(waiting, now);
        Some(StepPlacement { key, account, durable, spec, queue, run_time, headroom })
    }

    /// Returns a step's expected run time on an ordinary worker, and the time until its tasks must
    /// be done as a multiple of that.
    fn time_needs(&self, waiting: &WaitingStep, now: Millis) -> (Millis, f32) {
        let run_time = self.expected_run_time(waiting.key);
        let until = (waiting.urgency.latest_start() + run_time).since(now);
        (run_time, until.0 as f32 / run_time.0.max(1) as f32)
    }

    fn place_step(&mut self, pass: &mut Pass, waiting: &WaitingStep, out: &mut Vec<Order>) {
        let key = waiting.key;
        let Some((job, queue, account)) = self.placement_inputs(key) else { return };
        let Some(step) = self.placement_of(&job, &queue, account, waiting, pass.now) else {
            return;
        };
        if step.spec.gang {
            self.place_gang(pass, waiting, step, out);
        } else {
            self.place_tasks(pass, waiting, step, out);
        }
    }

    fn place_tasks(
        &mut self,
        pass: &mut Pass,
        waiting: &WaitingStep,
        step: StepPlacement<'_>,
        out: &mut Vec<Order>,
    ) {
        let tasks = self.waiting_tasks(step.key, pass.now);
        let waiting_count = tasks.len();
        let (started, avoided) =
            if step.durable { self.start_tasks(pass, step, tasks, out) } else { (0, None) };
        // Tasks that the account's quota holds back need neither advice nor capacity.
        let need = step.spec.allocation();
        let remaining = self.accounts.allowed_count(step.account, &need, waiting_count - started);
        if remaining == 0 {
            return;
        }
        if self.schedules_advice(pass, step.queue) {
            let reserved = match step.durable {
                true => self.reserve_for_large_tasks(pass, step, remaining),
                false => Vec::new(),
            };
            let request = AdviceRequest::new(*waiting, remaining);
            pass.advice_requests.push(AdviceRequest { avoided, reserved, ..request });
            return;
        }
        if let Some(cost) = self.single_call_cost(pass, step)
            && let Some(workers) = self.workers_to_ask_for(pass, step, remaining, avoided)
        {
            self.ask_for_advice(AdviceCall { step: step.key, workers, cost }, pass.now, out);
        }
        // Only after asking, which considers unreserved capacity.
        if step.durable {
            self.reserve_for_large_tasks(pass, step, remaining);
        }
    }

    /// Starts tasks of a step until no candidate has capacity or the account's quota is used up.
    /// Returns how many were started, and the worker that the first task without capacity avoids,
    /// if any.
    fn start_tasks(
        &mut self,
        pass: &mut Pass,
        step: StepPlacement<'_>,
        tasks: Vec<ReadyTask>,
        out: &mut Vec<Order>,
    ) -> (usize, Option<WorkerIdx>) {
        let run_floor = self.jobs.get(step.key.job).map_or(0, |j| j.run_floor(self.epoch));
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
            let p = Placement { idx, task: step.key.task(index), run: run.max(run_floor) + 1 };
            self.start_task(p, pass.now, out);
            started += 1;
        }
        (started, None)
    }

    /// Returns the tasks of a step that may be started.
    fn waiting_tasks(&self, key: StepKey, now: Millis) -> Vec<ReadyTask> {
        let Some(step) = self.jobs.step(key) else { return Vec::new() };
        let tasks = step.tasks.iter().enumerate().filter(|(_, t)| t.is_startable(now));
        let ready = |(index, t): (usize, &Task)| ReadyTask {
            index: index as u32,
            run: t.last_run,
            avoid: t.avoided_worker(now),
            suspect: t.is_suspect(),
        };
        let mut tasks: Vec<_> = tasks.map(ready).collect();
        // Tasks without an avoided worker come first, so that one that avoids a worker delays none
        // of them.
        tasks.sort_by_key(|t| t.avoid.is_some());
        tasks
    }

    /// Returns true if the step may run on some worker other than `w`, now or once that worker has
    /// free capacity.
    fn has_alternative_to(&self, pass: &Pass, step: StepPlacement<'_>, w: WorkerIdx) -> bool {
        let is_allowed =
            |c: &CandidateWorker| self.advice_status(step, c.idx, pass.now) != AdviceStatus::Denied;
        pass.candidates.iter().any(|c| c.idx != w && is_allowed(c) && self.is_eligible(c, step))
    }

    /// Returns true if pool, label and the limit of tasks per worker let the step run on a worker.
    pub(crate) fn is_eligible(&self, candidate: &CandidateWorker, step: StepPlacement<'_>) -> bool {
        let StepPlacement { key, spec, queue, .. } = step;
        if !Arc::ptr_eq(&candidate.pool, &queue.pool) && candidate.pool != queue.pool {
            return false;
        }
        if spec.max_per_worker > 0
            && self.jobs.step(key).is_some_and(|s| s.tasks_on(candidate.idx) >= spec.max_per_worker)
        {
            return false;
        }
        spec.required_label.is_empty()
            || self.workers.get(candidate.idx).is_some_and(|w| w.has_label(&spec.required_label))
    }

    /// Returns the advice status of a worker for the step. Every worker has a valid ticket if the
    /// queue needs no advice.
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

    /// Returns the position of the candidate with the lowest cost for one task.
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
        let fits = |&at: &usize| {
            let candidate = &pass.candidates[at];
            Some(candidate.idx) != avoid
                && candidate.fits(&need, candidate.expected_end(pass.now, step.run_time))
                && self.is_eligible(candidate, step)
        };
        let cost = |at: usize| {
            let candidate = &pass.candidates[at];
            (at, if suspect { candidate.crash_impact_cost() } else { candidate.cost(&step) })
        };
        let less = |a: &(usize, f32), b: &(usize, f32)| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0));
        let candidates = self.candidates_with(pass, step, AdviceStatus::ValidTicket);
        candidates.filter(fits).map(cost).min_by(less).map(|(at, _)| at)
    }

    /// Returns the positions of the candidates with an advice status. If the queue needs advice,
    /// only the workers that advice allows are visited.
    pub(crate) fn candidates_with(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        status: AdviceStatus,
    ) -> impl Iterator<Item = usize> {
        let needs_advice = step.queue.advice.is_some();
        let advice = self.jobs.step(step.key).map(|s| &s.advice).filter(|_| needs_advice);
        let allowed = advice.into_iter().flat_map(StepAdvice::allowed);
        let now = pass.now;
        let matching = allowed.filter(move |&(_, t)| t.advice_status(now) == status);
        let unadvised_count = if needs_advice { 0 } else { pass.candidates.len() };
        (0..unadvised_count).chain(matching.filter_map(|(w, _)| pass.position_of(w)))
    }
}
