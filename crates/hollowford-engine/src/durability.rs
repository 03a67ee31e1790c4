//! Actions that wait for records to become durable: starts, answers and acknowledgements.

use crate::engine::{Engine, PendingStart};
use crate::event::Action;
use crate::request::TaskState;
use hollowford_core::Millis;

impl Engine {
    /// Records that every ledger record up to `seq` is durable.
    pub fn set_durable(&mut self, seq: u64, out: &mut Vec<Action>) {
        self.durable_seq = self.durable_seq.max(seq);
        while let Some((s, worker, task)) = self.pending_forgets.pop_front() {
            if s > self.durable_seq {
                self.pending_forgets.push_front((s, worker, task));
                break;
            }
            out.push(Action::Forget { worker, task });
        }
        while let Some((s, no)) = self.pending_changes.pop_front() {
            if s > self.durable_seq {
                self.pending_changes.push_front((s, no));
                break;
            }
            self.mark_changed(no, out);
        }
    }

    /// Sets whether the ledger is stalled, that is, can't be written. While it is, nothing
    /// is accepted or placed except write-behind requests.
    pub fn set_ledger_stalled(&mut self, stalled: bool) {
        if self.ledger_stalled && !stalled {
            self.needs_pass = true;
        }
        self.ledger_stalled = stalled;
    }

    /// Returns true if the ledger is stalled, that is, can't be written.
    pub fn is_ledger_stalled(&self) -> bool {
        self.ledger_stalled
    }

    /// Returns the position of the last appended record; 0 if there is none.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Returns the number of records that are not durable yet.
    pub fn unsynced_records(&self) -> u64 {
        self.next_seq - 1 - self.durable_seq
    }

    /// Sends the starts whose intents are durable.
    pub(crate) fn send_starts(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(start) = self.pending_starts.pop_front() {
            if start.seq > self.durable_seq {
                self.pending_starts.push_front(start);
                return;
            }
            self.send_start(now, &start, out);
        }
    }

    pub(crate) fn send_start(&mut self, now: Millis, start: &PendingStart, out: &mut Vec<Action>) {
        let task = &start.task;
        let state = self.requests.get(&task.request).map(|r| r.state_of(task.index));
        let is_current = self.worker_of(task) == Some(start.worker)
            && state == Some(TaskState::Placed(start.worker));
        if !is_current {
            return;
        }
        let w = self.workers.get(start.worker);
        let held = w.held.iter().find(|h| h.task == *task);
        let same_incarnation = held.is_some_and(|h| h.incarnation == w.incarnation);
        if !w.claimed || w.leaving || !same_incarnation {
            self.withdraw(now, task, out);
            return;
        }
        let Some((spec, checkpoint)) = self.start_payload(start) else {
            return;
        };
        // The start does not wait for its intent, so its lease must end before a takeover.
        let fixed_lease = start.seq == 0;
        let lease_until = match fixed_lease {
            true => self.grant_fixed_lease(start.worker),
            false => self.grant_lease(start.worker),
        };
        let worker = self.workers.get(start.worker).id.clone();
        if let Some(r) = self.requests.get_mut(&task.request) {
            r.tasks[task.index as usize].state = TaskState::Starting(start.worker);
        }
        self.stats.started += 1;
        out.push(Action::Start { worker, task: *task, lease_until, fixed_lease, spec, checkpoint });
    }
}
