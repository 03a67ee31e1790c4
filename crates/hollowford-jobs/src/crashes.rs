//! Crashes of workers, and the tasks that were on them.
//!
//! A crashed worker reports no ends, so its tasks would be restarted forever, and a task that
//! crashes its workers would take down one worker after another, with everything that runs there.
//! Crashes are therefore counted per task, and a task's job fails after a limited number.
//!
//! The counts must survive a change of owner. A task with a crash record starts only once the
//! record and the row that names the new run are stored, so that another owner counts the same.
//! Everything that a task waits for is certain to happen: a run is closed by its end, by an answer
//! of its worker, by the next incarnation of the worker or after `WORKER_RETURN_TIMEOUT`, which
//! starts again with each new owner; a row is either stored or written again when the store refuses
//! it.
//!
//! A crash is known only once the worker's next incarnation answers, because a partitioned worker
//! is silent too. The leases of its tasks may have expired by then and the tasks may run elsewhere:
//! such runs stay open until the worker answers.

use crate::crash_record::{CrashRecord, RunStage};
use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::job::{JobState, Task};
use crate::rows::WorkerAddress;
use crate::spec::TaskKey;
use crate::worker_life::WorkerLife;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// Time within which a crashed worker usually returns; a few seconds are common. Runs lost on a
/// worker that returns later are closed without counting a crash.
const WORKER_RETURN_TIMEOUT: Millis = Millis(15_000);
/// A confirmed run counts as fresh if its worker was last heard less than this time after the
/// start. A task that crashes workers does so at its start, and most other tasks on the worker have
/// run for longer. A start that was not confirmed may have reached the worker after the crash.
pub(crate) const FRESH_PERIOD: Millis = Millis(500);
/// Run time after which a task is cleared of suspicion: a task that crashes workers does so at its
/// start. This keeps unrelated crashes, years apart, from adding up for a service task.
pub(crate) const CLEARING_RUN_TIME: Millis = Millis(10_000);

/// Time for which the row of workers keeps a crashed incarnation. Starts ordered there by a lost
/// owner may be in no row, so each later owner has to consider them until the tasks have run again.
const CRASHED_INCARNATION_RETENTION: Millis = Millis(60_000);

/// An incarnation that has crashed.
#[derive(Clone, Debug)]
pub(crate) struct CrashedIncarnation {
    pub address: WorkerAddress,
    /// Until when the row of workers contains it.
    until: Millis,
}

/// A run on a worker that was silent until its lease expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub task: TaskKey,
    pub run: u32,
    pub stage: RunStage,
    /// When it was given up.
    pub since: Millis,
}

impl LostRun {
    /// Creates the record of a lost run whose worker was last heard at `heard`.
    pub(crate) fn of(h: &HeldTask, heard: Millis, now: Millis) -> LostRun {
        let stage = match h.phase {
            Phase::Running if heard < h.since + FRESH_PERIOD => RunStage::Fresh,
            Phase::Running => RunStage::Stable,
            Phase::Starting | Phase::Stopping => RunStage::Unconfirmed,
        };
        LostRun { task: h.task, run: h.run, stage, since: now }
    }
}

impl Engine {
    /// Records that a worker has crashed. Counts the crash for the tasks that were on it, and fails
    /// the jobs of those that reach the limit.
    pub(crate) fn record_crash(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let worker = w.life.clone();
        let may_run =
            |h: &&HeldTask| h.phase != Phase::Starting || h.start_unanswered || h.call_in_flight;
        let held = w.held.iter().filter(may_run);
        let mut runs: Vec<_> = held.map(|h| LostRun::of(h, w.last_answer, now)).collect();
        runs.extend(&w.lost_runs);
        let address = WorkerAddress { life: w.life.clone(), address: w.address.clone() };
        self.crashed_incarnations.retain(|c| c.until > now);
        self.crashed_incarnations
            .push(CrashedIncarnation { address, until: now + CRASHED_INCARNATION_RETENTION });
        self.stats.crashes += 1;
        if self.unsettled_workers.contains(&idx) {
            self.track_unsettled_tasks();
        }
        // A suspect task that has just been started is the likely cause, so the crash is not
        // counted for runs that were stable by then.
        let has_likely_cause =
            runs.iter().any(|r| r.stage == RunStage::Fresh && self.is_suspect(r.task));
        for run in runs {
            if has_likely_cause && run.stage == RunStage::Stable {
                self.close_run(run.task, run.run);
            } else {
                self.count_crash(run, &worker, now);
            }
        }
    }

    fn is_suspect(&self, key: TaskKey) -> bool {
        self.jobs.task(key).is_some_and(Task::is_suspect)
    }

    /// Counts a crash for a task that is not done, and fails its job if the limit is reached.
    fn count_crash(&mut self, r: LostRun, worker: &WorkerLife, now: Millis) {
        let LostRun { task: key, run, stage, .. } = r;
        let job = key.step.job;
        if self.jobs.get(job).is_none_or(|j| j.end.is_some()) {
            return;
        }
        let store_first = stage != RunStage::Stable;
        let Some(crash_record) = self.jobs.crash_record_mut(key, store_first) else { return };
        if !crash_record.record_crash(run, stage) {
            return;
        }
        let (crashes, limit_reached) =
            (crash_record.crashed_runs.len(), crash_record.reaches_crash_limit());
        let (worker, fresh) = (worker.clone(), stage == RunStage::Fresh);
        let event = Event::WorkerCrashed { task: key, run, worker, fresh, stage, crashes };
        self.events.push(event);
        if limit_reached {
            self.stats.crashing_jobs += 1;
            self.end_job(job, JobState::Failed, now);
        }
    }

    /// Records, in the store too, the start of a task that has a crash record.
    pub(crate) fn record_open_run(&mut self, p: Placement) {
        let Some(worker) = self.workers.get(p.idx).map(|w| w.life.clone()) else { return };
        if self.jobs.task(p.task).is_none_or(|t| t.crash_record.is_none()) {
            return;
        }
        let Some(crash_record) = self.jobs.crash_record_mut(p.task, true) else { return };
        crash_record.open_run(p.run, &worker, true);
    }

    /// Records that a worker's tasks are given up while it is unknown whether the worker has
    /// crashed.
    pub(crate) fn record_lost_runs(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let life = w.life.clone();
        for h in &w.held {
            let (key, run) = (h.task, h.run);
            let is_current = |t: &Task| !t.done && t.has_run(idx, run);
            if !self.jobs.task(key).is_some_and(is_current) {
                continue;
            }
            let lost = LostRun::of(h, w.last_answer, now);
            let store_first = lost.stage != RunStage::Stable;
            let Some(crash_record) = self.jobs.crash_record_mut(key, store_first) else { continue };
            crash_record.open_run(run, &life, lost.stage == RunStage::Fresh);
            w.lost_runs.push(lost);
        }
    }

    /// Records that a worker has not crashed under its lost runs: it answers, or has left.
    pub(crate) fn close_lost_runs(&mut self, idx: WorkerIdx) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        for lost in std::mem::take(&mut w.lost_runs) {
            self.close_run(lost.task, lost.run);
        }
    }

    /// Records that no worker has crashed under a run. This is stored too; otherwise the next owner
    /// would count a later crash of that worker for the task.
    pub(crate) fn close_run(&mut self, task: TaskKey, run: u32) {
        let Some(t) = self.jobs.task_mut(task) else { return };
        if t.crash_record.as_mut().is_some_and(|c| c.close_run(run)) {
            self.jobs.mark_task_unwritten(task);
        }
    }

    /// Records, in the store too, that a run is no longer fresh.
    pub(crate) fn record_stable(&mut self, p: Placement) {
        let Some(task) = self.jobs.task_mut(p.task) else { return };
        if task.crash_record.as_mut().is_some_and(|c| c.mark_stable(p.run)) {
            self.jobs.mark_task_unwritten(p.task);
        }
    }

    /// Closes lost runs whose worker has not returned in time.
    pub(crate) fn expire_lost_runs(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let is_expired = |l: &mut LostRun| now.since(l.since) >= WORKER_RETURN_TIMEOUT;
        for lost in w.lost_runs.extract_if(.., is_expired).collect::<Vec<_>>() {
            self.close_run(lost.task, lost.run);
        }
    }

    /// Removes the crash record of a task of which a run has lasted long enough.
    pub(crate) fn clear_crash_record(&mut self, key: TaskKey) {
        let Some(task) = self.jobs.task_mut(key) else { return };
        let runs: Vec<_> = task.runs().collect();
        if task.crash_record.take().is_some() {
            self.jobs.mark_task_unwritten(key);
        }
        for r in runs {
            if let Some(w) = self.workers.get_mut(r.worker) {
                w.clear_suspect(key, r.run);
            }
        }
    }

    /// Gives a crash record to every task that an earlier owner may have started on a worker that
    /// this owner has never heard from, so that their starts are stored. One of these tasks may
    /// have crashed the worker, and no row records which one: a takeover can hide one crash of a
    /// task, but no later ones.
    pub(crate) fn track_unsettled_tasks(&mut self) {
        for id in self.jobs.ids() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let steps = job.rounds.iter_mut().flat_map(|r| &mut r.steps);
            for task in steps
                .flat_map(|s| &mut s.tasks)
                .filter(|t| t.unsettled || (t.unsettled_copy && !t.done))
            {
                task.crash_record.get_or_insert_default();
            }
        }
    }

    /// Restores a crash record that an earlier owner stored.
    pub(crate) fn recover_crash_record(
        &mut self,
        key: TaskKey,
        mut found: CrashRecord,
        now: Millis,
    ) {
        found.open_runs.retain(|r| self.workers.find(&r.worker).is_some());
        if self.store_outage_before {
            let newly_uncertain = found.open_runs.iter_mut().filter(|r| r.fresh && !r.uncertain);
            if newly_uncertain.map(|r| r.uncertain = true).count() > 0 {
                // A later owner doesn't know of this outage.
                self.jobs.mark_task_unwritten(key);
            }
        }
        for r in &found.open_runs {
            let idx = self.workers.find(&r.worker);
            if let Some(w) = idx.and_then(|idx| self.workers.get_mut(idx)) {
                let stage = r.stage();
                w.lost_runs.push(LostRun { task: key, run: r.run, stage, since: now });
            }
        }
        let (crashes, open) = (found.crashed_runs.len(), found.open_runs.len());
        self.events.push(Event::CrashRecordRecovered { task: key, crashes, open });
        if let Some(task) = self.jobs.task_mut(key) {
            task.crash_record = Some(Box::new(found));
        }
        if let Some(job) = self.jobs.get_mut(key.step.job) {
            job.has_crash_record = true;
        }
    }

    /// Returns the number of tasks that wait only for the outcome of their earlier runs.
    pub(crate) fn count_held_back(&self) -> usize {
        let steps = self.jobs.waiting().filter_map(|&key| self.jobs.step(key));
        steps.flat_map(|s| &s.tasks).filter(|t| t.is_held_back()).count()
    }
}
