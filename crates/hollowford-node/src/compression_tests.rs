//! Packed bytes: loads of narrow links.
#![allow(clippy::expect_used)]

use crate::compression::{compress, decompress};

/// More than any of these tests unpacks.
const MAX_BYTES: usize = 1 << 20;

/// A text of so many routes, as much alike as those of a configuration are.
fn routes(count: u32) -> Vec<u8> {
    let route = |i| {
        format!(
            r#"{{"name":"r-{i:x}","host":"host{i}.example","prefix":"/q{i}/","pool":"calendars",
"priority":1,"attempts":4,"stretch":2.5,"slack":1000}}"#
        )
    };
    let all: Vec<String> = (0..count).map(route).collect();
    format!(r#"{{"version":7,"routes":[{}]}}"#, all.join(",")).into_bytes()
}

#[test]
fn bytes_come_out_as_they_went_in() {
    for count in [0, 1, 933] {
        let bytes = routes(count);
        let packed = compress(&bytes).expect("packed");
        assert_eq!(decompress(&packed, MAX_BYTES).expect("unpacked"), bytes);
    }
    let empty = compress(&[]).expect("packed");
    assert!(decompress(&empty, 0).expect("unpacked").is_empty());
}

/// Pattern: a thousand routes to some forty members at once, on one link of 200 Mbit/s.
#[test]
fn a_thousand_routes_take_a_fifth_of_their_bytes_at_most() {
    let bytes = routes(933);
    let packed = compress(&bytes).expect("packed");
    assert!(packed.len() * 5 < bytes.len(), "{} of {}", packed.len(), bytes.len());
}

#[test]
fn bytes_that_are_not_packed_are_an_error() {
    assert!(decompress(br#"{"version":7}"#, MAX_BYTES).is_err());
}

#[test]
fn bytes_that_unpack_to_too_much_are_an_error() {
    let packed = compress(&vec![0; MAX_BYTES + 1]).expect("packed");
    assert!(packed.len() < MAX_BYTES / 100);
    assert!(decompress(&packed, MAX_BYTES).is_err());
}
