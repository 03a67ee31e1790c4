//! When an owner renews leases and starts tasks, by what confirms its ownership.
//!
//! Guards against an owner that is cut off together with a member, or was paused, and renews the
//! leases of workers that the next owner doesn't reach: tasks then run twice. And against one that
//! lets work end in an outage of the store in which nobody can have taken over.
#![allow(clippy::expect_used)]

use super::test_owner::{EPOCH, QUEUE, TestOwner, spec};
use crate::calls::AnswerTiming;
use crate::inbox::OwnerMsg;
use crate::link::Outbox;
use crate::wire::{Frame, Hello, MemberBeat, OwnerInfo, RenewalTerms};
use crate::writer::BatchOutcome;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::{JobId, Look, LookAnswer, Order, WorkerCall, WorkerListing};
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;
use yare::parameterized;

const WORKER: &str = "w1";
const WORKER_ADDRESS: &str = "127.0.0.1:1";
/// A renewed lease lasts at least this long. Renewed or not, it never lasts longer than 3 s.
const MIN_RENEWED: Millis = Millis(2_900);
const STEP: Millis = Millis(100);
/// More batches than the owner writes in a test.
const MAX_BATCH: u64 = 40;
/// The members, by their links. The random ids of their processes are the same numbers.
const MEMBERS: [u64; 2] = [1, 2];

impl TestOwner {
    /// Creates an owner with a worker, whose owner row names the members as successors.
    fn with_successors() -> (TestOwner, Vec<Receiver<Frame>>) {
        let mut t = TestOwner::new();
        t.owner.engine.set_worker_list(&[listing()], t.now());
        let rxs = MEMBERS.map(|m| t.join(m, m)).into();
        t.run(Millis(500), &MEMBERS);
        t.commit_batches();
        t.run(Millis(500), &MEMBERS);
        (t, rxs)
    }

    /// Opens a link from a member's address by the process with this random id.
    fn join(&mut self, link: u64, boot: u64) -> Receiver<Frame> {
        let (outbox, rx) = Outbox::for_test();
        let address = address(link % 100);
        let hello = Hello { address, cpu_milli: 250, boot, ..Hello::default() };
        self.owner.handle_message(OwnerMsg::Joined(link, hello, outbox));
        rx
    }

    /// Lets the store commit the batches in flight.
    fn finish_batches(&mut self) {
        for batch in 2..MAX_BATCH {
            let outcome = BatchOutcome::Made { rev: batch, answered_in: Some(Millis(5)) };
            self.owner.handle_message(OwnerMsg::BatchFinished { batch, outcome });
        }
    }

    /// Lets the store commit the batches in flight and one that is written after them.
    fn commit_batches(&mut self) {
        let now = self.now();
        self.owner.engine.submit(JobId(now.0), "", QUEUE, Arc::new(spec()), now);
        for _ in 0..2 {
            self.pause(STEP);
            self.owner.poll_engine(true);
            self.finish_batches();
        }
        assert!(self.owner.batches.is_idle());
    }

    /// Adds a job that is durable, without a store call that would confirm the ownership.
    fn accept_job(&mut self) {
        let now = self.now();
        self.owner.engine.submit(JobId(now.0), "", QUEUE, Arc::new(spec()), now);
        let batch = self.owner.engine.next_batch(now).expect("a batch");
        self.owner.engine.batch_committed(batch.number, now);
    }

    /// Delivers answers of these members to a heartbeat that the owner has sent just now.
    fn beat(&mut self, links: &[u64]) {
        let sent = self.owner.cx.shared.clock.now();
        self.beat_to(links, sent, false);
    }

    fn beat_to(&mut self, links: &[u64], sent: Millis, stopping: bool) {
        for &link in links {
            let beat =
                MemberBeat { epoch: EPOCH, echoed_ms: sent.0, stopping, ..Default::default() };
            self.owner.handle_message(OwnerMsg::HeartbeatReceived(link, beat));
        }
    }

    /// Lets the owner work for a while, during which these members answer its heartbeats.
    fn run(&mut self, time: Millis, following: &[u64]) {
        let until = self.now() + time;
        while self.now() < until {
            self.pause(STEP);
            self.beat(following);
            self.look();
        }
    }

    /// Polls the owner, lets the worker answer a look, and returns the remaining lease in the next
    /// look, by the worker's clock.
    fn look(&mut self) -> Millis {
        self.owner.poll_engine(true);
        self.answer_look();
        let orders = self.next_orders();
        self.answer_look();
        let now = self.now();
        let lease = orders.iter().find_map(|o| match o {
            Order::Worker { call: WorkerCall::Look { lease_until, .. }, .. } => *lease_until,
            _ => None,
        });
        Millis(lease.unwrap_or(0)).since(now)
    }

    /// Returns what the engine orders next, without executing it.
    fn next_orders(&mut self) -> Vec<Order> {
        self.pause(Millis(40));
        let mut orders = Vec::new();
        let now = self.now();
        self.owner.engine.poll(now, &mut orders);
        orders
    }

    fn answer_look(&mut self) {
        let now = self.now();
        let look = Look {
            incarnation: None,
            clock: now.0,
            running: Vec::new(),
            ended: Vec::new(),
            ends_cut: false,
        };
        let call = WorkerCall::Look {
            worker: WORKER.into(),
            address: WORKER_ADDRESS.into(),
            lease_until: None,
            acknowledged: 0,
            wait: Millis(0),
        };
        let called = WorkerAnswer::Look(LookAnswer::Lists(look));
        let timing = AnswerTiming::InTime;
        self.owner.handle_message(OwnerMsg::WorkerAnswer { call, called, sent: now, timing });
    }

    fn renews_leases(&mut self) -> bool {
        self.look() >= MIN_RENEWED
    }

    fn report_own_row(&mut self) {
        let now = self.now();
        self.report_row(now, EPOCH);
    }
}

fn address(member: u64) -> String {
    format!("10.0.0.{member}:7000")
}

fn listing() -> WorkerListing {
    WorkerListing {
        life: WORKER.into(),
        address: WORKER_ADDRESS.into(),
        zone: "zone".into(),
        pool: "pool".into(),
        capacity: Resources::new(16_000, 64_000, 0),
        labels: Vec::new(),
        leaving: false,
        remaining: None,
        withdrawn: false,
    }
}

#[tokio::test]
async fn an_owner_that_hears_one_of_two_successors_and_no_store_renews_no_leases() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.run(Millis(1_000), &[1]);
    assert!(t.renews_leases(), "the next owner waits for leases that are renewed this late");
    t.run(Millis(2_000), &[1]);
    assert!(!t.renews_leases());
    t.run(Millis(4_000), &[1]);
    assert_eq!(t.look(), Millis(0));
}

#[tokio::test]
async fn an_owner_starts_nothing_while_it_renews_no_leases() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.run(Millis(4_000), &[1]);
    t.accept_job();
    let is_start = |o: &Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
    assert!(!t.next_orders().iter().any(is_start));
    t.report_own_row();
    t.owner.check_lease_renewal(t.now());
    assert!(t.next_orders().iter().any(is_start));
}

// Nobody can have taken over without the store, and all who could do so soon are there.
#[tokio::test]
async fn in_an_outage_of_the_store_leases_are_renewed_while_all_successors_follow() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.run(Millis(25_000), &MEMBERS);
    assert!(t.renews_leases());
}

// A process that the owner row doesn't name waits no longer than that.
#[tokio::test]
async fn without_the_store_leases_are_not_renewed_forever() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.run(Millis(31_000), &MEMBERS);
    assert!(!t.renews_leases());
    t.report_own_row();
    assert!(t.renews_leases());
}

#[tokio::test]
async fn an_owner_that_the_store_confirms_renews_leases_without_any_successor() {
    let (mut t, _rxs) = TestOwner::with_successors();
    for _ in 0..8 {
        t.run(Millis(1_000), &[]);
        t.report_own_row();
    }
    assert!(t.renews_leases());
}

#[tokio::test]
async fn a_commit_confirms_the_ownership() {
    let (mut t, _rxs) = TestOwner::with_successors();
    let sent = t.owner.cx.shared.clock.now();
    t.run(Millis(4_000), &[]);
    t.beat_to(&MEMBERS, sent, false);
    assert!(!t.renews_leases());
    t.commit_batches();
    assert!(t.renews_leases());
}

// The first poll after a pause comes before anything that tells of the next owner.
#[tokio::test]
async fn after_a_pause_leases_are_renewed_only_once_the_ownership_is_confirmed() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.pause(Millis(6_000));
    assert!(!t.renews_leases());
    t.report_own_row();
    assert!(t.renews_leases());
}

// The answer was on its way while the member took over.
#[tokio::test]
async fn an_answer_to_an_old_heartbeat_confirms_no_more_than_that_heartbeat() {
    let (mut t, _rxs) = TestOwner::with_successors();
    let sent = t.owner.cx.shared.clock.now();
    t.run(Millis(4_000), &[1]);
    t.beat(&[1]);
    t.beat_to(&[2], sent, false);
    assert!(!t.renews_leases());
}

#[tokio::test]
async fn a_successor_whose_link_has_ended_still_counts() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.owner.handle_message(OwnerMsg::Left(2));
    t.run(Millis(4_000), &[1]);
    assert!(!t.renews_leases());
}

// A link that was opened while the owner was paused says nothing about now.
#[tokio::test]
async fn a_successor_that_has_opened_another_link_counts_once_it_answers_a_heartbeat() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.run(Millis(4_000), &[1]);
    let _rx = t.join(102, 2);
    t.run(Millis(300), &[1]);
    assert!(!t.renews_leases());
    t.run(Millis(300), &[1, 102]);
    assert!(t.renews_leases());
}

#[parameterized(
    restarted = { Some(3) },
    stopped = { None },
)]
fn a_successor_that_has_surely_ended_does_not_count(next_boot: Option<u64>) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let _guard = rt.as_ref().expect("a runtime").enter();
    let (mut t, _rxs) = TestOwner::with_successors();
    let sent = t.owner.cx.shared.clock.now();
    t.beat_to(&[2], sent, next_boot.is_none());
    t.owner.handle_message(OwnerMsg::Left(2));
    let _rx = next_boot.map(|boot| t.join(202, boot));
    // The new process may be named as a successor, too.
    t.run(Millis(6_000), if next_boot.is_some() { &[1, 202] } else { &[1] });
    assert!(t.renews_leases());
}

// It may have taken over before a batch that no longer names it is committed.
#[tokio::test]
async fn a_lost_successor_counts_until_a_committed_batch_names_others() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.owner.handle_message(OwnerMsg::Left(2));
    t.run(Millis(1_000), &[1]);
    t.commit_batches();
    t.run(Millis(6_000), &[1]);
    assert!(t.renews_leases());
}

// An owner of two takeovers ago may still renew leases. Its end isn't told with a hand-over.
#[tokio::test]
async fn an_owner_that_waits_for_earlier_ones_has_the_next_one_read_that() {
    for (earlier_leases_until_ms, reads) in [(0, false), (50_000, true)] {
        let terms = RenewalTerms { earlier_leases_until_ms, ..RenewalTerms::default() };
        let mut t = TestOwner::with_terms(terms);
        for _ in 0..2 {
            assert_eq!(t.owner.batches.stable_owner_rev().is_none(), reads);
            t.commit_batches();
        }
    }
}

#[tokio::test]
async fn an_owner_settles_in_the_usual_time_once_the_earlier_one_has_ended() {
    let until = 60_000;
    let terms = RenewalTerms { earlier_leases_until_ms: until, ..RenewalTerms::default() };
    let mut t = TestOwner::with_terms(terms);
    t.owner.engine.set_earlier_leases_until(Millis(until));
    t.owner.handle_message(OwnerMsg::EarlierOwnerEnded);
    let usual = t.owner.cx.shared.settings.time_limits.previous_lease;
    assert!(t.owner.engine.settles_at() <= t.now() + usual);
    assert!(t.owner.batches.stable_owner_rev().is_some());
}

// A calm day must not cost reads.
#[tokio::test]
async fn an_owner_whose_successors_follow_rarely_reads_the_owner_row() {
    let (mut t, _rxs) = TestOwner::with_successors();
    let mut reads = 0;
    for _ in 0..200 {
        t.pause(STEP);
        t.beat(&MEMBERS);
        t.owner.check_lease_renewal(t.owner.now());
        let now = t.now();
        if t.owner.lease_renewal.begin_read(now) {
            reads += 1;
            t.report_own_row();
        }
    }
    assert!(reads <= 2, "{reads} reads in 20 s");
}

// The writer had the answer before the pause; the owner handles it after the pause.
#[tokio::test]
async fn a_commit_before_a_pause_confirms_nothing_after_it() {
    let (mut t, _rxs) = TestOwner::with_successors();
    let now = t.now();
    t.owner.engine.submit(JobId(now.0), "", QUEUE, Arc::new(spec()), now);
    t.pause(STEP);
    t.owner.poll_engine(true);
    assert!(!t.owner.batches.is_idle());
    t.pause(Millis(6_000));
    t.finish_batches();
    assert!(!t.renews_leases(), "another process may have taken over during the pause");
}

// The next owner takes such a process for one that has ended, and waits the usual time only.
#[tokio::test]
async fn an_owner_whose_process_knows_a_newer_owner_renews_no_leases() {
    let (mut t, _rxs) = TestOwner::with_successors();
    let newer = OwnerInfo { boot: 7, ..t.owner.cx.owner_info(EPOCH + 1) };
    assert!(t.owner.cx.partition.record_owner(&newer));
    t.run(Millis(3_000), &MEMBERS);
    assert!(t.owner.end.is_some() || !t.renews_leases());
}

// Otherwise each of its members would wait long for unreached workers if it fell silent.
#[tokio::test]
async fn an_owner_without_other_changes_names_the_members_that_have_joined() {
    let mut t = TestOwner::new();
    let _rxs = MEMBERS.map(|m| t.join(m, m));
    t.run(Millis(20_000), &MEMBERS);
    assert!(!t.owner.batches.named_successors().is_empty());
}

// Its successor was lost and replaced long ago, and no job has changed since.
#[tokio::test]
async fn a_successor_that_was_lost_before_an_outage_lets_no_work_lapse_in_it() {
    let (mut t, _rxs) = TestOwner::with_successors();
    t.owner.handle_message(OwnerMsg::Left(2));
    let _rx = t.join(3, 3);
    for _ in 0..20 {
        t.run(Millis(1_000), &[1, 3]);
        t.finish_batches();
    }
    t.run(Millis(4_000), &[1, 3]);
    assert!(t.renews_leases());
}
