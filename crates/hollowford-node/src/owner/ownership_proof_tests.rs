//! Answers that an owner may give only while it surely owns its partition.
//!
//! Guards against an owner that was paused or cut off, was replaced meanwhile, and answers from its
//! old state: 410 for a job that the new owner has accepted, or a state that no longer holds.
#![allow(clippy::expect_used)]

use super::OwnerEnd;
use super::test_owner::{EPOCH, QUEUE, STORED_JOB, TestOwner, spec};
use crate::inbox::{OwnerMsg, Reply};
use crate::wire::{Call, CallAnswer, OwnerInfo, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::encode_spec;
use tokio::sync::oneshot::{self, error::TryRecvError};

const UNKNOWN_JOB: u64 = 2;
/// The caller's time limit.
const LIMIT: Millis = Millis(3_000);
/// Longer than the silence after which members suspect an owner.
const PAUSE: Millis = Millis(1_700);

impl TestOwner {
    /// Lets the store fail for this time, during which the owner runs.
    fn lose_store(&mut self, time: Millis) {
        let step = Millis(100);
        for _ in 0..time.0 / step.0 {
            self.pause(step);
            self.owner.cx.shared.record_store_failure(step);
            self.owner.record_poll(self.now());
        }
    }

    fn call(&mut self, verb: Verb, job: u64) -> oneshot::Receiver<CallAnswer> {
        let (tx, rx) = oneshot::channel();
        let mut call = Call {
            id: 1,
            job,
            queue: QUEUE.to_owned(),
            spec: encode_spec(&spec()),
            limit_ms: LIMIT.0,
            ..Call::default()
        };
        call.set_verb(verb);
        self.owner.handle_message(OwnerMsg::Call(call, Reply::Local(tx)));
        rx
    }
}

fn said(rx: &mut oneshot::Receiver<CallAnswer>) -> Option<Said> {
    match rx.try_recv() {
        Ok(answer) => Some(answer.outcome()),
        Err(TryRecvError::Empty) => None,
        Err(TryRecvError::Closed) => panic!("the call was dropped"),
    }
}

#[tokio::test]
async fn an_owner_says_that_a_job_is_unknown_only_once_its_ownership_is_proved() {
    for verb in [Verb::State, Verb::Cancel] {
        let mut t = TestOwner::new();
        t.pause(Millis(50));
        let mut rx = t.call(verb, UNKNOWN_JOB);
        assert_eq!(said(&mut rx), None, "{verb:?}");
        let received_at = t.now();
        t.report_row(received_at - Millis(30), EPOCH);
        assert_eq!(said(&mut rx), None, "{verb:?}: the read was begun before the call");
        t.report_row(received_at + Millis(5), EPOCH);
        assert_eq!(said(&mut rx), Some(Said::NoJob), "{verb:?}");
    }
}

// The job may have been accepted by the new owner.
#[tokio::test]
async fn a_replaced_owner_refers_callers_of_unknown_jobs_to_the_next_owner() {
    for verb in [Verb::State, Verb::Cancel] {
        let mut t = TestOwner::new();
        t.pause(Millis(50));
        let mut rx = t.call(verb, UNKNOWN_JOB);
        t.report_row(t.now(), EPOCH + 1);
        assert_eq!(t.owner.end, Some(OwnerEnd::Deposed));
        t.owner.shut_down(t.rx);
        assert_eq!(said(&mut rx), Some(Said::NotOwner), "{verb:?}");
    }
}

// Whatever the old owner knows may have changed.
#[tokio::test]
async fn after_a_pause_an_owner_answers_nothing_before_its_ownership_is_proved() {
    for verb in [Verb::Submit, Verb::State, Verb::Cancel, Verb::Waiting] {
        let mut t = TestOwner::new();
        t.pause(PAUSE);
        let mut rx = t.call(verb, STORED_JOB);
        assert_eq!(said(&mut rx), None, "{verb:?}");
        t.report_row(t.now(), EPOCH + 1);
        t.owner.shut_down(t.rx);
        assert_eq!(said(&mut rx), Some(Said::NotOwner), "{verb:?}");
    }
}

#[tokio::test]
async fn after_a_pause_an_owner_that_was_not_replaced_goes_on() {
    let mut t = TestOwner::new();
    t.pause(PAUSE);
    let mut state = t.call(Verb::State, STORED_JOB);
    let mut waiting = t.call(Verb::Waiting, 0);
    t.report_row(t.now(), EPOCH);
    assert_eq!(said(&mut state), Some(Said::Value));
    assert_eq!(said(&mut waiting), Some(Said::Value));
    assert_eq!(said(&mut t.call(Verb::State, STORED_JOB)), Some(Said::Value), "a later call");
}

// A calm day must not cost a read for each answer.
#[tokio::test]
async fn an_owner_that_was_not_paused_answers_for_known_jobs_at_once() {
    let mut t = TestOwner::new();
    for _ in 0..50 {
        t.pause(Millis(10));
        assert_eq!(said(&mut t.call(Verb::State, STORED_JOB)), Some(Said::Value));
        assert_eq!(said(&mut t.call(Verb::Submit, STORED_JOB)), Some(Said::Done));
        assert_eq!(said(&mut t.call(Verb::Waiting, 0)), Some(Said::Value));
    }
    assert!(!t.owner.ownership_proof.begin_read(t.now()));
}

#[tokio::test]
async fn calls_about_unknown_jobs_share_reads() {
    let mut t = TestOwner::new();
    let mut reads = 0;
    let mut calls = Vec::new();
    for _ in 0..1_000 {
        t.pause(Millis(1));
        calls.push(t.call(Verb::State, UNKNOWN_JOB));
        let now = t.now();
        if t.owner.ownership_proof.begin_read(now) {
            reads += 1;
            t.report_row(now, EPOCH);
        }
    }
    let answered = calls.iter_mut().filter_map(said).count();
    assert!(answered >= 950, "{answered} of 1,000 calls are answered");
    assert!(reads <= 60, "{reads} reads in a second");
}

// A submission that no owner has handled may have been accepted by another on an earlier attempt.
#[tokio::test]
async fn without_a_proof_callers_are_answered_in_time_and_no_job_is_refused() {
    let expected = [
        (Verb::Submit, Said::Unsure),
        (Verb::State, Said::NotTaken),
        (Verb::Cancel, Said::NotTaken),
        (Verb::Waiting, Said::NotTaken),
    ];
    for (verb, answer) in expected {
        let mut t = TestOwner::new();
        t.pause(PAUSE);
        let mut rx = t.call(verb, UNKNOWN_JOB);
        t.owner.handle_message(OwnerMsg::OwnerRowRead { started_at: t.now(), owner: None });
        t.owner.ownership_proof.answer_unproven(false, t.now() + Millis(100));
        assert_eq!(said(&mut rx), None, "{verb:?}");
        t.owner.ownership_proof.answer_unproven(false, t.now() + LIMIT);
        assert_eq!(said(&mut rx), Some(answer), "{verb:?}");
    }
}

// It can't be served before the store is back, so waiting for the time limit helps nobody.
#[tokio::test]
async fn in_a_known_outage_unproved_calls_are_answered_at_once() {
    let mut t = TestOwner::new();
    t.lose_store(Millis(1_500));
    let mut rx = t.call(Verb::Cancel, UNKNOWN_JOB);
    t.owner.prove_ownership(t.now());
    assert_eq!(said(&mut rx), Some(Said::NotTaken));
}

// After a pause, all store calls that were in flight have failed, and the store may be well.
#[tokio::test]
async fn after_a_pause_an_outage_is_known_only_once_the_owner_row_could_not_be_read() {
    let mut t = TestOwner::new();
    t.pause(PAUSE);
    t.owner.cx.shared.record_store_failure(PAUSE);
    let mut rx = t.call(Verb::Cancel, UNKNOWN_JOB);
    t.owner.prove_ownership(t.now());
    assert_eq!(said(&mut rx), None);
    t.owner.handle_message(OwnerMsg::OwnerRowRead { started_at: t.now(), owner: None });
    assert_eq!(said(&mut rx), Some(Said::NotTaken));
}

#[tokio::test]
async fn the_owner_row_of_another_process_at_the_same_epoch_proves_nothing() {
    let mut t = TestOwner::new();
    t.pause(Millis(50));
    let mut rx = t.call(Verb::State, UNKNOWN_JOB);
    let other = OwnerInfo { boot: 1, ..t.owner.info.clone() };
    let started_at = t.now();
    t.owner.handle_message(OwnerMsg::OwnerRowRead { started_at, owner: Some(other) });
    assert_eq!(t.owner.end, Some(OwnerEnd::Deposed));
    assert_eq!(said(&mut rx), None);
}
