//! Tasks that make room for a gang.
//!
//! A gang needs room on many workers at the same moment. In a cell that is nearly full that moment
//! doesn't come by itself while its answer is wanted: small tasks take each part that comes free.
//! Tasks of less urgent queues that save their progress are stopped for it, the least work first;
//! they go on elsewhere from what they saved.

use crate::choose::copies;
use crate::engine::Engine;
use crate::note::Note;
use crate::pass::Pass;
use crate::place::Placing;
use crate::reserve::Plan;
use crate::spec::TaskKey;
use crate::worker::{Held, Phase};
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};

/// A gang that can start within this time by itself stops nothing: about what a stop and a renewed
/// ticket take.
const SOON: Millis = Millis(1_000);
/// What is stopped for a gang has left its room after about this time.
pub(crate) const STOP_TAKES: Millis = Millis(300);
/// A gang has tasks stopped once in this time, so that the room that they leave can be used first.
const AGAIN_AFTER: Millis = Millis(2_000);
/// A task is left alone for so long after its start, or it would only be moved about.
const LEAST_RUN: Millis = Millis(500);
/// A task is stopped only while its own job could wait so much longer and still be in time.
const LEAST_SLACK: Millis = Millis(2_000);

/// Room for one more member on a worker, and what has to be stopped for it there.
#[derive(Debug)]
struct Slot {
    /// Thousandths of a core that stop on the worker for this member and those before it.
    cost: u32,
    at: usize,
    stops: Vec<TaskKey>,
}

impl Engine {
    /// Has tasks stopped so that the gang can start soon; none when it will by itself, when that
    /// wouldn't be enough, or when it's too late for it.
    pub(crate) fn make_room(
        &mut self,
        pass: &mut Pass,
        gang: Placing<'_>,
        plan: Option<&Plan>,
        rooms: &[usize],
    ) -> Option<Plan> {
        let soon = plan.is_some_and(|p| p.begin <= pass.now + SOON);
        let may = pass.full && !pass.has_preempted && gang.kept && gang.urgency.is_in_time();
        if soon || !may || self.has_preempted(gang, pass.now) {
            return None;
        }
        let slots = self.slots_by_stopping(pass, gang, rooms)?;
        pass.has_preempted = true;
        if let Some(step) = self.jobs.step_mut(gang.key) {
            step.preempted_at = Some(pass.now);
        }
        let begin = pass.now + STOP_TAKES;
        let rooms = slots.iter().map(|s| s.at).collect();
        for slot in slots {
            self.stop_for(gang, pass.rooms[slot.at].idx, &slot.stops);
        }
        Some(Plan { begin, rooms })
    }

    /// Tells whether tasks were stopped for the gang lately.
    pub(crate) fn has_preempted(&self, gang: Placing<'_>, now: Millis) -> bool {
        let at = self.jobs.step(gang.key).and_then(|s| s.preempted_at);
        at.is_some_and(|at| now.since(at) < AGAIN_AFTER)
    }

    fn stop_for(&mut self, gang: Placing<'_>, idx: WorkerIdx, stops: &[TaskKey]) {
        for &task in stops {
            self.stats.preempted += 1;
            self.notes.push(Note::Preempted { task, by: gang.key });
            self.order_stop(idx, task);
        }
    }

    /// Returns room for all members, the cheapest to come by; none when there isn't enough.
    fn slots_by_stopping(
        &self,
        pass: &Pass,
        gang: Placing<'_>,
        rooms: &[usize],
    ) -> Option<Vec<Slot>> {
        let mut slots = Vec::new();
        for &at in rooms {
            if self.allowed(&pass.rooms[at], gang) {
                self.slots_at(pass, gang, at, &mut slots);
            }
        }
        let count = gang.spec.count as usize;
        slots.sort_by_key(|s| s.cost);
        slots.truncate(count);
        (slots.len() == count).then_some(slots)
    }

    /// Adds the members that a worker has room for, and those that it would have if tasks of it
    /// stopped.
    fn slots_at(&self, pass: &Pass, gang: Placing<'_>, at: usize, slots: &mut Vec<Slot>) {
        let (need, room) = (gang.spec.room(), &pass.rooms[at]);
        let limit = if gang.spec.spread > 0 { gang.spec.spread } else { u32::MAX };
        let mut free = room.free.minus(&room.reserved);
        let mut have = copies(&need, &free).min(limit);
        slots.extend((0..have).map(|_| Slot { cost: 0, at, stops: Vec::new() }));
        let mut cost = 0;
        let mut stops = Vec::new();
        for (task, stopped) in self.stoppable(pass, gang, room.idx) {
            free = free.plus(&stopped);
            cost += stopped.cpu_milli;
            stops.push(task);
            let count = copies(&need, &free).min(limit);
            for _ in have..count {
                // All of them stop for the first member; the cost keeps those after it behind.
                slots.push(Slot { cost, at, stops: std::mem::take(&mut stops) });
            }
            have = have.max(count);
        }
    }

    /// Returns the tasks of a worker that may be stopped for the gang, the smallest first.
    fn stoppable(
        &self,
        pass: &Pass,
        gang: Placing<'_>,
        idx: WorkerIdx,
    ) -> Vec<(TaskKey, Resources)> {
        let Some(w) = self.workers.get(idx) else { return Vec::new() };
        let may = |h: &&Held| self.may_stop(h, gang, pass.now);
        let mut out: Vec<_> = w.held.iter().filter(may).map(|h| (h.task, h.room)).collect();
        out.sort_unstable_by_key(|&(task, room)| (room.cpu_milli, task));
        out
    }

    fn may_stop(&self, h: &Held, gang: Placing<'_>, now: Millis) -> bool {
        let running = h.phase == Phase::Running && now.since(h.since) >= LEAST_RUN;
        let Some(job) = self.jobs.get(h.task.step.job).filter(|_| running) else { return false };
        let Some(queue) = self.queues.get(&job.queue) else { return false };
        let Some(spec) = job.spec.steps.get(h.task.step.step as usize) else { return false };
        if queue.priority <= gang.queue.priority || !spec.checkpoints || spec.gang || spec.lasting {
            return false;
        }
        self.can_wait(h.task.step, queue, LEAST_SLACK, now)
    }
}
