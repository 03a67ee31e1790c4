//! Orders to start and stop tasks, and what workers say to them.

use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::job::{Step, Task};
use crate::life::WorkerLife;
use crate::note::{GiveUp, Note};
use crate::order::{Order, StartAnswer, WorkerCall};
use crate::spec::{StepKey, TaskKey};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;
use std::sync::Arc;

/// A worker that said it is not well gets nothing for so long.
const UNHEALTHY_PAUSE: Millis = Millis(500);
/// A task whose start was refused waits so long, so that a refusal is not asked for at once.
const REFUSED_PAUSE: Millis = Millis(20);
/// A member of a gang whose start is still not answered after this part of the gang's time
/// limit makes the gang start again, in hundredths.
const GANG_PATIENCE_PERCENT: u64 = 60;

/// A start waits so long for its row at most.
const UNSENT_FOR: Millis = Millis(500);

impl Engine {
    /// Places a task on a worker and orders its start.
    pub(crate) fn start(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task: key, run } = p;
        let Some(job) = self.jobs.get(key.step.job) else { return };
        let age = now.since(job.accepted_at);
        let spec = &job.spec.steps[key.step.step as usize];
        let mut held = Held {
            expected_end: now + Millis(spec.estimate_ms),
            ..Held::new((key, run), job.account, spec.room(), Phase::Starting, now)
        };
        if let Some(task) = self.jobs.task_mut(key) {
            task.at = Some(idx);
            task.run = run;
            held.suspect = task.is_suspect();
        }
        if let Some(w) = self.workers.get_mut(idx) {
            w.hold(held);
            let (worker, free) = (w.life.clone(), w.free);
            self.notes.push(Note::Starts { task: key, run, worker, free, age });
        }
        let written_first = self.is_written_first(key);
        self.note_open_run(p);
        self.stats.started += 1;
        if written_first {
            if let Some(h) = self.workers.get_mut(idx).and_then(|w| w.find_mut(key, run)) {
                h.unsent = true;
            }
            return;
        }
        self.send_start(p, now, out);
    }

    /// Tells whether a start waits for the row that tells of it: an owner that was lost in between
    /// would leave one that the next one doesn't know of, and so one crash too many. A gang is sent as
    /// a whole.
    fn is_written_first(&self, key: TaskKey) -> bool {
        if self.is_gang(key.step) {
            self.jobs.step(key.step).is_some_and(Step::is_tracked)
        } else {
            self.jobs.task(key).is_some_and(Task::is_tracked)
        }
    }

    /// Tells whether the store has the row that tells of a start.
    fn is_written(&self, key: TaskKey) -> bool {
        if self.is_gang(key.step) {
            self.jobs.step(key.step).is_none_or(Step::is_written)
        } else {
            self.jobs.task(key).is_none_or(Task::is_written)
        }
    }

    fn send_start(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let lease = self.bounds.lease;
        let Some(job) = self.jobs.get(task.step.job) else { return };
        let template = job.spec.template.clone();
        let Some(step) = self.jobs.step(task.step) else { return };
        let gang = self.is_gang(task.step);
        let own = std::slice::from_ref(&step.tasks[task.index as usize]);
        // All members of a gang bring the same checkpoint.
        let saved = saved_of(if gang { &step.tasks } else { own });
        let ticket = step.advice.ticket(idx);
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(lease_until) = w.extend_lease(now, lease) else { return };
        if let Some(h) = w.find_mut(task, run) {
            h.calling = true;
        }
        let limit = w.answer_limit();
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

    /// Takes in a worker's answer to a start that was sent at `sent`. Tells whether a newer owner
    /// has claimed it.
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
            StartAnswer::Runs(clock) => self.note_start_heard(idx, clock, now),
            StartAnswer::Unanswered => self.note_unheard(idx, now),
            _ => {}
        }
        let Some(w) = self.workers.get_mut(idx) else { return false };
        if answer == StartAnswer::Unanswered {
            w.note_late_start(task, run, now);
        } else {
            w.answer_times.record(now.since(sent));
        }
        let Some(h) = w.find_mut(task, run) else { return answer == StartAnswer::Fenced };
        h.calling = false;
        match answer {
            StartAnswer::Runs(_) => {
                h.has_begun(now);
                self.jobs.has_begun(task.step.job);
            }
            StartAnswer::Unanswered => h.unsure = true,
            // Its end is listed, or was already.
            StartAnswer::Old => {
                h.phase = Phase::Running;
                h.since = now;
            }
            StartAnswer::OtherLife => self.worker_dead(idx, now),
            StartAnswer::Fenced => return true,
            // An earlier copy could still be carried out: only a stop makes sure.
            StartAnswer::NoRoom | StartAnswer::Unhealthy | StartAnswer::Invalid if h.unsure => {
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

    /// Takes in that a worker has answered a start, which doesn't say which life of it has.
    fn note_start_heard(&mut self, idx: WorkerIdx, clock: u64, now: Millis) {
        self.note_heard(idx, now);
        if self.workers.get(idx).is_some_and(|w| w.doubted_since.is_none()) {
            self.note_life(idx, clock, now);
        }
    }

    /// Takes in an answer to a start that came after it was told that there was none. Only that
    /// the task runs is of use: a newer copy may be under way, which a refusal says nothing of.
    /// Tells whether a newer owner has claimed the worker.
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
            self.note_start_heard(idx, clock, now);
            if let Some(w) = self.workers.get_mut(idx) {
                w.answer_times.record(now.since(sent));
                if let Some(h) = w.find_mut(task, run) {
                    h.has_begun(now);
                }
            }
            self.jobs.has_begun(task.step.job);
        }
        *answer == StartAnswer::Fenced
    }

    /// The worker has done nothing: the task waits again, or its gang starts again.
    fn start_refused(&mut self, p: Placement, answer: &StartAnswer, now: Millis) {
        let Placement { idx, task, run } = p;
        self.stats.refused += 1;
        self.free(p, GiveUp::Refused, now);
        if let Some(w) = self.workers.get_mut(idx) {
            let (worker, answer) = (w.life.clone(), answer.clone());
            if answer == StartAnswer::Unhealthy {
                w.health.pause(now + UNHEALTHY_PAUSE);
            }
            self.notes.push(Note::Refused { task, run, worker, answer });
        }
        if let Some(step) = self.jobs.step_mut(task.step) {
            if *answer == StartAnswer::Ticket {
                step.advice.drop_ticket(idx);
            }
            if let Some(t) = step.tasks.get_mut(task.index as usize) {
                t.not_before = now + REFUSED_PAUSE;
            }
        }
        if self.is_gang(task.step) {
            self.regroup(task.step);
        }
    }

    pub(crate) fn is_gang(&self, step: StepKey) -> bool {
        self.jobs.step_spec(step).is_some_and(|s| s.gang)
    }

    /// Stops what runs of a gang, so that it can start again whole.
    pub(crate) fn regroup(&mut self, key: StepKey) {
        let Some(step) = self.jobs.step_mut(key) else { return };
        let members: Vec<_> =
            step.tasks.iter().enumerate().filter_map(|(i, t)| Some((i, t.at?))).collect();
        step.regroup = !members.is_empty();
        for (i, w) in members {
            self.order_stop(w, key.task(i as u32));
        }
    }

    /// Sends again what got no answer, and stops what is to be stopped.
    pub(crate) fn resend(&mut self, now: Millis, out: &mut Vec<Order>) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get(idx) else { continue };
            // An answered stop is not sent again: the end is listed, or the run never started.
            let due = |h: &&Held| !h.calling && h.phase != Phase::Running && !h.stop_answered;
            let due: Vec<_> =
                w.held.iter().filter(due).map(|h| (h.task, h.run, h.phase, h.unsent)).collect();
            for (task, run, phase, unsent) in due {
                let p = Placement { idx, task, run };
                match phase {
                    Phase::Stopping if unsent => self.free(p, GiveUp::Unsent, now),
                    Phase::Stopping => self.send_stop(p, now, out),
                    _ if unsent => self.start_written(p, now, out),
                    _ => self.start_again(p, now, out),
                }
            }
        }
    }

    /// Orders a start once the store has the row that tells of it. Where that takes long the store is
    /// away: the task gives its place back, and waits for the store.
    fn start_written(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let written = self.is_written(p.task);
        let Some(w) = self.workers.get_mut(p.idx) else { return };
        // The worker may have less room than it had when the task was placed.
        let has_room = w.holds_no_more_than_it_has();
        let Some(h) = w.find_mut(p.task, p.run) else { return };
        if !has_room {
            self.free(p, GiveUp::Unsent, now);
        } else if written {
            h.unsent = false;
            h.since = now;
            self.send_start(p, now, out);
        } else if now.since(h.since) >= UNSENT_FOR {
            self.free(p, GiveUp::Unsent, now);
        }
    }

    fn start_again(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let patience = Millis(self.bounds.gang_timeout.0 * GANG_PATIENCE_PERCENT / 100);
        let since = self.workers.get_mut(idx).and_then(|w| w.find_mut(task, run)).map(|h| h.since);
        if self.is_gang(task.step) && since.is_some_and(|s| now.since(s) > patience) {
            self.regroup(task.step);
            return;
        }
        self.stats.resent += 1;
        self.send_start(p, now, out);
    }

    fn send_stop(&mut self, p: Placement, now: Millis, out: &mut Vec<Order>) {
        let Placement { idx, task, run } = p;
        let Some(w) = self.workers.get_mut(idx) else { return };
        let (worker, address, limit) = (w.life.clone(), w.address.clone(), w.answer_limit());
        let Some(h) = w.find_mut(task, run) else { return };
        h.calling = true;
        h.since = now;
        out.push(Order::Worker { call: WorkerCall::Stop { worker, address, task, run }, limit });
    }

    /// Takes in whether a stop was answered.
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
        h.calling = false;
        h.stop_answered |= answered;
        h.since = now;
    }
}

/// Returns the first checkpoint of these tasks; empty: there is none.
fn saved_of(tasks: &[Task]) -> Arc<str> {
    tasks.iter().find_map(|t| t.saved.clone()).unwrap_or_else(|| "".into())
}
