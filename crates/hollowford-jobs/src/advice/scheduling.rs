//! The decision which waiting steps call for advice.
//!
//! Calls are slow and their tickets are valid for a short time. In a pool that is at least half
//! full, the calls of a pass are therefore made after all steps have had their turn to start tasks,
//! and only for steps that are expected to find capacity while their tickets are valid. In an
//! emptier pool, steps call at once.

use crate::advice::forecast::{Demand, Forecast};
use crate::advice::{AdviceCall, AdviceStatus};
use crate::candidate::CandidateWorker;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::{AdviceCost, Queue};
use crate::reservation::StartPlan;
use crate::urgency::WaitingStep;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Totals};

/// Number of workers that a call is assumed to name when its horizon is computed.
const TYPICAL_WORKERS_PER_CALL: usize = 50;

/// Minimum time before the expected start at which the answer of a first call may arrive. Expected
/// ends are not more accurate than the workers' reports of progress.
const MIN_LEAD: Millis = Millis(100);

/// Maximum number of steps that a pass compares with all workers without a call, the most urgent
/// first. Passes run after every event; full passes and those after slow answers have no limit.
const MAX_HELD_BACK_STEPS: usize = 32;
/// Horizons are multiples of this.
const HORIZON_GRID: Millis = Millis(50);

/// A step that still waits after a pass has tried to start it.
#[derive(Debug)]
pub(crate) struct AdviceRequest {
    pub waiting: WaitingStep,
    /// Number of tasks that wait and that its account's quota allowed when the step had its turn.
    pub tasks: usize,
    /// Worker that no call names because the step's next task avoids it.
    pub avoided: Option<WorkerIdx>,
    /// Expected start of a gang.
    pub plan: Option<StartPlan>,
    /// What the pass has reserved for the step: the expected start and the position of the
    /// candidate of each task.
    pub reserved: Vec<(Millis, usize)>,
    /// Whether it is a gang that the quota of its account doesn't allow now.
    pub exceeds_quota: bool,
}

impl AdviceRequest {
    /// Creates the request of a step of which `tasks` tasks wait.
    pub fn new(waiting: WaitingStep, tasks: usize) -> AdviceRequest {
        AdviceRequest {
            waiting,
            tasks,
            avoided: None,
            plan: None,
            reserved: Vec::new(),
            exceeds_quota: false,
        }
    }
}

/// Times that decide whether a call pays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Horizon {
    /// When the answer is expected.
    pub answered: Millis,
    /// Latest expected start for which the call is made now.
    pub until: Millis,
}

/// Returns the horizon of a call that names `workers` workers, for a step whose last `unused`
/// answers were followed by no start.
///
/// Expected ends are inaccurate in both directions. If capacity is free earlier than expected, a
/// later call delays the start by at most its own duration, and if it is free later, the tickets
/// lapse. So a call is made ahead by at most its duration and half of the validity. After answers in
/// vain it is made later, as the ends were expected too early.
pub(crate) fn horizon(cost: &AdviceCost, workers: usize, unused: u32, now: Millis) -> Horizon {
    let duration = Millis(cost.call_ms(workers) as u64);
    let answered = now + duration;
    // Rounded, so that the steps of a pass ask about few different times.
    let lead =
        duration.max(MIN_LEAD).0.min(cost.ticket_validity.0 / 2).checked_shr(unused).unwrap_or(0);
    let ahead = (answered + Millis(lead)).since(now).0.next_multiple_of(HORIZON_GRID.0);
    Horizon { answered, until: now + Millis(ahead) }
}

impl Engine {
    /// Returns true if calls for a queue's steps are scheduled in this pass: the switch is on, and
    /// at least half of the queue's pool is in use. With more free capacity, what a step could use
    /// is not in dispute.
    pub(crate) fn schedules_advice(&self, pass: &mut Pass, queue: &Queue) -> bool {
        self.features.advice_scheduling && pass.is_half_full(&queue.pool)
    }

    /// Makes the calls for advice that a pass has put off, those of the most urgent steps first.
    pub(crate) fn make_scheduled_calls(&mut self, pass: &mut Pass, out: &mut Vec<Order>) {
        let requests = std::mem::take(&mut pass.advice_requests);
        let may_call: Vec<bool> = requests.iter().map(|r| self.may_call(pass, r)).collect();
        let Some(last) = may_call.iter().rposition(|&may_call| may_call) else { return };
        let mut forecast = self.forecast(pass);
        let mut further_calls = Vec::new();
        let mut held_back = 0;
        for (request, may_call) in requests[..=last].iter().zip(may_call) {
            let may_call = may_call && (pass.may_ask_again || held_back < MAX_HELD_BACK_STEPS);
            let calls_before = self.stats.asked;
            let key = request.waiting.key;
            let Some((job, queue, account)) = self.placement_inputs(key) else { continue };
            let Some(step) = self.placement_of(&job, &queue, account, &request.waiting, pass.now)
            else {
                continue;
            };
            if step.spec.gang {
                let call = may_call
                    .then(|| self.scheduled_gang_call(pass, &mut forecast, request, step))
                    .flatten();
                let is_call_pending =
                    self.jobs.step(key).is_some_and(|s| s.advice.is_call_pending());
                match call {
                    Some(call) if is_call_pending => further_calls.push(call),
                    Some(call) => self.ask_in_parallel(call, pass.now, out),
                    None => {}
                }
            } else {
                self.schedule_call(pass, &mut forecast, (request, may_call), step, out);
            }
            held_back += usize::from(may_call && self.stats.asked == calls_before);
            if step.spec.gang && request.reserved.is_empty() && !request.exceeds_quota {
                self.claim_for_gang(pass, &mut forecast, step);
            }
            for &(start, at) in &request.reserved {
                forecast.reserve(at, &step.spec.allocation(), start);
            }
        }
        // A gang's further calls must not take a channel from a step that has none.
        for call in further_calls {
            self.ask_in_parallel(call, pass.now, out);
        }
    }

    /// Returns true if a channel is free for the step and this pass may make a call for it.
    fn may_call(&self, pass: &Pass, request: &AdviceRequest) -> bool {
        let key = request.waiting.key;
        let Some((job, queue, account)) = self.placement_inputs(key) else { return false };
        let Some(step) = self.placement_of(&job, &queue, account, &request.waiting, pass.now)
        else {
            return false;
        };
        // Expected capacity changes slowly, and the decision compares all workers.
        let is_held_back = self.jobs.step(key).is_some_and(|s| s.advice.held_back_since.is_some());
        if is_held_back && !pass.may_ask_again && !queue.advice.is_some_and(|c| c.is_quick()) {
            return false;
        }
        let cost = match step.spec.gang {
            true => self.call_cost(pass, step),
            false => self.single_call_cost(pass, step),
        };
        cost.is_some()
    }

    /// Returns the capacity that the pass leaves free and the expected ends of the held tasks.
    fn forecast(&self, pass: &Pass) -> Forecast {
        let mut until = pass.now;
        for cost in self.queues.values().filter_map(|q| q.advice) {
            until = until.max(horizon(&cost, TYPICAL_WORKERS_PER_CALL, 0, pass.now).until);
        }
        let mut out = Forecast::default();
        for c in &pass.candidates {
            let held = self.workers.get(c.idx).map_or(&[][..], |w| &w.held);
            let ends = held.iter().map(|h| (h.remaining_until(pass.now), h.allocation));
            out.add_worker(c.free, ends.filter(|&(end, _)| end <= until));
        }
        out
    }

    /// Makes a call for a step that is not a gang if it pays, and claims the capacity that the step
    /// is expected to use.
    fn schedule_call(
        &mut self,
        pass: &Pass,
        forecast: &mut Forecast,
        (request, may_call): (&AdviceRequest, bool),
        step: StepPlacement<'_>,
        out: &mut Vec<Order>,
    ) {
        let need = step.spec.allocation();
        // Reservations of quota for less urgent gangs don't count, which the pass has made since.
        let none = Totals::default();
        let allows = |&n: &usize| {
            self.accounts.allows_after_release(step.account, &need, n as u32 + 1, &none)
        };
        let tasks = (0..request.tasks).take_while(allows).count();
        if tasks == 0 {
            return;
        }
        if may_call && let Some(cost) = self.single_call_cost(pass, step) {
            let mut workers = self.workers_with_expected_room(
                pass,
                forecast,
                step,
                (tasks, request.avoided),
                &cost,
            );
            if workers.is_none() && self.may_call_in_doubt(step, pass.now) {
                workers = self.workers_to_ask_for(pass, step, tasks, request.avoided);
            }
            match workers {
                Some(workers) => {
                    self.ask_for_advice(
                        AdviceCall { step: step.key, workers, cost },
                        pass.now,
                        out,
                    );
                }
                None => self.call_held_back(step, pass.now),
            }
        }
        let claimed = self.claim_expected_room(pass, forecast, step, tasks);
        // Quotas are counted again in the next pass.
        for _ in 0..claimed {
            self.accounts.add_usage(step.account, &need);
        }
    }

    /// Claims capacity for `tasks` tasks on the workers that advice allows or that a pending call
    /// names; the capacity that is free now first. Returns for how many tasks there was capacity.
    fn claim_expected_room(
        &self,
        pass: &Pass,
        forecast: &mut Forecast,
        step: StepPlacement<'_>,
        tasks: usize,
    ) -> usize {
        let need = step.spec.allocation();
        let Some(advice) = self.jobs.step(step.key).map(|s| &s.advice) else { return 0 };
        let run_time = self.expected_run_time(step.key);
        let latest = step
            .queue
            .advice
            .map_or(pass.now, |cost| horizon(&cost, TYPICAL_WORKERS_PER_CALL, 0, pass.now).until);
        if !forecast.has_room(&Demand { need, until: latest, run_time }) {
            return 0;
        }
        let mut until = vec![pass.now];
        let mut positions: Vec<usize> = match step.queue.advice {
            Some(_) => {
                until.push(latest);
                advice.in_question().filter_map(|w| pass.position_of(w)).collect()
            }
            None => (0..pass.candidates.len()).collect(),
        };
        positions.sort_unstable();
        positions.dedup();
        let mut remaining = tasks as u32;
        let limit = if step.spec.max_per_worker > 0 { step.spec.max_per_worker } else { u32::MAX };
        for until in until {
            let demand = Demand { need, until, run_time };
            if !forecast.has_room(&demand) {
                continue;
            }
            for &at in &positions {
                if remaining == 0 || !forecast.may_hold(&need, 1) {
                    return tasks - remaining as usize;
                }
                if !self.is_eligible(&pass.candidates[at], step) {
                    continue;
                }
                let count = forecast.slots(at, &demand).min(remaining).min(limit);
                forecast.claim(at, &need, count);
                remaining -= count;
            }
        }
        tasks - remaining as usize
    }

    /// Claims capacity for a gang without a reservation if all its members are expected to find some.
    fn claim_for_gang(&self, pass: &Pass, forecast: &mut Forecast, gang: StepPlacement<'_>) {
        let (need, count) = (gang.spec.allocation(), gang.spec.count);
        let Some(advice) = self.jobs.step(gang.key).map(|s| &s.advice) else { return };
        let Some(cost) = gang.queue.advice else { return };
        let until = horizon(&cost, TYPICAL_WORKERS_PER_CALL, 0, pass.now).until;
        let demand = Demand { need, until, run_time: self.expected_run_time(gang.key) };
        if !forecast.may_hold(&need, count) || !forecast.has_room(&demand) {
            return;
        }
        let mut positions: Vec<usize> =
            advice.in_question().filter_map(|w| pass.position_of(w)).collect();
        positions.sort_unstable();
        positions.dedup();
        let slots = positions.iter().map(|&at| forecast.slots(at, &demand).min(count));
        if slots.sum::<u32>() >= count {
            self.claim_expected_room(pass, forecast, gang, count as usize);
        }
    }

    /// Returns the call that pays for a gang now: to renew the tickets that its planned start lacks,
    /// or about more workers if the whole gang is expected to find capacity in time on the share of
    /// them that advice will allow.
    fn scheduled_gang_call(
        &mut self,
        pass: &Pass,
        forecast: &mut Forecast,
        request: &AdviceRequest,
        gang: StepPlacement<'_>,
    ) -> Option<AdviceCall> {
        let cost = self.call_cost(pass, gang)?;
        let unused = self.jobs.step(gang.key)?.advice.unused_answers;
        let Horizon { until, .. } = horizon(&cost, TYPICAL_WORKERS_PER_CALL, unused, pass.now);
        if request.exceeds_quota {
            let freed = self.expected_release(gang, until);
            let (need, count) = (gang.spec.allocation(), gang.spec.count);
            if !self.accounts.allows_after_release(gang.account, &need, count, &freed) {
                return None;
            }
            // Less urgent gangs of the account have to wait for further releases.
            for _ in 0..count {
                self.accounts.add_usage(gang.account, &need);
            }
        }
        let plan = request.plan.as_ref();
        let mut workers = self.workers_to_renew(pass, gang, plan, &cost);
        let starts_in_time = plan.is_some_and(|p| p.start <= until);
        if workers.is_empty() && !starts_in_time {
            workers = self.gang_workers_with_expected_room(pass, forecast, gang, until);
            if workers.is_empty() && self.may_call_in_doubt(gang, pass.now) {
                workers = self.more_workers_for_gang(pass, gang);
            }
        }
        if workers.is_empty() {
            self.call_held_back(gang, pass.now);
            return None;
        }
        Some(AdviceCall { step: gang.key, workers, cost })
    }

    /// Returns what tasks of the step's account are expected to release by `until`.
    fn expected_release(&self, step: StepPlacement<'_>, until: Millis) -> Totals {
        let mut out = Totals::default();
        for (_, w) in self.workers.iter() {
            for h in w.held.iter().filter(|h| h.account == step.account) {
                if h.expected_end <= until {
                    out.add(&h.allocation);
                }
            }
        }
        out
    }

    /// Returns true if a step may make one call although no start is expected: calls of it have
    /// been held back for longer than its objective. Expected ends may be wrong for a long time.
    fn may_call_in_doubt(&self, step: StepPlacement<'_>, now: Millis) -> bool {
        let Some(job) = self.jobs.get(step.key.job) else { return false };
        let Some(since) = self.jobs.step(step.key).and_then(|s| s.advice.held_back_since) else {
            return false;
        };
        let path_ms = job.spec.critical_path_ms() as f64;
        let objective = Millis((path_ms * step.queue.stretch) as u64) + step.queue.slack;
        now.since(since) > objective
    }

    /// Records that no call was made for a step because no start is expected in time.
    fn call_held_back(&mut self, step: StepPlacement<'_>, now: Millis) {
        if let Some(s) = self.jobs.step_mut(step.key) {
            s.advice.held_back_since.get_or_insert(now);
        }
    }

    /// Returns the workers that a call for `tasks` tasks names: those that have capacity when the
    /// answer arrives or shortly after, and no more than the tasks are expected to need. `None` if
    /// there are none, or if the step needs no more tickets.
    fn workers_with_expected_room(
        &self,
        pass: &Pass,
        forecast: &mut Forecast,
        step: StepPlacement<'_>,
        (tasks, avoided): (usize, Option<WorkerIdx>),
        cost: &AdviceCost,
    ) -> Option<Vec<WorkerIdx>> {
        let advice = &self.jobs.step(step.key)?.advice;
        let need = step.spec.allocation();
        let times =
            horizon(cost, tasks.min(TYPICAL_WORKERS_PER_CALL), advice.unused_answers, pass.now);
        let run_time = self.expected_run_time(step.key);
        let demand = |until| Demand { need, until, run_time };
        if !forecast.has_room(&demand(times.until)) {
            return None;
        }
        let (mut lapsed, mut unknown, mut full) = (Vec::new(), Vec::new(), Vec::new());
        let mut ticketed_slots = 0;
        let is_first = advice.has_no_answers();
        for (at, c) in pass.candidates.iter().enumerate() {
            if Some(c.idx) == avoided || !self.is_eligible(c, step) {
                continue;
            }
            match advice.advice_status(c.idx, pass.now) {
                AdviceStatus::Denied => {}
                AdviceStatus::ValidTicket => {
                    ticketed_slots += forecast.slots(at, &demand(times.answered)) as usize;
                }
                status => {
                    let slots = forecast.slots(at, &demand(times.until)) as usize;
                    let has_room_now = need.fits(&c.free);
                    let option =
                        NamedWorker { idx: c.idx, has_room_now, cost: c.cost(&step), slots };
                    match status {
                        AdviceStatus::LapsedTicket if slots > 0 => lapsed.push(option),
                        AdviceStatus::Unknown if slots > 0 => unknown.push(option),
                        AdviceStatus::Unknown if is_first && need.fits(&c.capacity) => {
                            full.push(option);
                        }
                        _ => {}
                    }
                }
            }
        }
        let missing = tasks.saturating_sub(ticketed_slots);
        if missing == 0 || (lapsed.is_empty() && unknown.is_empty()) {
            return None;
        }
        Some(self.choose_workers(step, cost, missing, [lapsed, unknown, full]))
    }
}

/// A worker that a call may name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedWorker {
    pub idx: WorkerIdx,
    pub has_room_now: bool,
    /// Cost of placing a task there.
    pub cost: f32,
    /// Number of tasks that are expected to find capacity there in time.
    pub slots: usize,
}

/// Returns true if at least half of some resource of the candidates in a pool is in use.
pub(crate) fn is_half_full(candidates: &[CandidateWorker], pool: &str) -> bool {
    let (mut capacity, mut used) = (Totals::default(), Totals::default());
    for c in candidates.iter().filter(|c| &*c.pool == pool) {
        capacity.add(&c.capacity);
        used.add(&c.capacity.minus(&c.free));
    }
    used.dominant_share(&capacity) >= 0.5
}
