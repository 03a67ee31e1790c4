//! Assignment of the owner's calls to workers to the members that make them.
//!
//! With hundreds of workers, the owner's link, connections and task wake-ups would become the
//! bottleneck. Its members therefore make the calls, each to a share of the workers and with the
//! owner's fence. Each worker is assigned to one member, in its own availability zone if there is
//! one there; a member that joins or leaves changes only its own share. Members that don't report
//! on calls are skipped for a while, and so is a member that fails to reach a worker twice in a
//! row. A call without a report counts as unanswered: like any call lost on the way, it may have
//! been made or may still be made later.

mod route;

use crate::calls::{AnswerTiming, unanswered};
use crate::delegate_wire::{Delegated, Outcomes};
use crate::link::Outbox;
use crate::members::LinkId;
use crate::wire::Body;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::{AnswerTimes, InstanceId, Millis};
use hollowford_jobs::{LookAnswer, StartAnswer, WorkerCall, WorkerListing};
use route::{Route, pick_member};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Minimum number of workers for members to make the calls. With fewer workers, direct connections
/// of the owner cost less than another hop.
const MIN_WORKERS_TO_DELEGATE: usize = 100;
/// Minimum number of members for delegation. A lost member takes its share of the calls in flight
/// with it, so the shares must not be too large.
const MIN_MEMBERS_TO_DELEGATE: usize = 3;
/// Minimum time to wait for a member's report beyond the call's own time limit. It covers the round
/// trip and some tens of milliseconds in which the member may be busy.
const MIN_REPORT_GRACE: Millis = Millis(300);
/// Maximum time to wait for a member's report beyond the call's own time limit.
const MAX_REPORT_GRACE: Millis = Millis(1_500);
/// How long a report is still accepted after its call was counted as unanswered.
const LATE_REPORT_TIMEOUT: Millis = Millis(4_000);
/// A member that misses this many reports in a row gets no calls for [`SILENT_MEMBER_PAUSE`].
const MAX_MISSED_REPORTS: u32 = 2;
/// How long a silent member gets no calls.
const SILENT_MEMBER_PAUSE: Millis = Millis(1_500);
/// A new owner makes no calls until no member has joined for this long. Otherwise it would open
/// connections to all workers itself, or assign them all to the first members that join.
const JOIN_QUIET_TIME: Millis = Millis(60);
/// Maximum time that a new owner waits for members to join.
const MAX_JOIN_WAIT: Millis = Millis(300);

/// A member that can make calls to workers.
#[derive(Clone, Debug)]
pub struct Delegate {
    pub link: LinkId,
    pub address: Arc<str>,
    pub zone: Arc<str>,
    /// Queue of the frames to be sent to it.
    pub outbox: Outbox,
}

/// Reporting history of a member.
#[derive(Clone, Copy, Debug, Default)]
struct MemberReports {
    /// Number of consecutive calls without a report.
    missed: u32,
    /// The member gets no calls before this time.
    paused_until: Millis,
}

/// A call handed to a member.
#[derive(Debug)]
struct PendingCall {
    call: WorkerCall,
    link: LinkId,
    sent: Millis,
    /// When the call counts as unanswered or, after that, is forgotten.
    due: Millis,
    /// Whether the call was reported to the engine as unanswered.
    reported_unanswered: bool,
}

/// The outcome of a call to a worker.
#[derive(Debug)]
pub struct CallOutcome {
    pub call: WorkerCall,
    /// The worker's answer, or that there was none.
    pub called: WorkerAnswer,
    /// When the call was handed to the member or sent by the owner, in engine time.
    pub sent: Millis,
    /// Whether the answer came within the time limit.
    pub timing: AnswerTiming,
}

/// Delegated calls of one owner. All times are in engine time.
#[derive(Debug)]
pub struct Delegation {
    epoch: u64,
    created_at: Millis,
    last_joined_at: Millis,
    members: Vec<Delegate>,
    reports: FxHashMap<LinkId, MemberReports>,
    /// Availability zone of each worker.
    zones: FxHashMap<InstanceId, Arc<str>>,
    routes: FxHashMap<Arc<str>, Route>,
    next_call_id: u64,
    pending: FxHashMap<u64, PendingCall>,
    due: BTreeSet<(Millis, u64)>,
    /// Calls that have not been sent yet, by link.
    unsent_frames: BTreeMap<LinkId, Delegated>,
    /// Response times of the members' reports.
    report_times: AnswerTimes,
}

impl Delegation {
    /// Creates a delegation without members or workers.
    pub fn new(epoch: u64, now: Millis) -> Delegation {
        Delegation {
            epoch,
            created_at: now,
            last_joined_at: now,
            members: Vec::new(),
            reports: FxHashMap::default(),
            zones: FxHashMap::default(),
            routes: FxHashMap::default(),
            next_call_id: 0,
            pending: FxHashMap::default(),
            due: BTreeSet::new(),
            unsent_frames: BTreeMap::new(),
            report_times: AnswerTimes::default(),
        }
    }

    /// Replaces the list of members that can make calls.
    pub fn set_members(&mut self, members: Vec<Delegate>, now: Millis) {
        if members.len() > self.members.len() {
            self.last_joined_at = now;
        }
        let known = std::mem::take(&mut self.reports);
        let reports = members.iter().filter_map(|m| Some((m.link, *known.get(&m.link)?)));
        self.reports = reports.collect();
        self.members = members;
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, list: &[WorkerListing]) {
        self.zones = list.iter().map(|l| (l.life.id().clone(), l.zone.clone())).collect();
        self.routes.retain(|address, _| list.iter().any(|l| l.address == *address));
    }

    /// Returns true if there are enough workers to delegate calls.
    fn has_enough_workers(&self) -> bool {
        self.zones.len() >= MIN_WORKERS_TO_DELEGATE
    }

    /// Returns true while calls should be held back for members that are still joining.
    pub fn awaits_members(&self, now: Millis) -> bool {
        self.has_enough_workers()
            && now.since(self.created_at) < MAX_JOIN_WAIT
            && (self.members.len() < MIN_MEMBERS_TO_DELEGATE
                || now.since(self.last_joined_at) < JOIN_QUIET_TIME)
    }

    /// Assigns a call to a member; the next [`Delegation::send`] sends it. Returns the call if the
    /// owner has to make it itself.
    pub fn delegate(&mut self, call: WorkerCall, limit: Millis, now: Millis) -> Option<WorkerCall> {
        let Some(link) = self.member_for(&call, now) else { return Some(call) };
        let id = self.next_call_id;
        self.next_call_id += 1;
        let frame = self.unsent_frames.entry(link).or_insert_with(|| Delegated::new(self.epoch));
        frame.add(id, &call, limit);
        let due = now + worker_wait(&call) + limit + self.report_grace();
        self.due.insert((due, id));
        self.pending
            .insert(id, PendingCall { call, link, sent: now, due, reported_unanswered: false });
        None
    }

    /// Returns the link of the member that makes a call, or `None` if the owner makes it.
    fn member_for(&self, call: &WorkerCall, now: Millis) -> Option<LinkId> {
        if !self.has_enough_workers() || self.members.len() < MIN_MEMBERS_TO_DELEGATE {
            return None;
        }
        let is_paused =
            |m: &&Delegate| self.reports.get(&m.link).is_some_and(|r| r.paused_until > now);
        let zone = self.zones.get(call.worker().id());
        let in_zone = |m: &&Delegate| zone.is_some_and(|z| *z == m.zone);
        let skipped_members = self.routes.get(call.address()).map_or(0, |r| r.skipped_members);
        let active = || self.members.iter().filter(|m| !is_paused(m));
        let of_zone = pick_member(active().filter(in_zone), call.address(), skipped_members);
        of_zone.or_else(|| pick_member(active(), call.address(), skipped_members)).map(|m| m.link)
    }

    /// Returns how long to wait for a member's report beyond the call's own time limit.
    fn report_grace(&self) -> Millis {
        let expected_delay = self.report_times.expected().unwrap_or_default();
        expected_delay.clamp(MIN_REPORT_GRACE, MAX_REPORT_GRACE)
    }

    /// Returns the link of the most recently delegated call.
    #[cfg(test)]
    pub fn last_link(&self) -> Option<LinkId> {
        self.pending.get(&self.next_call_id.checked_sub(1)?).map(|p| p.link)
    }

    /// Sends the calls that were assigned since the last time.
    pub fn send(&mut self, now: Millis) {
        for (link, frame) in std::mem::take(&mut self.unsent_frames) {
            let ids: Vec<u64> = frame.calls.iter().map(|c| c.id).collect();
            let member = self.members.iter().find(|m| m.link == link);
            let sent = member.is_some_and(|m| m.outbox.send(Body::Delegated(frame)));
            if !sent {
                log::debug!("delegate.not_sent link={link} calls={}", ids.len());
                ids.into_iter().for_each(|id| self.expire(id, now));
            }
        }
    }

    /// Makes a call due at once because its outcome will not arrive.
    fn expire(&mut self, id: u64, now: Millis) {
        if let Some(p) = self.pending.get_mut(&id) {
            self.due.remove(&(p.due, id));
            p.due = now;
            self.due.insert((now, id));
        }
    }

    /// Counts the calls of a member whose link has closed as unanswered.
    pub fn member_left(&mut self, link: LinkId, now: Millis) {
        let ids: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.link == link).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.expire(id, now));
        self.members.retain(|m| m.link != link);
    }

    /// Handles a member's report and returns the outcomes for the engine.
    pub fn receive_outcomes(
        &mut self,
        link: LinkId,
        outcomes: Outcomes,
        now: Millis,
    ) -> Vec<CallOutcome> {
        self.reports.insert(link, MemberReports::default());
        outcomes
            .list
            .into_iter()
            .filter_map(|o| self.receive_outcome(o.id, o.parse().ok()?, now))
            .collect()
    }

    fn receive_outcome(
        &mut self,
        id: u64,
        called: WorkerAnswer,
        now: Millis,
    ) -> Option<CallOutcome> {
        let p = self.pending.get_mut(&id)?;
        let timing = if p.reported_unanswered { AnswerTiming::Late } else { AnswerTiming::InTime };
        let answered = is_answered(&called);
        if !answered && p.reported_unanswered {
            return None;
        }
        if answered && !matches!(p.call, WorkerCall::Look { .. }) {
            self.report_times.record(now.since(p.sent));
        }
        let route = self.routes.entry(p.call.address().clone()).or_default();
        route.record(answered);
        if !answered {
            // The answer may still arrive.
            p.reported_unanswered = true;
            let (call, sent) = (p.call.clone(), p.sent);
            return Some(CallOutcome { call, called, sent, timing });
        }
        let p = self.pending.remove(&id)?;
        self.due.remove(&(p.due, id));
        Some(CallOutcome { call: p.call, called, sent: p.sent, timing })
    }

    /// Returns the calls whose report is overdue, as unanswered. Returns no calls while messages
    /// are waiting in the owner's inbox, because the reports may be among them.
    pub fn take_overdue(&mut self, inbox_is_empty: bool, now: Millis) -> Vec<CallOutcome> {
        let mut out = Vec::new();
        if !inbox_is_empty {
            return out;
        }
        while let Some(&(due_at, id)) = self.due.first().filter(|(due_at, _)| *due_at <= now) {
            self.due.remove(&(due_at, id));
            let Some(p) = self.pending.get_mut(&id) else { continue };
            if p.reported_unanswered {
                self.pending.remove(&id);
                continue;
            }
            p.reported_unanswered = true;
            p.due = now + LATE_REPORT_TIMEOUT;
            self.due.insert((p.due, id));
            let (call, sent, link) = (p.call.clone(), p.sent, p.link);
            let called = unanswered(&call);
            out.push(CallOutcome { call, called, sent, timing: AnswerTiming::InTime });
            self.record_missed_report(link, now);
        }
        out
    }

    /// Records that a member has not reported on a call.
    fn record_missed_report(&mut self, link: LinkId, now: Millis) {
        let reports = self.reports.entry(link).or_default();
        reports.missed += 1;
        if reports.missed == MAX_MISSED_REPORTS {
            reports.missed = 0;
            reports.paused_until = now + SILENT_MEMBER_PAUSE;
            log::info!("delegate.silent link={link} rests_ms={}", SILENT_MEMBER_PAUSE.0);
        }
    }
}

fn is_answered(called: &WorkerAnswer) -> bool {
    !matches!(
        called,
        WorkerAnswer::Start(StartAnswer::Unanswered)
            | WorkerAnswer::Look(LookAnswer::Unanswered)
            | WorkerAnswer::Stop(false)
            | WorkerAnswer::Pace(false)
    )
}

fn worker_wait(call: &WorkerCall) -> Millis {
    match call {
        WorkerCall::Look { wait, .. } => *wait,
        _ => Millis(0),
    }
}
