//! Compression of messages for links with limited bandwidth.
#![allow(clippy::expect_used)]

use crate::compression::{compress, decompress};

/// More bytes than any of these tests decompresses.
const MAX_BYTES: usize = 1 << 20;

/// Returns a configuration text of `count` routes that are as similar as real ones.
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
fn compressed_bytes_decompress_to_the_original() {
    for count in [0, 1, 933] {
        let bytes = routes(count);
        let compressed = compress(&bytes).expect("compressed");
        assert_eq!(decompress(&compressed, MAX_BYTES).expect("decompressed"), bytes);
    }
    let empty = compress(&[]).expect("compressed");
    assert!(decompress(&empty, 0).expect("decompressed").is_empty());
}

/// Guards against a configuration of a thousand routes overloading a link of 200 Mbit/s when it is
/// sent to about forty members at once.
#[test]
fn a_thousand_routes_compress_to_a_fifth_or_less() {
    let bytes = routes(933);
    let compressed = compress(&bytes).expect("compressed");
    assert!(compressed.len() * 5 < bytes.len(), "{} of {}", compressed.len(), bytes.len());
}

#[test]
fn uncompressed_bytes_are_an_error() {
    assert!(decompress(br#"{"version":7}"#, MAX_BYTES).is_err());
}

#[test]
fn exceeding_the_size_limit_is_an_error() {
    let compressed = compress(&vec![0; MAX_BYTES + 1]).expect("compressed");
    assert!(compressed.len() < MAX_BYTES / 100);
    assert!(decompress(&compressed, MAX_BYTES).is_err());
}
