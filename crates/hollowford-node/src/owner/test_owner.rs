//! An owner for tests, on a clock that the test advances.
#![allow(clippy::expect_used)]

use super::{Owner, RecoveredState};
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANE_COUNT;
use crate::partition::PartitionContext;
use crate::shared_tests::shared;
use crate::wire::RenewalTerms;
use hollowford_core::{Clock, Millis, Resources};
use hollowford_jobs::{Engine, JobId, JobSpec, Queue, RawJob, RawStep, TimeLimits};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

pub const EPOCH: u64 = 2;
pub const QUEUE: &str = "queue";
pub const STORED_JOB: u64 = 1;

/// An owner with one stored job. Its store is never reached: the test tells it what the owner row
/// names.
pub struct TestOwner {
    pub owner: Owner,
    clock: &'static AtomicU64,
    /// Kept open, so that the owner's reads can be reported.
    pub rx: mpsc::Receiver<OwnerMsg>,
}

impl TestOwner {
    pub fn new() -> TestOwner {
        TestOwner::with_terms(RenewalTerms::default())
    }

    /// Creates an owner that has taken over with these terms.
    pub fn with_terms(terms: RenewalTerms) -> TestOwner {
        let clock: &AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let mut shared = shared();
        shared.clock = Clock::new().shifted(clock);
        shared.set_partitions(1);
        shared.record_store_answer();
        let partition = shared.partitions()[0].clone();
        let cx = PartitionContext { shared: Arc::new(shared), partition };
        let now = cx.shared.clock.now();
        let info = cx.owner_info(EPOCH);
        let engine = engine_with_stored_job(cx.shared.settings.time_limits, now);
        let start = RecoveredState {
            info,
            lanes: [0; LANE_COUNT],
            terms,
            engine,
            clock_offset: 0,
            read_at: now,
        };
        let (handle, rx) = OwnerHandle::new();
        TestOwner { owner: Owner::new(cx, start, handle), clock, rx }
    }

    pub fn pause(&self, time: Millis) {
        self.clock.fetch_add(time.0, Ordering::Relaxed);
    }

    /// Reports that the owner row, read since `started_at`, names the owner at `epoch`.
    pub fn report_row(&mut self, started_at: Millis, epoch: u64) {
        let owner = Some(self.owner.cx.owner_info(epoch));
        self.owner.handle_message(OwnerMsg::OwnerRowRead { started_at, owner });
    }

    pub fn now(&self) -> Millis {
        self.owner.now()
    }
}

fn engine_with_stored_job(limits: TimeLimits, now: Millis) -> Engine {
    let mut engine = Engine::new(EPOCH, limits, now);
    engine.set_queues(&[queue()], now);
    engine.submit(JobId(STORED_JOB), "", QUEUE, Arc::new(spec()), now);
    let batch = engine.next_batch(now).expect("a batch");
    engine.batch_committed(batch.number, now);
    assert!(engine.state(JobId(STORED_JOB)).is_some());
    engine
}

pub fn spec() -> JobSpec {
    let resources = Resources { cpu_milli: 100, ..Resources::default() };
    let step = RawStep { count: 1, resources, estimate_ms: 100, ..RawStep::default() };
    let raw = RawJob { steps: vec![step], ..RawJob::default() };
    raw.try_into().expect("a valid job")
}

fn queue() -> Queue {
    Queue {
        name: QUEUE.into(),
        pool: "pool".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        slack: Millis(0),
        advice: None,
    }
}
