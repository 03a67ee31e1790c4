//! Commands of client accounts: submit and cancel.

use crate::engine::Engine;
use crate::event::{Action, Change, FinalAnswer, Outcome};
use crate::request::{Request, TaskState};
use crate::worker::Worker;
use hollowford_core::{
    AccountId, Error, ErrorKind, Kind, Millis, RequestKey, RequestNo, Resources, Spec, Spread,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Engine {
    /// Accepts a request, or finds the one that has this key and body already.
    ///
    /// The acceptance may be told once [`Engine::is_accepted`] says so.
    ///
    /// # Errors
    /// `Conflict` for a key in use with another body, `Unavailable` while the
    /// ledger can't be written, `QueueFull`, `OverQuota` and `Impossible`. After an
    /// error the request did not run.
    pub fn submit(
        &mut self,
        now: Millis,
        key: &RequestKey,
        spec: &Spec,
        out: &mut Vec<Action>,
    ) -> Result<RequestNo, Error> {
        if let Some(found) = self.find_same(key, spec) {
            return found;
        }
        let unledgered = self.goes_unledgered(now, spec);
        if let Err(e) = self.admit(key, spec, unledgered) {
            self.stats.refused += 1;
            return Err(e);
        }
        let no = RequestNo::new(self.epoch, self.next_no);
        self.next_no += 1;
        let spec = Arc::new(spec.clone());
        let change = Change::Accept { key: key.clone(), spec: spec.clone() };
        let seq = self.append(no, change, out);
        self.insert_request(no, key, spec, now);
        if let Some(r) = self.requests.get_mut(&no) {
            r.accepted_seq = seq;
            r.unledgered = unledgered;
        }
        self.changed_when_durable(no, seq);
        self.enqueue(no, false);
        Ok(no)
    }

    fn find_same(&self, key: &RequestKey, spec: &Spec) -> Option<Result<RequestNo, Error>> {
        let no = *self.keys.get(key)?;
        let r = self.requests.get(&no)?;
        if *r.spec == *spec {
            return Some(Ok(no));
        }
        let message = format!("request {} exists with another body", key.id);
        Some(Err(Error::new(ErrorKind::Conflict, message)))
    }

    fn admit(&mut self, key: &RequestKey, spec: &Spec, unledgered: bool) -> Result<(), Error> {
        let stalled = self.stalled && !unledgered;
        if stalled || self.next_seq - self.durable_seq > self.policy.unsynced_bound {
            let message = "the ledger can't be written now; the request did not run";
            return Err(Error::new(ErrorKind::Unavailable, message));
        }
        let idx = self.accounts.intern(&key.account);
        let a = self.accounts.get(idx);
        let own = if a.policy.max_queued > 0 {
            a.policy.max_queued
        } else {
            self.policy.account_queue_bound
        };
        if a.open >= own || self.open >= self.policy.queue_bound {
            let message = format!("{} requests are open already", a.open);
            return Err(Error::new(ErrorKind::QueueFull, message).retry_after(self.drain_time()));
        }
        self.check_quota(idx, spec)?;
        self.check_possible(spec)
    }

    /// Guesses when a full queue has room again, in milliseconds.
    fn drain_time(&self) -> u64 {
        const SOONEST: u64 = 500;
        const LATEST: u64 = 10_000;
        SOONEST.saturating_add(u64::from(self.open) / 10).min(LATEST)
    }

    fn check_quota(&self, idx: u32, spec: &Spec) -> Result<(), Error> {
        let a = self.accounts.get(idx);
        let together = if spec.kind == Kind::Gang { spec.tasks } else { 1 };
        let mut need = hollowford_core::Totals::default();
        for _ in 0..together {
            need.add(&spec.per_task);
        }
        let q = &a.policy.quota;
        let over = |n: u64, max: u64| max > 0 && n > max;
        if over(need.cpu_milli, q.cpu_milli)
            || over(need.memory_mib, q.memory_mib)
            || over(need.accelerators, q.accelerators)
        {
            let message = format!(
                "it takes {} mcpu, {} MiB, {} accelerators at once; the quota is {}, {}, {}",
                need.cpu_milli,
                need.memory_mib,
                need.accelerators,
                q.cpu_milli,
                q.memory_mib,
                q.accelerators
            );
            return Err(Error::new(ErrorKind::OverQuota, message));
        }
        Ok(())
    }

    /// Refuses work that no instance could ever run. Without every listed worker
    /// claimed the question is open, and the work waits.
    pub(crate) fn check_possible(&self, spec: &Spec) -> Result<(), Error> {
        let unknown = |w: &Worker| w.listed && !w.leaving && !w.claimed;
        if self.workers.len() == 0 || self.workers.iter().any(|(_, w)| unknown(w)) {
            return Ok(());
        }
        let possible = if spec.placement.is_free() {
            self.most_at_once(spec) >= u64::from(tasks_at_once(spec))
        } else {
            self.most_at_once_constrained(spec) >= u64::from(tasks_at_once(spec))
        };
        if possible {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Impossible, self.impossible_message(spec)))
    }

    fn most_at_once(&self, spec: &Spec) -> u64 {
        let caps = self.workers.capacities().iter();
        caps.map(|(cap, n)| u64::from(times(&spec.per_task, cap)) * u64::from(*n)).sum()
    }

    fn most_at_once_constrained(&self, spec: &Spec) -> u64 {
        let mut per_rack: BTreeMap<&str, u64> = BTreeMap::new();
        let mut fitting = 0;
        let mut racks = BTreeSet::new();
        for (_, w) in self.workers.iter() {
            let n = times(&spec.per_task, &w.capacity);
            if !w.claimed || !w.listed || w.leaving || n == 0 || !zone_allows(spec, w) {
                continue;
            }
            racks.insert(&*w.rack);
            let n = if spec.placement.spread == Spread::Instance { 1 } else { n };
            fitting += u64::from(n);
            *per_rack.entry(&w.rack).or_insert(0) += u64::from(n);
        }
        if spec.placement.same_rack {
            return per_rack.values().copied().max().unwrap_or(0);
        }
        if spec.placement.spread == Spread::Rack { racks.len() as u64 } else { fitting }
    }

    fn impossible_message(&self, spec: &Spec) -> String {
        let caps = self.workers.capacities().iter().filter(|(_, n)| **n > 0);
        let Some((cap, _)) = caps.max_by_key(|(c, _)| (c.accelerators, c.cpu_milli)) else {
            return "the partition has no usable instance".to_owned();
        };
        format!(
            "{} tasks of {} mcpu, {} MiB, {} accelerators fit nowhere at once; \
             the largest instance has {} mcpu, {} MiB, {} accelerators, and {} such tasks fit \
             where the placement allows",
            tasks_at_once(spec),
            spec.per_task.cpu_milli,
            spec.per_task.memory_mib,
            spec.per_task.accelerators,
            cap.cpu_milli,
            cap.memory_mib,
            cap.accelerators,
            self.most_at_once_constrained(spec)
        )
    }

    /// Adds a request to the tables, without queueing it.
    pub(crate) fn insert_request(
        &mut self,
        no: RequestNo,
        key: &RequestKey,
        spec: Arc<Spec>,
        now: Millis,
    ) {
        let account = self.accounts.intern(&key.account);
        let mut r = Request::new(no, key.clone(), spec, account);
        r.accepted_at = now;
        if r.spec.start_within_ms > 0 {
            self.start_by.insert((now + Millis(r.spec.start_within_ms), no));
        }
        self.accounts.get_mut(account).open += 1;
        self.open += 1;
        self.keys.insert(key.clone(), no);
        self.requests.insert(r);
    }

    /// Cancels a request. The answer comes once its running tasks have stopped.
    ///
    /// # Errors
    /// `NotFound` when the account has no such request.
    pub fn cancel(
        &mut self,
        now: Millis,
        key: &RequestKey,
        out: &mut Vec<Action>,
    ) -> Result<RequestNo, Error> {
        let Some(&no) = self.keys.get(key) else {
            return Err(Error::new(ErrorKind::NotFound, format!("no request {}", key.id)));
        };
        self.cancel_no(now, no, out);
        Ok(no)
    }

    /// Cancels every open request of the account that carries the label, in one
    /// pass, and returns how many there were.
    pub fn cancel_label(
        &mut self,
        now: Millis,
        account: &AccountId,
        label: &str,
        out: &mut Vec<Action>,
    ) -> u32 {
        let Some(idx) = self.accounts.find(account) else {
            return 0;
        };
        let hit = |r: &&Request| {
            r.account == idx
                && r.answer.is_none()
                && !r.cancelled
                && r.spec.labels.iter().any(|l| &**l == label)
        };
        let mut nos: Vec<RequestNo> = self.requests.values().filter(hit).map(|r| r.no).collect();
        nos.sort_unstable();
        for no in &nos {
            self.cancel_no(now, *no, out);
        }
        nos.len() as u32
    }

    fn cancel_no(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if r.answer.is_some() || r.cancelled {
            return;
        }
        r.cancelled = true;
        self.append(no, Change::Cancel, out);
        self.drop_waiting(no);
        self.stop_all(now, no, false, out);
        self.close_if_ended(now, no, out);
        self.changed(no, out);
    }

    /// Marks the tasks that wait as ended.
    pub(crate) fn drop_waiting(&mut self, no: RequestNo) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        while let Some(index) = r.waiting.pop_front() {
            r.tasks[index as usize].state = TaskState::Ended;
        }
    }

    /// Withdraws a request's placed tasks and stops those that may run.
    pub(crate) fn stop_all(
        &mut self,
        now: Millis,
        no: RequestNo,
        checkpoint: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&no) else {
            return;
        };
        let held: Vec<u32> = (0..r.tasks.len() as u32)
            .filter(|&i| r.tasks[i as usize].state.worker().is_some())
            .collect();
        for index in held {
            self.stop_task(now, no, index, checkpoint, out);
        }
    }

    /// Gives a request that never ran its final answer.
    pub(crate) fn close_not_run(
        &mut self,
        now: Millis,
        no: RequestNo,
        why: &Error,
        out: &mut Vec<Action>,
    ) {
        self.drop_waiting(no);
        let answer = FinalAnswer {
            outcome: Outcome::NotRun,
            reason: why.kind.answer().name.into(),
            message: why.message.as_str().into(),
            had_begun: false,
        };
        self.close(now, no, answer, out);
    }
}

/// Returns how many tasks of a request must have room at the same time.
fn tasks_at_once(spec: &Spec) -> u32 {
    if spec.kind == Kind::Gang { spec.tasks } else { 1 }
}

/// Returns how many times `need` goes into `room`.
pub(crate) fn times(need: &Resources, room: &Resources) -> u32 {
    let part = |n: u32, r: u32| r.checked_div(n).unwrap_or(u32::MAX);
    part(need.cpu_milli, room.cpu_milli)
        .min(part(need.memory_mib, room.memory_mib))
        .min(part(need.accelerators, room.accelerators))
}

/// Tells whether the request's placement names this worker's zone and doesn't exclude it.
pub(crate) fn zone_allows(spec: &Spec, w: &Worker) -> bool {
    let p = &spec.placement;
    (p.zones.is_empty() || p.zones.contains(&w.zone)) && !p.exclude_instances.contains(&w.id)
}
