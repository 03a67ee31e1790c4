//! What goes over a link between processes, as bytes.
#![allow(clippy::expect_used)]

use crate::delegate_wire::Delegated;
use crate::link::{decode, encode};
use crate::packed::pack;
use crate::wire::{Body, ConfigRow, Frame, MemberBeat};
use bytes::{Bytes, BytesMut};
use prost::Message;

fn decoded(bytes: &Bytes) -> Option<Body> {
    decode(BytesMut::from(&bytes[..])).expect("a frame")
}

/// A frame with a template of some 2 kB of random text, as a member gets it.
fn starts() -> Frame {
    let mut rng = fastrand::Rng::with_seed(7);
    let template = (0..2_000).map(|_| rng.alphanumeric()).collect();
    let templates = vec![template];
    Frame::from(Body::Delegated(Delegated { epoch: 3, templates, calls: Vec::new() }))
}

/// Pattern: a step of 40 tasks goes to some twenty members, and the owner's link has 2 Mbit/s.
#[test]
fn a_template_takes_four_fifths_of_its_bytes_at_most() {
    let frame = starts();
    let bytes = encode(&frame);
    assert!(bytes.len() * 5 < frame.encoded_len() * 4, "{}", bytes.len());
    assert_eq!(decoded(&bytes), frame.body);
}

#[test]
fn small_frames_and_others_go_as_they_are() {
    let beat = Frame::from(Body::MemberBeat(MemberBeat::default()));
    let row = ConfigRow { row_version: 1, packed: vec![0; 10_000] };
    for frame in [beat, Frame::from(Body::Config(row))] {
        let bytes = encode(&frame);
        assert_eq!(bytes.len(), frame.encoded_len());
        assert_eq!(decoded(&bytes), frame.body);
    }
}

#[test]
fn bytes_that_do_not_unpack_and_frames_packed_twice_are_errors() {
    let broken = Frame::from(Body::Packed(vec![0xff; 40])).encode_to_vec();
    assert!(decode(BytesMut::from(&broken[..])).is_err());
    let once = Frame::from(Body::Packed(pack(&starts().encode_to_vec()).expect("packed")));
    let twice = Frame::from(Body::Packed(pack(&once.encode_to_vec()).expect("packed")));
    assert!(decode(BytesMut::from(&twice.encode_to_vec()[..])).is_err());
}
