//! Which connections are closed when there is no room, and what is counted.
#![allow(clippy::expect_used)]

use crate::accept::accept_with_pauses;
use crate::connection::{Connection, NoRoom, Phase, WaitLimits};
use crate::http::unbuffered_head_bytes;
use crate::limits::{Limits, Listener};
use crate::pool::Pool;
use futures::FutureExt;
use hollowford_core::{Clock, Millis};
use std::cell::Cell;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;
use yare::parameterized;

/// Room for four callers.
const SOCKETS: usize = 11;
const CALLERS: usize = 4;

/// A pool whose time the test sets.
struct TestPool {
    pool: Arc<Pool>,
    time: &'static AtomicU64,
}

impl TestPool {
    fn new(max_bytes: usize) -> TestPool {
        let time: &'static AtomicU64 = Box::leak(Box::default());
        let limits = Limits { max_bytes, sockets: SOCKETS };
        TestPool { pool: Pool::new(limits, Clock::new().shifted(time)), time }
    }

    /// Lets time pass, so that connections differ in how long they have waited.
    fn pass(&self, ms: u64) {
        self.time.fetch_add(ms, Ordering::Relaxed);
    }

    /// Admits a caller, which must not need to wait.
    fn admit(&self) -> Arc<Connection> {
        self.pass(10);
        let admitted = self.pool.admit(Listener::Callers).now_or_never();
        Arc::new(admitted.expect("room without waiting").expect("room"))
    }

    fn admit_all(&self) -> Vec<Arc<Connection>> {
        (0..CALLERS).map(|_| self.admit()).collect()
    }
}

fn complete_request(c: &Connection) {
    c.enter(Phase::Busy);
    c.enter(Phase::Answer);
    c.record_answer_taken();
}

fn closing(connections: &[Arc<Connection>]) -> Vec<bool> {
    connections.iter().map(|c| c.is_closing()).collect()
}

const MANY_BYTES: usize = 100 << 20;

#[test]
fn the_connection_that_has_waited_longest_makes_room() {
    let t = TestPool::new(MANY_BYTES);
    let mut open = t.admit_all();
    let mut next = Box::pin(t.pool.admit(Listener::Callers));
    assert!(next.as_mut().now_or_never().is_none());
    assert_eq!(closing(&open), [true, false, false, false]);
    open.remove(0);
    assert!(next.now_or_never().expect("room").is_some());
}

#[test]
fn connections_without_a_complete_request_go_first() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit_all();
    complete_request(&open[0]);
    complete_request(&open[1]);
    t.pass(10);
    assert!(t.pool.admit(Listener::Callers).now_or_never().is_none());
    assert_eq!(closing(&open), [false, false, true, false]);
}

#[test]
fn a_request_in_progress_is_never_closed() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit_all();
    open.iter().for_each(|c| c.enter(Phase::Busy));
    assert!(t.pool.admit(Listener::Callers).now_or_never().expect("an answer").is_none());
    assert_eq!(closing(&open), [false; CALLERS]);
    assert_eq!(t.pool.counts(Listener::Callers).refused, 1);
}

#[test]
fn a_request_too_many_is_refused_so_that_some_connection_can_be_closed() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit_all();
    let guards: Vec<_> = open[1..].iter().map(|c| c.begin_request().expect("room")).collect();
    assert_eq!(open[0].begin_request().err(), Some(NoRoom));
    drop(guards);
    assert!(open[0].begin_request().is_ok());
}

#[test]
fn a_connection_with_work_is_not_closed_and_has_waited_only_since_its_end() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit_all();
    let work = (open[0].begin_work(), open[0].begin_work());
    drop(work.0);
    assert!(t.pool.admit(Listener::Callers).now_or_never().is_none());
    assert_eq!(closing(&open), [false, true, false, false]);
    drop(work.1);
    t.pool.close_one(Listener::Callers);
    assert_eq!(closing(&open), [false, true, true, false]);
}

#[test]
fn listeners_dont_take_each_others_connections() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit_all();
    let peer = t.pool.admit(Listener::Peers).now_or_never().expect("an answer");
    assert!(peer.is_some());
    assert_eq!(closing(&open), [false; CALLERS]);
}

#[test]
fn bytes_of_connections_reservations_and_answers_are_counted_and_released() {
    let t = TestPool::new(MANY_BYTES);
    let c = t.admit();
    let idle = t.pool.bytes();
    let mut reservation = c.reserve(1_000).expect("room");
    reservation.resize(3_000).expect("room");
    c.reserve_answer(500).expect("room");
    assert_eq!(t.pool.bytes(), idle + 3_500);
    drop(reservation);
    assert_eq!(t.pool.bytes(), idle + 500);
    complete_request(&c);
    assert_eq!(t.pool.bytes(), idle);
    c.reserve_answer(500).expect("room");
    drop(c);
    assert_eq!(t.pool.bytes(), 0);
}

/// Bytes for three callers, of which a quarter is for other processes only.
fn bytes_for_three() -> usize {
    3 * Listener::Callers.connection_bytes() * 4 / 3
}

#[test]
fn bytes_are_taken_from_those_that_have_waited_longer_and_from_no_others() {
    let t = TestPool::new(bytes_for_three());
    let mut open = vec![t.admit(), t.admit(), t.admit()];
    let mut oldest = open[0].reserve(0).expect("nothing");
    assert_eq!(oldest.resize_when_possible(1).now_or_never(), Some(Err(NoRoom)));
    let newest = open.pop().expect("a connection");
    let mut reservation = newest.reserve(0).expect("nothing");
    let mut resized = Box::pin(reservation.resize_when_possible(1));
    assert!(resized.as_mut().now_or_never().is_none());
    assert_eq!(closing(&open), [true, false]);
    drop(oldest);
    open.remove(0);
    assert_eq!(resized.now_or_never(), Some(Ok(())));
}

#[test]
fn peers_have_bytes_that_callers_cant_take() {
    let t = TestPool::new(bytes_for_three());
    let _open = [t.admit(), t.admit(), t.admit()];
    assert!(t.pool.admit(Listener::Callers).now_or_never().is_none());
    assert!(t.pool.admit(Listener::Peers).now_or_never().flatten().is_some());
}

const WAIT_LIMITS: WaitLimits = WaitLimits { head: Millis(3_000), idle: Millis(15_000) };

#[parameterized(
    idle = { Phase::Idle, 15_001, 14_999 },
    head = { Phase::Head, 3_001, 2_999 },
    body = { Phase::Body, 15_001, 14_999 },
    answer = { Phase::Answer, 15_001, 14_999 },
    busy = { Phase::Busy, u64::MAX / 2, 1_000_000 },
)]
fn connections_may_wait_as_long_as_the_limits_say(phase: Phase, too_long: u64, allowed: u64) {
    let t = TestPool::new(MANY_BYTES);
    let c = t.admit();
    c.enter(phase);
    t.pass(allowed);
    t.pool.close_overdue(Listener::Callers, WAIT_LIMITS);
    assert!(!c.is_closing());
    t.pass(too_long - allowed);
    t.pool.close_overdue(Listener::Callers, WAIT_LIMITS);
    assert_eq!(c.is_closing(), phase != Phase::Busy);
}

#[test]
fn a_head_that_comes_byte_by_byte_has_no_longer_time() {
    let t = TestPool::new(MANY_BYTES);
    let c = t.admit();
    for _ in 0..4 {
        c.record_read();
        t.pass(1_000);
    }
    t.pool.close_overdue(Listener::Callers, WAIT_LIMITS);
    assert!(c.is_closing());
}

#[parameterized(
    smallest = { 120, 3_075, 30_000_000, 2_875 },
    few_descriptors = { 120, 300, 30_000_000, 150 },
    large = { 1_024, 16_384, 256_000_000, 16_184 },
)]
fn limits_follow_from_the_instance(memory_mb: u64, max_fds: u64, bytes: usize, sockets: usize) {
    assert_eq!(Limits::of_instance(memory_mb, max_fds), Limits { max_bytes: bytes, sockets });
}

#[parameterized(
    smallest = { 2_875 },
    few_descriptors = { 150 },
    large = { 16_184 },
)]
fn a_quarter_of_the_sockets_is_left_for_the_process(sockets: usize) {
    let limits = Limits { max_bytes: MANY_BYTES, sockets };
    let taken: usize = Listener::ALL.iter().map(|&l| limits.max_connections(l)).sum();
    assert!(taken <= sockets * 3 / 4, "{taken}");
}

#[parameterized(
    none = { 0, 0 },
    default = { 16_384, 0 },
    large = { 1_000_000, 1_967_232 },
)]
fn heads_beyond_the_buffers_of_each_connection_count(max_head_bytes: usize, bytes: usize) {
    assert_eq!(unbuffered_head_bytes(max_head_bytes), bytes);
}

// Guards against a process that spends its processor time on trying to accept.
#[tokio::test(start_paused = true)]
async fn accepting_pauses_after_a_failure_and_closes_a_connection() {
    let t = TestPool::new(MANY_BYTES);
    let open = t.admit();
    let tries = Cell::new(0);
    let next = || {
        tries.set(tries.get() + 1);
        let failed = tries.get() <= 20;
        async move { if failed { Err(io::Error::other("no descriptors")) } else { Ok(()) } }
    };
    let began_at = Instant::now();
    accept_with_pauses(&t.pool, Listener::Callers, next).await;
    assert_eq!(began_at.elapsed().as_millis(), 20 * 50);
    assert!(open.is_closing());
}
