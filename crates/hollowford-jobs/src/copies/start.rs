//! Finds runs that need a copy and starts the copies, after a pass has placed the waiting steps.

use super::decision::{CopyBudget, CopyCause, RunState, SLOW_QUANTILE, is_spare};
use crate::advice::AdviceStatus;
use crate::candidate::rack_label;
use crate::crash_record::RunStage;
use crate::crashes::LostRun;
use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::job::{JobState, RUNS_PER_EPOCH, Task};

use crate::order::{EndKind, Order};
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::Queue;
use crate::spec::{JobSpec, StepKey, TaskKey};
use crate::urgency::WaitingStep;
use crate::worker::{MIN_SILENT_CALLS, Worker};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::{Millis, Resources};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::sync::Arc;

/// Run numbers of an epoch that copies may use for a task; the others are left to ordinary starts.
const COPY_RUNS_PER_EPOCH: u32 = RUNS_PER_EPOCH / 2;
/// Number of waiting steps that are still in time from which no copy is started. The backlog then
/// uses all capacity, and each of the steps would have to be compared with each worker.
const MAX_IN_TIME_STEPS: usize = 200;

/// A run that needs a copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Straggler {
    task: TaskKey,
    worker: WorkerIdx,
    state: RunState,
}

/// A step that waits, is still in time and is not held back by a quota.
struct InTimeStep {
    key: StepKey,
    job: Arc<JobSpec>,
    queue: Arc<Queue>,
    durable: bool,
}

impl Engine {
    /// Returns the runs that may need a copy, the oldest first.
    pub(crate) fn stragglers(&self, now: Millis) -> Vec<Straggler> {
        if !self.features.task_copies {
            return Vec::new();
        }
        let mut out = Vec::new();
        for (idx, w) in self.workers.iter() {
            for h in w.held.iter().filter(|h| h.may_be_copied) {
                let state = self.run_state(idx, w, h, now);
                let new_run = self.expected_run_time(h.task.step);
                if state.copy_cause(new_run).is_some() && self.may_be_copied(idx, w, h, now) {
                    out.push(Straggler { task: h.task, worker: idx, state });
                }
            }
        }
        out.sort_unstable_by_key(|s| (Reverse(s.state.age), s.task));
        out
    }

    /// Returns true if a held run is the only one of its task, and the task may have another. A run
    /// whose worker fell silent shortly after the start may have crashed it; a copy would take down
    /// another worker before that is known.
    fn may_be_copied(&self, idx: WorkerIdx, w: &Worker, h: &HeldTask, now: Millis) -> bool {
        let is_silent = w.unanswered_calls >= MIN_SILENT_CALLS;
        if is_silent && LostRun::of(h, w.last_answer, now).stage == RunStage::Fresh {
            return false;
        }
        let Some(job) = self.jobs.get(h.task.step.job).filter(|j| j.end.is_none()) else {
            return false;
        };
        let max_attempts = self.max_attempts(job.id);
        let last_run_of_copies = job.run_floor(self.epoch) + COPY_RUNS_PER_EPOCH;
        self.jobs.task(h.task).is_some_and(|t: &Task| {
            !t.done
                && t.copy.is_none()
                && t.has_run(idx, h.run)
                && !t.unsettled_copy
                && !t.has_crash_record()
                && t.not_before <= now
                && t.last_run < last_run_of_copies
                && (t.failed_runs.len() as u32) < max_attempts
        })
    }

    fn run_state(&self, idx: WorkerIdx, w: &Worker, h: &HeldTask, now: Millis) -> RunState {
        let estimate = self.jobs.step_spec(h.task.step).map_or(0, |s| s.estimate_ms);
        let is_silent = w.unanswered_calls >= MIN_SILENT_CALLS;
        let given_up_at = w.lease_expiry().map(|at| at + self.time_limits.stop_timeout);
        let (first_progress, first_at) = h.first_progress.unwrap_or((h.progress, h.reported_at));
        RunState {
            estimate: Millis(estimate),
            age: now.since(h.since),
            silent_until_given_up: given_up_at.filter(|_| is_silent).map(|at| at - now),
            running: h.phase == Phase::Running,
            progress: h.progress,
            gained: h.progress.saturating_sub(first_progress),
            observed: h.reported_at.since(first_at),
            unchanged: h.reported_at.since(h.progressed_at),
            reported_ago: now.since(h.reported_at),
            usual_limit: self.usual_limit(h.task.step, Millis(estimate), idx),
        }
    }

    /// Returns the run time on a worker that few tasks of the step's queue exceed.
    fn usual_limit(&self, key: StepKey, estimate: Millis, idx: WorkerIdx) -> Option<Millis> {
        let queue = &self.jobs.get(key.job)?.queue;
        let ordinary = self.run_times.quantile(queue, estimate, SLOW_QUANTILE)?;
        let slowness = f64::from(self.run_times.slowness(idx));
        Some(Millis((ordinary.0 as f64 * slowness) as u64))
    }

    /// Starts copies in the capacity that the pass has left.
    pub(crate) fn start_copies(
        &mut self,
        pass: &mut Pass,
        stragglers: &[Straggler],
        waiting: &[WaitingStep],
        out: &mut Vec<Order>,
    ) {
        let Some(in_time) = self.in_time_steps(pass, waiting) else { return };
        let mut budgets: FxHashMap<Arc<str>, CopyBudget> = FxHashMap::default();
        for straggler in stragglers {
            let key = straggler.task.step;
            let Some((job, queue, account)) = self.placement_inputs(key) else { continue };
            let Some(spec) = job.steps.get(key.step as usize) else { continue };
            // The straggler is late, so that its copy goes to a fast worker.
            let (run_time, headroom) = (self.expected_run_time(key), 0.0);
            let durable = true;
            let step =
                StepPlacement { key, account, durable, spec, queue: &queue, run_time, headroom };
            let budget = budgets
                .entry(queue.pool.clone())
                .or_insert_with(|| self.copy_budget(pass, &queue.pool));
            let need = spec.allocation();
            if budget.allows(&need) && self.start_copy(pass, step, straggler, &in_time, out) {
                budget.add(&need);
            }
        }
    }

    /// Returns the waiting steps that are still in time and may start more tasks; `None` if there
    /// are too many.
    fn in_time_steps(&self, pass: &Pass, waiting: &[WaitingStep]) -> Option<Vec<InTimeStep>> {
        let mut steps = Vec::new();
        for w in waiting.iter().filter(|w| w.urgency.is_in_time()) {
            let key = w.key;
            let startable = self.jobs.step(key).map_or(0, |s| s.count_startable(pass.now));
            let Some((job, queue, account)) = self.placement_inputs(key) else { continue };
            let spec = &job.steps[key.step as usize];
            let count = if spec.gang { spec.count } else { 1 };
            if startable == 0 || !self.accounts.allows(account, &spec.allocation(), count) {
                continue;
            }
            if steps.len() == MAX_IN_TIME_STEPS {
                return None;
            }
            steps.push(InTimeStep { key, job, queue, durable: w.durable });
        }
        Some(steps)
    }

    /// Starts the copy of a straggler if its account's quota allows it and a worker can take it.
    /// Returns true if it was started.
    fn start_copy(
        &mut self,
        pass: &mut Pass,
        step: StepPlacement<'_>,
        straggler: &Straggler,
        in_time: &[InTimeStep],
        out: &mut Vec<Order>,
    ) -> bool {
        let key = straggler.task;
        let need = step.spec.allocation();
        if !self.accounts.allows(step.account, &need, 1) {
            return false;
        }
        let Some((at, cause)) = self.copy_candidate(pass, step, straggler, in_time) else {
            return false;
        };
        let Some(task) = self.jobs.task(key) else { return false };
        let floor = self.jobs.get(key.step.job).map_or(0, |j| j.run_floor(self.epoch));
        let (first_run, run) = (task.run, task.last_run.max(floor) + 1);
        pass.candidates[at].allocate(&need);
        self.accounts.add_usage(step.account, &need);
        let idx = pass.candidates[at].idx;
        self.start_task(Placement { idx, task: key, run }, pass.now, out);
        self.stats.copies += 1;
        if let Some(worker) = self.workers.get(idx).map(|w| w.life.clone()) {
            self.events.push(Event::TaskCopied { task: key, run, worker, first_run, cause });
        }
        true
    }

    /// Returns what the copies in a pool take and may take.
    fn copy_budget(&self, pass: &Pass, pool: &Arc<str>) -> CopyBudget {
        let mut budget = CopyBudget::default();
        for c in pass.candidates.iter().filter(|c| c.pool == *pool) {
            budget.pool.add(&c.capacity);
        }
        // A copy whose first run has left is an ordinary run.
        let is_second = |h: &&HeldTask| {
            h.is_copy && self.jobs.task(h.task).is_none_or(|t| t.done || t.copy.is_some())
        };
        for (_, w) in self.workers.iter().filter(|(_, w)| w.pool == *pool) {
            for h in w.held.iter().filter(is_second) {
                budget.add(&h.allocation);
            }
        }
        budget
    }

    /// Returns the position of the best candidate for a copy, and why the copy is worth it there.
    /// A candidate in another rack than the first run's is preferred, because a rack may be
    /// disconnected as a whole.
    fn copy_candidate(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        straggler: &Straggler,
        in_time: &[InTimeStep],
    ) -> Option<(usize, CopyCause)> {
        let key = straggler.task;
        let need = step.spec.allocation();
        if !pass.may_fit(&need) {
            return None;
        }
        let first = self.workers.get(straggler.worker)?;
        let first_rack = rack_label(&first.labels);
        let avoid = self.jobs.task(key)?.avoided_worker(pass.now);
        let expected = self.expected_run_time(step.key);
        let is_usable = |&at: &usize| {
            let c = &pass.candidates[at];
            let holds_task = |w: &Worker| w.held.iter().any(|h| h.task == key);
            c.idx != straggler.worker
                && Some(c.idx) != avoid
                && !c.recently_failed
                && self.is_eligible(c, step)
                && !self.workers.get(c.idx).is_some_and(holds_task)
                && is_spare(c, &need, self.needs_on(pass, at, in_time))
        };
        let rated = |at: usize| {
            let c = &pass.candidates[at];
            let new_run = Millis((expected.0 as f64 * f64::from(c.slowness)) as u64);
            let cause = straggler.state.copy_cause(new_run)?;
            let same_rack = first_rack.is_some() && c.rack.as_ref() == first_rack;
            Some(((same_rack, c.cost(&step)), at, cause))
        };
        let candidates = self.candidates_with(pass, step, AdviceStatus::ValidTicket);
        let best = candidates
            .filter(is_usable)
            .filter_map(rated)
            .min_by(|(a, i, _), (b, j, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(i.cmp(j)));
        best.map(|(_, at, cause)| (at, cause))
    }

    /// Returns the resources of one task of each waiting step that may use a candidate.
    fn needs_on<'a>(
        &'a self,
        pass: &'a Pass,
        at: usize,
        in_time: &'a [InTimeStep],
    ) -> impl Iterator<Item = Resources> + 'a {
        let candidate = &pass.candidates[at];
        in_time.iter().filter_map(move |s| {
            let spec = s.job.steps.get(s.key.step as usize)?;
            let account = self.jobs.get(s.key.job)?.account;
            let (key, durable, queue) = (s.key, s.durable, &*s.queue);
            let (run_time, headroom) = (Millis(0), f32::INFINITY);
            let step = StepPlacement { key, account, durable, spec, queue, run_time, headroom };
            let is_denied =
                self.advice_status(step, candidate.idx, pass.now) == AdviceStatus::Denied;
            (!is_denied && self.is_eligible(candidate, step)).then(|| spec.allocation())
        })
    }

    /// Counts the end of a copy by its outcome. `kind` is how it ended, or `None` if it was given
    /// up.
    pub(crate) fn count_copy_end(&mut self, key: TaskKey, kind: Option<EndKind>) {
        let job_completed =
            || self.jobs.ended(key.step.job).is_some_and(|e| e.state == JobState::Completed);
        let other_was_first = self.jobs.task(key).map_or_else(job_completed, |t| t.done);
        let counter = match kind {
            Some(EndKind::Failed) => &mut self.stats.copies_failed,
            _ if other_was_first => &mut self.stats.copies_lost,
            Some(EndKind::Done) => &mut self.stats.copies_won,
            _ => &mut self.stats.copies_stopped,
        };
        *counter += 1;
    }
}
