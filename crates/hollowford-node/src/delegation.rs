//! Which member makes which of the owner's calls to workers.
//!
//! In a cell of hundreds of workers the owner's own link, channels and wake-ups would bound it.
//! So its members make the calls, each those to a share of the workers, with the owner's fence.
//! A worker has one member, of its own availability zone where there is one; only what a member
//! that comes or goes has to do with changes. A member that says nothing of a call, and one that
//! doesn't reach a worker twice in a row, are passed over for a while. The owner takes a call
//! whose outcome doesn't come for one without an answer: it may have been made, or may be made
//! later, as with any call that is lost on its way.

mod route;

use crate::calls::{AnswerTiming, unanswered};
use crate::delegate_wire::{Delegated, Outcomes};
use crate::link::Outbox;
use crate::members::LinkId;
use crate::wire::Body;
use hollowford_adapter::Called;
use hollowford_core::{AnswerTimes, InstanceId, Millis};
use hollowford_jobs::{LookAnswer, StartAnswer, WorkerCall, WorkerListing};
use route::{Route, pick_member};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// From so many workers on, members make the calls. Below, the owner's own channels cost less
/// than another hop.
const MIN_WORKERS_TO_DELEGATE: usize = 100;
/// Fewest members for it: one that is lost takes its share of calls under way with it.
const MIN_MEMBERS_TO_DELEGATE: usize = 3;
/// A member's report on a call is waited for so much longer than the call's own time limit, at
/// least: the way there and back, and some tens of milliseconds in which it may be busy.
const MIN_REPORT_GRACE: Millis = Millis(300);
/// The same at most, however late members' reports have come.
const MAX_REPORT_GRACE: Millis = Millis(1_500);
/// What comes so long after that is of no use any more.
const LATE_REPORT_TIMEOUT: Millis = Millis(4_000);
/// A member that says nothing of so many calls in a row gets no others for a while.
const MAX_MISSED_REPORTS: u32 = 2;
/// For so long.
const SILENT_MEMBER_PAUSE: Millis = Millis(1_500);
/// A new owner makes no calls until no member has joined for so long: else it would open channels
/// to all workers itself, or give them all to the first that come.
const JOIN_QUIET_TIME: Millis = Millis(60);
/// It waits for members no longer than this.
const MAX_JOIN_WAIT: Millis = Millis(300);

/// A member that can make calls.
#[derive(Clone, Debug)]
pub struct Delegate {
    /// Its link.
    pub link: LinkId,
    /// Its address.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where frames to it go.
    pub outbox: Outbox,
}

/// What is known of a member's reports on its calls.
#[derive(Clone, Copy, Debug, Default)]
struct MemberReports {
    /// Calls in a row that it has said nothing of.
    missed: u32,
    /// It gets no calls before.
    paused_until: Millis,
}

/// A call that a member is making.
#[derive(Debug)]
struct PendingCall {
    call: WorkerCall,
    link: LinkId,
    sent: Millis,
    /// When the member's report is not waited for any more.
    due: Millis,
    /// It was told that there was no answer.
    reported_unanswered: bool,
}

/// What came of a call that a member has made.
#[derive(Debug)]
pub struct CallOutcome {
    /// The call.
    pub call: WorkerCall,
    /// What came of it.
    pub called: Called,
    /// When it was handed to the member, by the engine's clock.
    pub sent: Millis,
    /// Whether it came in time.
    pub timing: AnswerTiming,
}

/// The calls that members make. All times are the engine's.
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
    /// Calls that are not sent yet.
    frames: BTreeMap<LinkId, Delegated>,
    /// How long members' reports take.
    report_times: AnswerTimes,
}

impl Delegation {
    /// Starts without members or workers.
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
            frames: BTreeMap::new(),
            report_times: AnswerTimes::default(),
        }
    }

    /// Sets the members that can make calls.
    pub fn set_members(&mut self, members: Vec<Delegate>, now: Millis) {
        if members.len() > self.members.len() {
            self.last_joined_at = now;
        }
        let known = std::mem::take(&mut self.reports);
        let kept = members.iter().filter_map(|m| Some((m.link, *known.get(&m.link)?)));
        self.reports = kept.collect();
        self.members = members;
    }

    /// Takes over the list of workers.
    pub fn set_workers(&mut self, list: &[WorkerListing]) {
        self.zones = list.iter().map(|l| (l.life.id().clone(), l.zone.clone())).collect();
        self.routes.retain(|address, _| list.iter().any(|l| l.address == *address));
    }

    /// Tells whether members are to make the calls, if there are any.
    fn is_large(&self) -> bool {
        self.zones.len() >= MIN_WORKERS_TO_DELEGATE
    }

    /// Tells whether calls should wait a little for members that are just joining.
    pub fn awaits_members(&self, now: Millis) -> bool {
        self.is_large()
            && now.since(self.created_at) < MAX_JOIN_WAIT
            && (self.members.len() < MIN_MEMBERS_TO_DELEGATE
                || now.since(self.last_joined_at) < JOIN_QUIET_TIME)
    }

    /// Hands a call to a member with the next frame; gives it back when the owner has to make it
    /// itself.
    pub fn delegate(&mut self, call: WorkerCall, limit: Millis, now: Millis) -> Option<WorkerCall> {
        let Some(link) = self.member_for(&call, now) else { return Some(call) };
        let id = self.next_call_id;
        self.next_call_id += 1;
        let frame = self.frames.entry(link).or_insert_with(|| Delegated::new(self.epoch));
        frame.add(id, &call, limit);
        let due = now + worker_wait(&call) + limit + self.report_grace();
        self.due.insert((due, id));
        self.pending
            .insert(id, PendingCall { call, link, sent: now, due, reported_unanswered: false });
        None
    }

    /// Returns the link of the member that makes a call; none: the owner does.
    fn member_for(&self, call: &WorkerCall, now: Millis) -> Option<LinkId> {
        if !self.is_large() || self.members.len() < MIN_MEMBERS_TO_DELEGATE {
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

    /// Returns how much longer than a call's own time limit a member's report is waited for.
    fn report_grace(&self) -> Millis {
        let expected = self.report_times.expected().unwrap_or_default();
        expected.clamp(MIN_REPORT_GRACE, MAX_REPORT_GRACE)
    }

    /// Returns the link of the call that was handed over last.
    #[cfg(test)]
    pub fn last_link(&self) -> Option<LinkId> {
        self.pending.get(&self.next_call_id.checked_sub(1)?).map(|p| p.link)
    }

    /// Sends the calls that were handed over since the last time.
    pub fn send(&mut self, now: Millis) {
        for (link, frame) in std::mem::take(&mut self.frames) {
            let ids: Vec<u64> = frame.calls.iter().map(|c| c.id).collect();
            let member = self.members.iter().find(|m| m.link == link);
            let sent = member.is_some_and(|m| m.outbox.send(Body::Delegated(frame)));
            if !sent {
                log::debug!("delegate.not_sent link={link} calls={}", ids.len());
                ids.into_iter().for_each(|id| self.expire(id, now));
            }
        }
    }

    /// A call's outcome won't come.
    fn expire(&mut self, id: u64, now: Millis) {
        if let Some(p) = self.pending.get_mut(&id) {
            self.due.remove(&(p.due, id));
            p.due = now;
            self.due.insert((now, id));
        }
    }

    /// The link of a member has ended: nothing more comes of its calls.
    pub fn member_left(&mut self, link: LinkId, now: Millis) {
        let ids: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.link == link).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.expire(id, now));
        self.members.retain(|m| m.link != link);
    }

    /// Takes in what a member says of its calls.
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

    fn receive_outcome(&mut self, id: u64, called: Called, now: Millis) -> Option<CallOutcome> {
        let p = self.pending.get_mut(&id)?;
        let timing = if p.reported_unanswered { AnswerTiming::Late } else { AnswerTiming::InTime };
        let answered = is_answered(&called);
        if !answered && p.reported_unanswered {
            return None;
        }
        if answered && !matches!(p.call, WorkerCall::Look { .. }) {
            self.report_times.note(now.since(p.sent));
        }
        let route = self.routes.entry(p.call.address().clone()).or_default();
        route.record(answered);
        if !answered {
            // The answer may still come.
            p.reported_unanswered = true;
            let (call, sent) = (p.call.clone(), p.sent);
            return Some(CallOutcome { call, called, sent, timing });
        }
        let p = self.pending.remove(&id)?;
        self.due.remove(&(p.due, id));
        Some(CallOutcome { call: p.call, called, sent: p.sent, timing })
    }

    /// Returns the calls on which no report has come in time, as unanswered. While reports wait to
    /// be taken in, the owner itself is late, and none is overdue.
    pub fn take_overdue(&mut self, inbox_is_empty: bool, now: Millis) -> Vec<CallOutcome> {
        let mut out = Vec::new();
        if !inbox_is_empty {
            return out;
        }
        while let Some(&(due, id)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, id));
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

    /// A member has said nothing of a call.
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

fn is_answered(called: &Called) -> bool {
    !matches!(
        called,
        Called::Start(StartAnswer::Unanswered)
            | Called::Look(LookAnswer::Unanswered)
            | Called::Stop(false)
            | Called::Pace(false)
    )
}

fn worker_wait(call: &WorkerCall) -> Millis {
    match call {
        WorkerCall::Look { wait, .. } => *wait,
        _ => Millis(0),
    }
}
