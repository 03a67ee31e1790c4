//! Orders to start and stop tasks, and the workers' answers to them.

use crate::engine::Engine;
use crate::event::{Event, GiveUpCause};
use crate::held_task::{HeldTask, Phase};
use crate::job::{Step, Task};
use crate::order::{Order, StartAnswer, WorkerCall};
use crate::spec::{StepKey, TaskKey};
use crate::worker_life::WorkerLife;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;
use std::sync::Arc;

/// Time without new tasks for a worker that answered that it is unhealthy.
const UNHEALTHY_PAUSE: Millis = Millis(500);
/// Delay before a task whose start was refused may start again, so that the same refusal doesn't
/// follow at once.
const REFUSED_PAUSE: Millis = Millis(20);
/// Time after which an unanswered start of a member makes the whole gang start again, in percent of
/// the gang timeout.
const GANG_RESTART_PERCENT: u64 = 60;
/// Maximum time that a start waits until its row is in the store.
const UNSENT_START_TIMEOUT: Millis = Millis(500);

impl Engine {
    /// Places a task on a worker and orders its start, at once or after its row is stored.
    pub(crate) fn start_task(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task: key, run } = p;
        let Some(job) = self.jobs.get(key.step.job) else { return };
        let age = now.since(job.accepted_at);
        let spec = &job.spec.steps[key.step.step as usize];
        let run_time = self.expected_run_time_on(key.step, idx);
        let mut held = HeldTask {
            expected_end: now + run_time,
            may_be_copied: spec.allows_copies(),
            ..HeldTask::new((key, run), job.account, spec.allocation(), Phase::Starting, now)
        };
        if let Some(task) = self.jobs.task_mut(key) {
            held.is_copy = task.worker.is_some();
            task.place_run(idx, run);
            held.suspect = task.is_suspect();
        }
        if let Some(w) = self.workers.get_mut(idx) {
            w.hold(held);
            let (worker, free) = (w.life.clone(), w.free);
            self.events.push(Event::TaskStarting { task: key, run, worker, free, age });
        }
        let is_deferred = self.must_be_stored_first(key);
        self.record_open_run(p);
        self.stats.started += 1;
        self.advice_used(key.step);
        if is_deferred {
            if let Some(h) = self.workers.get_mut(idx).and_then(|w| w.find_mut(key, run)) {
                h.unsent = true;
            }
            return;
        }
        self.send_start(p, now, out);
    }

    /// Returns true if a start has to wait until its row is in the store. This holds for tasks with
    /// a record of crashes: if the owner failed in between, the next owner wouldn't know of the
    /// start, and the task could crash one worker more than allowed. The starts of a gang wait
    /// together.
    fn must_be_stored_first(&self, key: TaskKey) -> bool {
        if self.is_gang(key.step) {
            self.jobs.step(key.step).is_some_and(Step::has_crash_record)
        } else {
            self.jobs.task(key).is_some_and(Task::has_crash_record)
        }
    }

    /// Returns true if the row that records a start is in the store.
    fn is_stored(&self, key: TaskKey) -> bool {
        if self.is_gang(key.step) {
            self.jobs.step(key.step).is_none_or(Step::are_crash_records_stored)
        } else {
            self.jobs.task(key).is_none_or(Task::is_crash_record_stored)
        }
    }

    /// Sends a start, unless tasks may not be started now. It is then tried again later.
    fn send_start(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let lease = self.lease();
        if lease.is_none() {
            return;
        }
        let Some(job) = self.jobs.get(task.step.job) else { return };
        let template = job.spec.template.clone();
        let Some(step) = self.jobs.step(task.step) else { return };
        let gang = self.is_gang(task.step);
        let single_task = std::slice::from_ref(&step.tasks[task.index as usize]);
        // All members of a gang start from the same checkpoint.
        let saved = first_checkpoint(if gang { &step.tasks } else { single_task });
        let ticket = step.advice.ticket(idx);
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(lease_until) = w.extend_lease(now, lease) else { return };
        if let Some(h) = w.find_mut(task, run) {
            h.call_in_flight = true;
            h.resumed = !saved.is_empty();
        }
        let limit = w.answer_timeout();
        let call = WorkerCall::Start {
            worker: w.life.clone(),
            address: w.address.clone(),
            task,
            run,
            lease_until,
            template,
            saved,
            ticket,
        };
        out.push(Order::Worker { call, limit });
    }

    /// Processes a worker's answer to a start that was sent at `sent`. Returns true if a newer
    /// owner has claimed the worker.
    pub fn start_answered(
        &mut self,
        life: &WorkerLife,
        (task, run): (TaskKey, u32),
        answer: StartAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        match answer {
            StartAnswer::Runs(clock) => self.start_acknowledged(idx, clock, now),
            StartAnswer::Unanswered => self.record_unanswered(idx, now),
            _ => {}
        }
        let Some(w) = self.workers.get_mut(idx) else { return false };
        if answer == StartAnswer::Unanswered {
            w.record_late_start(task, run, now);
        } else {
            w.answer_times.record(now.since(sent));
        }
        let Some(h) = w.find_mut(task, run) else { return answer == StartAnswer::Fenced };
        h.call_in_flight = false;
        match answer {
            StartAnswer::Runs(_) => {
                h.mark_started(now);
                self.jobs.mark_started(task.step.job);
            }
            StartAnswer::Unanswered => h.start_unanswered = true,
            // The end of the run is listed in a look, now or before.
            StartAnswer::Old => {
                h.phase = Phase::Running;
                h.since = now;
            }
            StartAnswer::OtherLife => self.mark_worker_dead(idx, now),
            StartAnswer::Fenced => return true,
            // An earlier copy of the order may still be executed; only a stop prevents that.
            StartAnswer::NoRoom | StartAnswer::Unhealthy | StartAnswer::Invalid
                if h.start_unanswered =>
            {
                h.phase = Phase::Stopping;
            }
            StartAnswer::Late
            | StartAnswer::NoRoom
            | StartAnswer::Ticket
            | StartAnswer::Unhealthy
            | StartAnswer::Invalid => {
                self.start_refused(Placement { idx, task, run }, &answer, now)
            }
        }
        false
    }

    /// Processes the acknowledgement of a start. It doesn't say which incarnation of the worker has
    /// answered, so it is not evidence of the incarnation while that is in doubt.
    fn start_acknowledged(&mut self, idx: WorkerIdx, clock: u64, now: Millis) {
        self.record_contact(idx, now);
        if self.workers.get(idx).is_some_and(|w| w.restart_suspected_since.is_none()) {
            self.record_alive(idx, clock, now);
        }
    }

    /// Processes an answer to a start that arrived after [`Engine::start_answered`] was called with
    /// [`StartAnswer::Unanswered`]. Only the answer that the task runs has an effect, since a
    /// refusal doesn't apply to newer copies of the order. Returns true if a newer owner has
    /// claimed the worker.
    pub fn start_answered_late(
        &mut self,
        life: &WorkerLife,
        (task, run): (TaskKey, u32),
        answer: &StartAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        if let StartAnswer::Runs(clock) = *answer {
            self.start_acknowledged(idx, clock, now);
            if let Some(w) = self.workers.get_mut(idx) {
                w.answer_times.record(now.since(sent));
                if let Some(h) = w.find_mut(task, run) {
                    h.mark_started(now);
                }
            }
            self.jobs.mark_started(task.step.job);
        }
        *answer == StartAnswer::Fenced
    }

    /// Processes a refused start: the task waits again, or its whole gang starts again.
    fn start_refused(&mut self, p: Placement, answer: &StartAnswer, now: Millis) {
        let Placement { idx, task, run } = p;
        self.stats.refused += 1;
        self.free(p, GiveUpCause::Refused, now);
        if let Some(w) = self.workers.get_mut(idx) {
            let (worker, answer) = (w.life.clone(), answer.clone());
            if answer == StartAnswer::Unhealthy {
                w.health.pause(now + UNHEALTHY_PAUSE);
            }
            self.events.push(Event::StartRefused { task, run, worker, answer });
        }
        if let Some(step) = self.jobs.step_mut(task.step) {
            if *answer == StartAnswer::Ticket {
                step.advice.expire_ticket(idx);
            }
            if let Some(t) = step.tasks.get_mut(task.index as usize) {
                t.not_before = now + REFUSED_PAUSE;
            }
        }
        if self.is_gang(task.step) {
            self.restart_gang(task.step);
        }
    }

    pub(crate) fn is_gang(&self, step: StepKey) -> bool {
        self.jobs.step_spec(step).is_some_and(|s| s.gang)
    }

    /// Stops the placed members of a gang, so that the whole gang can start again.
    pub(crate) fn restart_gang(&mut self, key: StepKey) {
        let Some(step) = self.jobs.step_mut(key) else { return };
        let members: Vec<_> =
            step.tasks.iter().enumerate().filter_map(|(i, t)| Some((i, t.worker?))).collect();
        step.restarting = !members.is_empty();
        for (i, w) in members {
            self.mark_stopping(w, key.task(i as u32));
        }
    }

    /// Repeats unanswered starts, sends starts whose rows are stored, and stops tasks.
    pub(crate) fn retry_orders(&mut self, now: Millis, out: &mut Vec<Order>) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get(idx) else { continue };
            // An answered stop is not repeated: the run's end is listed, or the run never started.
            let is_due =
                |h: &&HeldTask| !h.call_in_flight && h.phase != Phase::Running && !h.stop_answered;
            let due: Vec<_> =
                w.held.iter().filter(is_due).map(|h| (h.task, h.run, h.phase, h.unsent)).collect();
            for (task, run, phase, unsent) in due {
                let p = Placement { idx, task, run };
                match phase {
                    Phase::Stopping if unsent => self.free(p, GiveUpCause::Unsent, now),
                    Phase::Stopping => self.send_stop(p, now, out),
                    _ if unsent => self.send_stored_start(p, now, out),
                    _ => self.retry_start(p, now, out),
                }
            }
        }
    }

    /// Sends a start if its row is in the store. After [`UNSENT_START_TIMEOUT`] the store is
    /// probably unavailable: the task releases its worker and waits for the store.
    fn send_stored_start(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let is_stored = self.is_stored(p.task);
        let Some(w) = self.workers.get_mut(p.idx) else { return };
        // The worker's capacity may have shrunk since the task was placed.
        let fits = w.fits_capacity();
        let Some(h) = w.find_mut(p.task, p.run) else { return };
        if !fits {
            self.free(p, GiveUpCause::Unsent, now);
        } else if is_stored {
            h.unsent = false;
            h.since = now;
            self.send_start(p, now, out);
        } else if now.since(h.since) >= UNSENT_START_TIMEOUT {
            self.free(p, GiveUpCause::Unsent, now);
        }
    }

    /// Repeats an unanswered start, or restarts the gang of the task after
    /// [`GANG_RESTART_PERCENT`].
    fn retry_start(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let restart_after = Millis(self.time_limits.gang_timeout.0 * GANG_RESTART_PERCENT / 100);
        let since = self.workers.get_mut(idx).and_then(|w| w.find_mut(task, run)).map(|h| h.since);
        if self.is_gang(task.step) && since.is_some_and(|s| now.since(s) > restart_after) {
            self.restart_gang(task.step);
            return;
        }
        self.stats.resent += 1;
        self.send_start(p, now, out);
    }

    fn send_stop(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let Some(w) = self.workers.get_mut(idx) else { return };
        let (worker, address, limit) = (w.life.clone(), w.address.clone(), w.answer_timeout());
        let Some(h) = w.find_mut(task, run) else { return };
        h.call_in_flight = true;
        h.since = now;
        out.push(Order::Worker { call: WorkerCall::Stop { worker, address, task, run }, limit });
    }

    /// Records whether a stop was answered.
    pub fn stop_answered(
        &mut self,
        life: &WorkerLife,
        task: TaskKey,
        run: u32,
        answered: bool,
        now: Millis,
    ) {
        let Some(idx) = self.workers.find(life) else { return };
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(h) = w.find_mut(task, run) else { return };
        h.call_in_flight = false;
        h.stop_answered |= answered;
        h.since = now;
    }
}

/// Returns the first checkpoint of the given tasks, or an empty text if there is none.
fn first_checkpoint(tasks: &[Task]) -> Arc<str> {
    tasks.iter().find_map(|t| t.saved.clone()).unwrap_or_else(|| "".into())
}
