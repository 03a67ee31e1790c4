//! One pass over the queues: what starts where.

use crate::account::AccountIdx;
use crate::engine::{Authority, Engine, PendingStart};
use crate::event::{Action, Change};
use crate::request::{Class, Lane, Placing, Request, TaskState, Wait};
use crate::worker::{Held, WorkerIdx};
use hollowford_core::{Millis, RequestNo, Resources, Spec};
use std::sync::Arc;

/// What a pass has learned so far.
pub(crate) struct Pass {
    pub now: Millis,
    pub no: u64,
    placed: usize,
    /// Whether the ledger can be written; if not, only unledgered requests are served.
    ledgered: bool,
    /// Shapes of free placement that fitted nowhere, by class.
    full: Vec<(Class, Resources)>,
}

impl Pass {
    /// Tells whether a shape at most this large has failed in the pass.
    pub fn is_full(&self, class: Class, shape: &Resources) -> bool {
        self.full.iter().any(|(c, s)| *c == class && s.fits(shape))
    }
}

/// What came of serving one client account.
#[derive(PartialEq, Eq)]
enum Served {
    Placed,
    Blocked,
}

/// What came of trying one request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tried {
    Placed,
    Waits(Wait),
}

impl Engine {
    /// Sends the starts that are due and places what fits. Called after each
    /// group of events.
    pub fn decide(&mut self, now: Millis, authority: Authority, out: &mut Vec<Action>) {
        if authority == Authority::Full {
            self.send_starts(now, out);
        }
        let ledgered = authority == Authority::Full && !self.stalled;
        if !ledgered && self.allows_write_behind(now) {
            self.start_pending_unledgered(now, out);
        }
        if !self.dirty || !(ledgered || self.allows_write_behind(now)) {
            return;
        }
        self.dirty = false;
        self.pass += 1;
        let mut pass = Pass { now, no: self.pass, placed: 0, full: Vec::new(), ledgered };
        let classes = if ledgered { &Class::ALL[..] } else { &[Class::Urgent] };
        for &class in classes {
            self.serve_class(class, &mut pass, out);
        }
        if pass.placed >= self.policy.max_placements_per_pass {
            self.dirty = true;
        }
    }

    /// Tells whether another call of [`Engine::decide`] would place more at once.
    pub fn needs_decide(&self, now: Millis) -> bool {
        self.dirty && (!self.stalled || self.allows_write_behind(now))
    }

    fn serve_class(&mut self, class: Class, pass: &mut Pass, out: &mut Vec<Action>) {
        while pass.placed < self.policy.max_placements_per_pass {
            let Some(account) = self.accounts.next(class, pass.no, &self.workers.whole) else {
                return;
            };
            let account = self.fills_best(account, class, pass);
            if self.serve_account(account, class, pass, out) == Served::Blocked {
                self.accounts.get_mut(account).blocked_in[class as usize] = pass.no;
            }
        }
    }

    /// Places one task, or one gang, of the account's oldest requests.
    fn serve_account(
        &mut self,
        account: AccountIdx,
        class: Class,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> Served {
        let served = |lane: &Lane| self.serve_lane(account, *lane, pass, out) == Served::Placed;
        if class.lanes().iter().any(served) { Served::Placed } else { Served::Blocked }
    }

    fn serve_lane(
        &mut self,
        account: AccountIdx,
        lane: Lane,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> Served {
        let mut at = 0;
        while at < self.policy.lookahead {
            let queue = &self.accounts.get(account).queues[lane as usize];
            let Some(&no) = queue.get(at) else {
                break;
            };
            if self.surely_full(no, pass) {
                at += 1;
                continue;
            }
            if !self.still_waits(no) {
                self.accounts.get_mut(account).queues[lane as usize].remove(at);
                continue;
            }
            match self.try_request(no, pass, out) {
                Tried::Placed => return Served::Placed,
                Tried::Waits(why) => self.note_wait(no, why),
            }
            at += 1;
        }
        Served::Blocked
    }

    /// Tells whether a request waits that the pass has shown to fit nowhere. Most
    /// requests of a full cell are passed over by this one look.
    fn surely_full(&self, no: RequestNo, pass: &Pass) -> bool {
        let waits = |r: &&Request| r.wait == Wait::NoRoom && !r.waiting.is_empty();
        let Some(r) = self.requests.get(&no).filter(waits) else {
            return false;
        };
        self.speaks_for_others(r)
            && self.reservations.is_empty()
            && pass.is_full(r.class, &r.spec.per_task)
    }

    /// Tells whether the request's failure to fit holds for others of its shape:
    /// constraints and earlier failures narrow the choice of this one alone.
    fn speaks_for_others(&self, r: &Request) -> bool {
        !r.is_gang() && r.spec.placement.is_free() && r.failed_on.is_empty()
    }

    /// Tells whether a queued request has tasks to place; if not, it leaves the queue.
    fn still_waits(&mut self, no: RequestNo) -> bool {
        let Some(r) = self.requests.get_mut(&no) else {
            return false;
        };
        r.in_queue = r.answer.is_none() && !r.waiting.is_empty();
        r.in_queue
    }

    fn note_wait(&mut self, no: RequestNo, why: Wait) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.wait = why;
        }
    }

    fn try_request(&mut self, no: RequestNo, pass: &mut Pass, out: &mut Vec<Action>) -> Tried {
        let Some(r) = self.requests.get(&no) else {
            return Tried::Waits(Wait::Fresh);
        };
        if r.not_before > pass.now || r.regroup {
            return Tried::Waits(Wait::Backoff);
        }
        if !pass.ledgered && !self.goes_unledgered(pass.now, &r.spec) {
            return Tried::Waits(Wait::Ledger);
        }
        let at_once = if r.is_gang() { r.waiting.len() as u32 } else { 1 };
        if !self.accounts.get(r.account).allows(&r.spec.per_task, at_once) {
            return Tried::Waits(Wait::Quota);
        }
        if !self.headroom_allows(r, at_once, pass.now) {
            return Tried::Waits(Wait::Headroom);
        }
        if r.is_gang() {
            return self.try_gang(no, pass, out);
        }
        self.try_task(no, pass, out)
    }

    /// Tells whether the work leaves the headroom free, or may borrow it. The
    /// headroom delays work; it never makes it impossible.
    fn headroom_allows(&self, r: &Request, at_once: u32, now: Millis) -> bool {
        if r.class == Class::Urgent || self.policy.headroom <= 0.0 {
            return true;
        }
        if self.policy.headroom_borrow && r.is_preemptible() {
            return true;
        }
        let waited = now.since(r.accepted_at);
        if r.is_gang() && waited >= self.policy.gang_drain_after {
            return true;
        }
        let whole = self.workers.whole.cpu_milli as f64;
        let takes = f64::from(r.spec.per_task.cpu_milli) * f64::from(at_once);
        let kept = (whole * self.policy.headroom).min(whole - takes);
        self.workers.free.cpu_milli as f64 - takes >= kept
    }

    fn try_task(&mut self, no: RequestNo, pass: &mut Pass, out: &mut Vec<Action>) -> Tried {
        let Some(r) = self.requests.get(&no) else {
            return Tried::Waits(Wait::Fresh);
        };
        let (class, shape) = (r.class, r.spec.per_task);
        let plain = self.speaks_for_others(r);
        if plain && self.reservations.is_empty() && pass.is_full(class, &shape) {
            return Tried::Waits(Wait::NoRoom);
        }
        let found = self.find_worker(r, pass.now).or_else(|| {
            // What is withdrawn to make room leaves it at once, and the urgent
            // request must have it before any other takes it back.
            let may = class == Class::Urgent && pass.ledgered;
            let made = may && self.preempt_for(no, pass.now, out);
            let r = self.requests.get(&no).filter(|_| made)?;
            self.find_worker(r, pass.now)
        });
        let Some(placing) = found else {
            if plain {
                pass.full.push((class, shape));
            }
            return Tried::Waits(Wait::NoRoom);
        };
        let Some(index) = self.requests.get_mut(&no).and_then(|r| r.waiting.pop_front()) else {
            return Tried::Waits(Wait::Fresh);
        };
        let seq = self.place(no, index, placing.worker, pass.now, out);
        match pass.ledgered {
            true => self.expect_start(no, index, placing.worker, seq),
            false => self.start_unledgered(no, index, placing.worker, pass.now, out),
        }
        self.note_placing(no, placing);
        pass.placed += 1;
        Tried::Placed
    }

    pub(crate) fn note_placing(&mut self, no: RequestNo, placing: Placing) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.placing = Some(placing);
            r.wait = Wait::Fresh;
        }
    }

    /// Counts gang placements against the pass.
    pub(crate) fn count_placed(pass: &mut Pass, n: usize) {
        pass.placed += n;
    }

    /// Returns when a task of the request is expected to end if it starts now.
    pub(crate) fn expected_end(&self, r: &Request, now: Millis) -> Millis {
        self.accounts.get(r.account).expected_end(&r.spec, now)
    }

    /// Gives a waiting task to a worker and appends the intent.
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
        let ends = self.accounts.get(r.account).expected_end(&r.spec, now);
        let held = held(r, index, now, ends, self.workers.get(worker).incarnation);
        let change = Change::Intent {
            task: held.task,
            worker: self.workers.get(worker).id.clone(),
            incarnation: held.incarnation,
        };
        let account = self.accounts.get_mut(r.account);
        account.settle(now, &self.workers.whole, self.policy.share_half_life);
        account.used.add(&held.resources);
        self.workers.hold(worker, held);
        self.stats.placed += 1;
        self.append(no, change, out)
    }

    /// Remembers to send the start once the ledger has the record at `seq`.
    pub(crate) fn expect_start(&mut self, no: RequestNo, index: u32, worker: WorkerIdx, seq: u64) {
        if let Some(r) = self.requests.get(&no) {
            let task = r.task_id(index);
            self.pending_starts.push_back(PendingStart { seq, task, worker });
        }
    }

    /// Returns the start's payload.
    pub(crate) fn start_of(&self, start: &PendingStart) -> Option<(Arc<Spec>, Arc<str>)> {
        let r = self.requests.get(&start.task.request)?;
        let checkpoint = r.tasks[start.task.index as usize].checkpoint.clone();
        Some((r.spec.clone(), checkpoint.unwrap_or_else(|| "".into())))
    }
}

/// Describes a task on its worker.
pub(crate) fn held(r: &Request, index: u32, now: Millis, ends: Millis, incarnation: u64) -> Held {
    Held {
        task: r.task_id(index),
        resources: r.spec.per_task,
        incarnation,
        preemptible: r.is_preemptible(),
        since: now,
        ends,
    }
}
