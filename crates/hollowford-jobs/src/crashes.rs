//! Workers that crash, and the tasks that were on them.
//!
//! A worker that crashes lists no ends, so what it ran would be started again for ever, and a task that
//! crashes its workers would take one after the other down, with all that is beside it. So crashes are
//! counted for each task that was there, and a task is given up after some of them.
//!
//! What is known of a task must outlive its owner. A task with a record starts only once the store has the
//! record, and the row that names the start: another owner then counts as this one does. What a task waits
//! for always comes. A run is closed by its end, by an answer of its worker, by the next life there, or
//! after `BACK_WITHIN`, and each new owner counts that time anew; a row is made, or cut again when the
//! store refuses it.
//!
//! That a worker has crashed is known only once its next life answers, since a worker that is cut off
//! is silent, too. By then the lease on what it held may be over and the tasks run elsewhere: such runs
//! stay open until then.

use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::job::{JobState, Task};
use crate::life::WorkerLife;
use crate::note::Note;
use crate::rows::WorkerAddress;
use crate::spec::TaskKey;
use crate::suspicion::{Stage, Suspicion};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// A crashed worker is back within this time, or not soon enough to tell that it crashed: some seconds
/// are usual.
const BACK_WITHIN: Millis = Millis(15_000);
/// A run that its worker has confirmed is fresh while the worker was not heard for so long after its
/// start: what crashes a worker does so when it is started, and most of what stands beside it has run for
/// longer. A start that was not confirmed may have come after the crash.
pub(crate) const FRESH_FOR: Millis = Millis(500);
/// A run that has worked for so long clears its task: what crashes a worker does so when it is
/// started. It keeps crashes that are years apart from adding up for tasks that last.
pub(crate) const CLEARED_AFTER: Millis = Millis(10_000);

/// A crashed life stands in the row of workers for so long: what was started there by an owner that
/// was lost is in no row, and each later owner has to reckon with it until the tasks have run again.
const NAMED_FOR: Millis = Millis(60_000);

/// A life that has crashed.
#[derive(Clone, Debug)]
pub(crate) struct CrashedLife {
    pub address: WorkerAddress,
    /// The row of workers names it until then.
    until: Millis,
}

/// A run on a worker that fell silent for longer than its lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub task: TaskKey,
    pub run: u32,
    pub stage: Stage,
    /// When it was given up.
    pub since: Millis,
}

impl LostRun {
    /// Makes what is known of a run at `now` whose worker was heard last at `heard`.
    fn of(h: &Held, heard: Millis, now: Millis) -> LostRun {
        let stage = match h.phase {
            Phase::Running if heard < h.since + FRESH_FOR => Stage::Fresh,
            Phase::Running => Stage::Worked,
            Phase::Starting | Phase::Stopping => Stage::Unconfirmed,
        };
        LostRun { task: h.task, run: h.run, stage, since: now }
    }
}

impl Engine {
    /// Takes note that a worker has crashed: counts it for the tasks that were there, and gives up
    /// those that have been there too often.
    pub(crate) fn note_crash(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let worker = w.life.clone();
        let may_run = |h: &&Held| h.phase != Phase::Starting || h.unsure || h.calling;
        let held = w.held.iter().filter(may_run);
        let mut runs: Vec<_> = held.map(|h| LostRun::of(h, w.last_answer, now)).collect();
        runs.extend(&w.lost);
        let address = WorkerAddress { life: w.life.clone(), address: w.address.clone() };
        self.crashed_incarnations.retain(|l| l.until > now);
        self.crashed_incarnations.push(CrashedLife { address, until: now + NAMED_FOR });
        self.stats.crashes += 1;
        if self.unsettled_workers.contains(&idx) {
            self.watch_unsettled();
        }
        // A suspect that has just been started is the likelier cause: what had worked beside it by then
        // is not given up for it.
        let explained = runs.iter().any(|r| r.stage == Stage::Fresh && self.is_suspect(r.task));
        for run in runs {
            if explained && run.stage == Stage::Worked {
                self.close_run(run.task, run.run);
            } else {
                self.count_crash(run, &worker, now);
            }
        }
    }

    fn is_suspect(&self, key: TaskKey) -> bool {
        self.jobs.task(key).is_some_and(Task::is_suspect)
    }

    /// Counts a crash for a task that is not done, and gives its job up if that tells enough.
    fn count_crash(&mut self, r: LostRun, worker: &WorkerLife, now: Millis) {
        let LostRun { task: key, run, stage, .. } = r;
        let job = key.step.job;
        if self.jobs.get(job).is_none_or(|j| j.end.is_some()) {
            return;
        }
        let first = stage != Stage::Worked;
        let Some(suspicion) = self.jobs.change_suspicion(key, first) else { return };
        if !suspicion.crashed(run, stage) {
            return;
        }
        let (crashes, telling) = (suspicion.crashed_runs.len(), suspicion.is_telling());
        let (worker, fresh) = (worker.clone(), stage == Stage::Fresh);
        self.events.push(Note::CrashedUnder { task: key, run, worker, fresh, crashes });
        if telling {
            self.stats.crashing_jobs += 1;
            self.end_job(job, JobState::Failed, now);
        }
    }

    /// Takes note of a start, for a task under which a worker may have crashed: it is written down.
    pub(crate) fn note_open_run(&mut self, p: Placement) {
        let Some(worker) = self.workers.get(p.idx).map(|w| w.life.clone()) else { return };
        if self.jobs.task(p.task).is_none_or(|t| t.suspicion.is_none()) {
            return;
        }
        let Some(suspicion) = self.jobs.change_suspicion(p.task, true) else { return };
        suspicion.opens(p.run, &worker, true);
    }

    /// Takes note that what a worker holds is given up, without knowing whether it has crashed.
    pub(crate) fn note_lost(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let life = w.life.clone();
        for h in &w.held {
            let (key, run) = (h.task, h.run);
            let here = |t: &Task| !t.done && t.at == Some(idx) && t.run == run;
            if !self.jobs.task(key).is_some_and(here) {
                continue;
            }
            let lost = LostRun::of(h, w.last_answer, now);
            let first = lost.stage != Stage::Worked;
            let Some(suspicion) = self.jobs.change_suspicion(key, first) else { continue };
            suspicion.opens(run, &life, lost.stage == Stage::Fresh);
            w.lost.push(lost);
        }
    }

    /// Takes note that a worker has not crashed under what was given up: it lives, or has left.
    pub(crate) fn close_lost(&mut self, idx: WorkerIdx) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        for lost in std::mem::take(&mut w.lost) {
            self.close_run(lost.task, lost.run);
        }
    }

    /// Takes note that no worker has crashed under a run. It is written down, or a crash of that worker
    /// later on would count for the task with the next owner.
    pub(crate) fn close_run(&mut self, task: TaskKey, run: u32) {
        let Some(t) = self.jobs.task_mut(task) else { return };
        if t.suspicion.as_mut().is_some_and(|s| s.closes(run)) {
            self.jobs.progressed(task.step.job);
        }
    }

    /// Takes note that a run has worked for a while, also for the next owner.
    pub(crate) fn note_worked(&mut self, p: Placement) {
        let Some(task) = self.jobs.task_mut(p.task) else { return };
        if task.suspicion.as_mut().is_some_and(|s| s.has_worked(p.run)) {
            self.jobs.progressed(p.task.step.job);
        }
    }

    /// Closes the runs on a worker that isn't back in time.
    pub(crate) fn expire_lost(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let old = |l: &mut LostRun| now.since(l.since) >= BACK_WITHIN;
        for lost in w.lost.extract_if(.., old).collect::<Vec<_>>() {
            self.close_run(lost.task, lost.run);
        }
    }

    /// Clears a task whose run has worked well for long enough.
    pub(crate) fn clear_proven(&mut self, p: Placement) {
        let Some(task) = self.jobs.task_mut(p.task) else { return };
        if task.suspicion.take().is_some() {
            self.jobs.progressed(p.task.step.job);
        }
        if let Some(w) = self.workers.get_mut(p.idx) {
            w.clear_suspect(p.task, p.run);
        }
    }

    /// Has the starts of all tasks written down that an earlier owner may have started on a worker that
    /// this one never heard. One of them may have crashed it, and no row says which: so one crash can be
    /// hidden by a takeover, and the next ones can't.
    pub(crate) fn watch_unsettled(&mut self) {
        for id in self.jobs.ids() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let steps = job.rounds.iter_mut().flat_map(|r| &mut r.steps);
            for task in steps.flat_map(|s| &mut s.tasks).filter(|t| t.unsettled) {
                task.suspicion.get_or_insert_default();
            }
        }
    }

    /// Takes in what an earlier owner had written down of a task.
    pub(crate) fn recover_suspicion(&mut self, key: TaskKey, mut found: Suspicion, now: Millis) {
        found.open_runs.retain(|r| self.workers.find(&r.worker).is_some());
        if self.store_outage_before {
            found.open_runs.iter_mut().filter(|r| r.fresh).for_each(|r| r.untold = true);
        }
        for r in &found.open_runs {
            let idx = self.workers.find(&r.worker);
            if let Some(w) = idx.and_then(|idx| self.workers.get_mut(idx)) {
                let stage = r.stage();
                w.lost.push(LostRun { task: key, run: r.run, stage, since: now });
            }
        }
        let (crashes, open) = (found.crashed_runs.len(), found.open_runs.len());
        self.events.push(Note::Recovered { task: key, crashes, open });
        if let Some(task) = self.jobs.task_mut(key) {
            task.suspicion = Some(Box::new(found));
        }
        if let Some(job) = self.jobs.get_mut(key.step.job) {
            job.is_tracked = true;
        }
    }

    /// Counts the tasks that wait only until it is known what became of earlier runs of theirs.
    pub(crate) fn count_held_back(&self) -> usize {
        let steps = self.jobs.waiting().filter_map(|&key| self.jobs.step(key));
        steps.flat_map(|s| &s.tasks).filter(|t| t.is_held_back()).count()
    }
}
