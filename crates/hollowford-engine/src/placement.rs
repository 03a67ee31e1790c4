//! Placement passes: assign queued tasks to workers.

use crate::account::AccountIdx;
use crate::engine::{Authority, Engine, PendingStart};
use crate::event::{Action, Change};
use crate::request::{PlacementChoice, PriorityClass, QueueKind, Request, TaskState, WaitCause};
use crate::worker::{HeldTask, WorkerIdx};
use hollowford_core::{Millis, RequestNo, Resources, Spec};
use std::sync::Arc;

pub(crate) struct Pass {
    pub now: Millis,
    pub no: u64,
    placed: usize,
    /// Whether the ledger can be written. If not, only write-behind requests are served.
    ledger_available: bool,
    /// Class and size of tasks without placement constraints that fitted on no worker.
    unplaceable: Vec<(PriorityClass, Resources)>,
}

impl Pass {
    /// Returns true if a task of the class that is at most this large did not fit in this pass.
    pub fn is_unplaceable(&self, class: PriorityClass, shape: &Resources) -> bool {
        self.unplaceable.iter().any(|(c, s)| *c == class && s.fits(shape))
    }
}

/// Result of serving one client account.
#[derive(PartialEq, Eq)]
enum ServeOutcome {
    Placed,
    Blocked,
}

/// Result of an attempt to place one request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum TryOutcome {
    Placed,
    Waits(WaitCause),
}

impl Engine {
    /// Sends the starts whose intents are durable, then runs a placement pass if one is
    /// needed. Called after each group of events.
    pub fn decide(&mut self, now: Millis, authority: Authority, out: &mut Vec<Action>) {
        if authority == Authority::Full {
            self.send_starts(now, out);
        }
        let ledger_available = authority == Authority::Full && !self.ledger_stalled;
        if !ledger_available && self.allows_write_behind(now) {
            self.start_pending_write_behind(now, out);
        }
        if !self.needs_pass || !(ledger_available || self.allows_write_behind(now)) {
            return;
        }
        self.needs_pass = false;
        self.pass_no += 1;
        let mut pass =
            Pass { now, no: self.pass_no, placed: 0, unplaceable: Vec::new(), ledger_available };
        let classes =
            if ledger_available { &PriorityClass::ALL[..] } else { &[PriorityClass::Urgent] };
        for &class in classes {
            self.serve_class(class, &mut pass, out);
        }
        if pass.placed >= self.policy.max_placements_per_pass {
            self.needs_pass = true;
        }
    }

    /// Returns true if another call of [`Engine::decide`] would run a placement pass.
    pub fn needs_decide(&self, now: Millis) -> bool {
        self.needs_pass && (!self.ledger_stalled || self.allows_write_behind(now))
    }

    fn serve_class(&mut self, class: PriorityClass, pass: &mut Pass, out: &mut Vec<Action>) {
        while pass.placed < self.policy.max_placements_per_pass {
            let Some(account) = self.accounts.next(class, pass.no, &self.workers.total_capacity)
            else {
                return;
            };
            let account = self.best_fitting_account(account, class, pass);
            if self.serve_account(account, class, pass, out) == ServeOutcome::Blocked {
                self.accounts.get_mut(account).blocked_in_pass[class as usize] = pass.no;
            }
        }
    }

    /// Places one task or one gang of the account's oldest requests.
    fn serve_account(
        &mut self,
        account: AccountIdx,
        class: PriorityClass,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> ServeOutcome {
        let served = |queue_kind: &QueueKind| {
            self.serve_queue(account, *queue_kind, pass, out) == ServeOutcome::Placed
        };
        if class.queue_kinds().iter().any(served) {
            ServeOutcome::Placed
        } else {
            ServeOutcome::Blocked
        }
    }

    fn serve_queue(
        &mut self,
        account: AccountIdx,
        queue_kind: QueueKind,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> ServeOutcome {
        let mut at = 0;
        while at < self.policy.lookahead {
            let queue = &self.accounts.get(account).queues[queue_kind as usize];
            let Some(&no) = queue.get(at) else {
                break;
            };
            if self.is_known_unplaceable(no, pass) {
                at += 1;
                continue;
            }
            if !self.update_in_queue(no) {
                self.accounts.get_mut(account).queues[queue_kind as usize].remove(at);
                continue;
            }
            match self.try_request(no, pass, out) {
                TryOutcome::Placed => return ServeOutcome::Placed,
                TryOutcome::Waits(why) => self.record_wait_cause(no, why),
            }
            at += 1;
        }
        ServeOutcome::Blocked
    }

    /// Returns true if a waiting request is known not to fit in this pass. In a full cell, this
    /// check avoids the search for a worker for most requests.
    fn is_known_unplaceable(&self, no: RequestNo, pass: &Pass) -> bool {
        let waits = |r: &&Request| r.wait_cause == WaitCause::NoRoom && !r.waiting.is_empty();
        let Some(r) = self.requests.get(&no).filter(waits) else {
            return false;
        };
        self.depends_on_shape_only(r)
            && self.reservations.is_empty()
            && pass.is_unplaceable(r.class, &r.spec.per_task)
    }

    /// Returns true if only the size of its tasks decides whether the request fits, so that
    /// the result holds for other requests. That is not the case for gangs, for placement
    /// constraints, and for requests that failed on some worker.
    fn depends_on_shape_only(&self, r: &Request) -> bool {
        !r.is_gang() && r.spec.placement.is_unrestricted() && r.failed_workers.is_empty()
    }

    /// Updates and returns whether a queued request has tasks to place. If not, the caller
    /// removes it from the queue.
    fn update_in_queue(&mut self, no: RequestNo) -> bool {
        let Some(r) = self.requests.get_mut(&no) else {
            return false;
        };
        r.in_queue = r.answer.is_none() && !r.waiting.is_empty();
        r.in_queue
    }

    fn record_wait_cause(&mut self, no: RequestNo, why: WaitCause) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.wait_cause = why;
        }
    }

    fn try_request(&mut self, no: RequestNo, pass: &mut Pass, out: &mut Vec<Action>) -> TryOutcome {
        let Some(r) = self.requests.get(&no) else {
            return TryOutcome::Waits(WaitCause::AwaitingTurn);
        };
        if r.not_before > pass.now || r.restarting {
            return TryOutcome::Waits(WaitCause::Backoff);
        }
        if !pass.ledger_available && !self.may_write_behind(pass.now, &r.spec) {
            return TryOutcome::Waits(WaitCause::LedgerStalled);
        }
        let concurrent_tasks = if r.is_gang() { r.waiting.len() as u32 } else { 1 };
        if !self.accounts.get(r.account).allows(&r.spec.per_task, concurrent_tasks) {
            return TryOutcome::Waits(WaitCause::Quota);
        }
        if !self.headroom_allows(r, concurrent_tasks, pass.now) {
            return TryOutcome::Waits(WaitCause::Headroom);
        }
        if r.is_gang() {
            return self.try_gang(no, pass, out);
        }
        self.try_task(no, pass, out)
    }

    /// Returns true if the tasks leave the headroom free or may use it. The headroom may
    /// delay work, but never makes it impossible.
    fn headroom_allows(&self, r: &Request, concurrent_tasks: u32, now: Millis) -> bool {
        if r.class == PriorityClass::Urgent || self.policy.headroom <= 0.0 {
            return true;
        }
        if self.policy.headroom_borrow && r.is_preemptible() {
            return true;
        }
        let waited = now.since(r.accepted_at);
        if r.is_gang() && waited >= self.policy.gang_drain_after {
            return true;
        }
        let total_capacity = self.workers.total_capacity.cpu_milli as f64;
        let needed = f64::from(r.spec.per_task.cpu_milli) * f64::from(concurrent_tasks);
        let kept_free = (total_capacity * self.policy.headroom).min(total_capacity - needed);
        self.workers.free.cpu_milli as f64 - needed >= kept_free
    }

    fn try_task(&mut self, no: RequestNo, pass: &mut Pass, out: &mut Vec<Action>) -> TryOutcome {
        let Some(r) = self.requests.get(&no) else {
            return TryOutcome::Waits(WaitCause::AwaitingTurn);
        };
        let (class, shape) = (r.class, r.spec.per_task);
        let shape_only = self.depends_on_shape_only(r);
        if shape_only && self.reservations.is_empty() && pass.is_unplaceable(class, &shape) {
            return TryOutcome::Waits(WaitCause::NoRoom);
        }
        let found = self.find_worker(r, pass.now).or_else(|| {
            // Preempted tasks whose starts were not sent free their resources at once. The urgent
            // request uses them before any other request can.
            let may_preempt = class == PriorityClass::Urgent && pass.ledger_available;
            let preempted = may_preempt && self.preempt_for(no, pass.now, out);
            let r = self.requests.get(&no).filter(|_| preempted)?;
            self.find_worker(r, pass.now)
        });
        let Some(placement_choice) = found else {
            if shape_only {
                pass.unplaceable.push((class, shape));
            }
            return TryOutcome::Waits(WaitCause::NoRoom);
        };
        let Some(index) = self.requests.get_mut(&no).and_then(|r| r.waiting.pop_front()) else {
            return TryOutcome::Waits(WaitCause::AwaitingTurn);
        };
        let seq = self.place(no, index, placement_choice.worker, pass.now, out);
        match pass.ledger_available {
            true => self.queue_start(no, index, placement_choice.worker, seq),
            false => self.start_write_behind(no, index, placement_choice.worker, pass.now, out),
        }
        self.record_placement_choice(no, placement_choice);
        pass.placed += 1;
        TryOutcome::Placed
    }

    pub(crate) fn record_placement_choice(
        &mut self,
        no: RequestNo,
        placement_choice: PlacementChoice,
    ) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.placement_choice = Some(placement_choice);
            r.wait_cause = WaitCause::AwaitingTurn;
        }
    }

    pub(crate) fn count_placed(pass: &mut Pass, n: usize) {
        pass.placed += n;
    }

    /// Returns when a task of the request is expected to end if it starts now.
    pub(crate) fn expected_end(&self, r: &Request, now: Millis) -> Millis {
        self.accounts.get(r.account).expected_end(&r.spec, now)
    }

    /// Assigns a waiting task to a worker and appends the intent. Returns the position of
    /// the intent.
    pub(crate) fn place(
        &mut self,
        no: RequestNo,
        index: u32,
        worker: WorkerIdx,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> u64 {
        let Some(r) = self.requests.get_mut(&no) else {
            return 0;
        };
        let t = &mut r.tasks[index as usize];
        t.attempt += 1;
        t.state = TaskState::Placed(worker);
        t.since = now;
        r.active += 1;
        let expected_end = self.accounts.get(r.account).expected_end(&r.spec, now);
        let held = held_task(r, index, now, expected_end, self.workers.get(worker).incarnation);
        let change = Change::Intent {
            task: held.task,
            worker: self.workers.get(worker).id.clone(),
            incarnation: held.incarnation,
        };
        let account = self.accounts.get_mut(r.account);
        account.update_past_share(now, &self.workers.total_capacity, self.policy.share_half_life);
        account.used.add(&held.resources);
        self.workers.assign(worker, held);
        self.stats.placed += 1;
        self.append(no, change, out)
    }

    /// Queues a start that is sent once the record at `seq` is durable.
    pub(crate) fn queue_start(&mut self, no: RequestNo, index: u32, worker: WorkerIdx, seq: u64) {
        if let Some(r) = self.requests.get(&no) {
            let task = r.task_id(index);
            self.pending_starts.push_back(PendingStart { seq, task, worker });
        }
    }

    /// Returns the specification and the checkpoint of a start.
    pub(crate) fn start_payload(&self, start: &PendingStart) -> Option<(Arc<Spec>, Arc<str>)> {
        let r = self.requests.get(&start.task.request)?;
        let checkpoint = r.tasks[start.task.index as usize].checkpoint.clone();
        Some((r.spec.clone(), checkpoint.unwrap_or_else(|| "".into())))
    }
}

/// Returns the entry of a task in the table of its worker.
pub(crate) fn held_task(
    r: &Request,
    index: u32,
    now: Millis,
    expected_end: Millis,
    incarnation: u64,
) -> HeldTask {
    HeldTask {
        task: r.task_id(index),
        resources: r.spec.per_task,
        incarnation,
        preemptible: r.is_preemptible(),
        placed_at: now,
        expected_end,
    }
}
