//! Frames of links that other processes open.
#![allow(clippy::expect_used)]

use crate::frame_decoder::{FrameDecoder, MAX_FRAME_BYTES};
use bytes::{BufMut, BytesMut};
use futures::FutureExt;
use hollowford_connections::{Connection, Limits, Listener, Pool};
use hollowford_core::Clock;
use std::sync::Arc;
use tokio_util::codec::Decoder;

fn connection(max_bytes: usize) -> (Arc<Pool>, Arc<Connection>) {
    let pool = Pool::new(Limits { max_bytes, sockets: 100 }, Clock::new());
    let admitted = pool.admit(Listener::Peers).now_or_never().flatten();
    (pool, Arc::new(admitted.expect("room")))
}

/// Returns the length of a frame of `len` bytes and its first `sent` bytes.
fn part_of_frame(len: usize, sent: usize) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(len as u32);
    bytes.put_bytes(b'x', sent);
    bytes
}

const MANY_BYTES: usize = 100 << 20;

#[test]
fn a_large_first_frame_is_an_error_as_soon_as_its_length_has_come() {
    let (_pool, c) = connection(MANY_BYTES);
    let mut decoder = FrameDecoder::for_incoming(&c).expect("room");
    assert!(decoder.decode(&mut part_of_frame(5_000, 0)).is_err());
}

#[test]
fn a_large_frame_of_a_known_process_is_counted_before_it_comes() {
    let (pool, c) = connection(MANY_BYTES);
    let mut decoder = FrameDecoder::for_incoming(&c).expect("room");
    decoder.allow_large_frames();
    let idle = pool.bytes();
    let mut bytes = part_of_frame(MAX_FRAME_BYTES, 10);
    assert_eq!(decoder.decode(&mut bytes).expect("a part"), None);
    assert_eq!(pool.bytes(), idle + MAX_FRAME_BYTES);
    bytes.put_bytes(b'x', MAX_FRAME_BYTES - 10);
    assert!(decoder.decode(&mut bytes).expect("a frame").is_some());
    bytes.unsplit(part_of_frame(100, 100));
    assert!(decoder.decode(&mut bytes).expect("a frame").is_some());
    assert_eq!(pool.bytes(), idle + MAX_FRAME_BYTES);
    drop(decoder);
    assert_eq!(pool.bytes(), idle);
}

#[test]
fn a_large_frame_without_room_is_an_error() {
    let (_pool, c) = connection(MAX_FRAME_BYTES);
    let mut decoder = FrameDecoder::for_incoming(&c).expect("room");
    decoder.allow_large_frames();
    assert!(decoder.decode(&mut part_of_frame(MAX_FRAME_BYTES, 0)).is_err());
}
