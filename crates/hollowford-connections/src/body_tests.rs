//! Bodies and the bytes that they reserve.
#![allow(clippy::expect_used)]

use crate::body::{ReadBodyError, read_body};
use crate::connection::{Connection, NoRoom};
use crate::limits::{Limits, Listener};
use crate::pool::Pool;
use futures::{FutureExt, stream};
use hollowford_core::Clock;
use std::io;
use std::sync::Arc;

const MAX_BYTES: usize = 10_000;

fn connection(max_bytes: usize) -> (Arc<Pool>, Arc<Connection>) {
    let pool = Pool::new(Limits { max_bytes, sockets: 100 }, Clock::new());
    let admitted = pool.admit(Listener::Callers).now_or_never().flatten();
    (pool, Arc::new(admitted.expect("room")))
}

/// Returns a body that consists of `parts` bytes each and then ends or waits for more.
fn body(parts: &[usize], ends: bool) -> poem::Body {
    let parts: Vec<io::Result<Vec<u8>>> = parts.iter().map(|&n| Ok(vec![b'x'; n])).collect();
    let parts = stream::iter(parts);
    if ends {
        poem::Body::from_bytes_stream(parts)
    } else {
        poem::Body::from_bytes_stream(futures::StreamExt::chain(parts, stream::pending()))
    }
}

#[test]
fn a_body_of_the_largest_size_reserves_no_more_than_it_has() {
    let (pool, c) = connection(100 << 20);
    let idle = pool.bytes();
    let read = read_body(&c, body(&[6_000, 1, 3_999], true), MAX_BYTES).now_or_never();
    let (bytes, reservation) = read.expect("an end").expect("a body");
    assert_eq!((bytes.len(), reservation.bytes()), (MAX_BYTES, MAX_BYTES));
    assert_eq!(pool.bytes(), idle + MAX_BYTES);
    drop(reservation);
    assert_eq!(pool.bytes(), idle);
}

#[test]
fn a_body_that_is_too_large_is_rejected_as_soon_as_that_is_known() {
    let (pool, c) = connection(100 << 20);
    let idle = pool.bytes();
    let read = read_body(&c, body(&[MAX_BYTES, 1], false), MAX_BYTES).now_or_never();
    assert!(matches!(read, Some(Err(ReadBodyError::TooLarge))));
    assert_eq!(pool.bytes(), idle);
}

#[test]
fn a_body_without_room_is_refused_at_once() {
    let base = Listener::Callers.connection_bytes();
    let (_pool, c) = connection((base + 4_000) * 4 / 3);
    let read = read_body(&c, body(&[3_000, 3_000], false), MAX_BYTES).now_or_never();
    assert!(matches!(read, Some(Err(ReadBodyError::NoRoom(NoRoom)))));
}

#[test]
fn a_body_whose_connection_is_closed_for_others_is_refused() {
    let (pool, c) = connection(100 << 20);
    let mut read = Box::pin(read_body(&c, body(&[3_000], false), MAX_BYTES));
    assert!(read.as_mut().now_or_never().is_none());
    pool.close_one(Listener::Callers);
    let read = read.now_or_never();
    assert!(matches!(read, Some(Err(ReadBodyError::NoRoom(NoRoom)))));
}
