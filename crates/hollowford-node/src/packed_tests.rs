//! The configuration on its way between processes.
#![allow(clippy::expect_used)]

use crate::packed::{pack, unpack};
use crate::wire::ConfigRow;

/// A configuration of so many routes, as the operator writes it.
fn routes(count: u32) -> Vec<u8> {
    let route = |i| {
        format!(
            r#"{{"name":"r-{i:x}","host":"host{i}.example","path-prefix":"/q{i}/","backend":"takvim",
"priority":1,"max-attempts":4,"stretch":2.5,"target-latency-ms":1000}}"#
        )
    };
    let all: Vec<String> = (0..count).map(route).collect();
    format!(r#"{{"version":7,"routes":[{}]}}"#, all.join(",")).into_bytes()
}

#[test]
fn a_row_comes_out_as_it_went_in() {
    for count in [0, 1, 933] {
        let value = routes(count);
        let row = pack(42, &value).expect("packed");
        assert_eq!(row.row_version, 42);
        assert_eq!(unpack(&row).expect("unpacked"), value);
    }
}

/// Pattern: a thousand routes to some forty members at once, on one link of 200 Mbit/s.
#[test]
fn a_thousand_routes_take_a_fifth_of_their_bytes_at_most() {
    let value = routes(933);
    let row = pack(1, &value).expect("packed");
    assert!(row.packed.len() * 5 < value.len(), "{} of {}", row.packed.len(), value.len());
}

#[test]
fn bytes_that_are_not_packed_are_an_error() {
    let row = ConfigRow { row_version: 1, packed: b"{\"version\":7}".to_vec() };
    assert!(unpack(&row).is_err());
}

#[test]
fn a_row_that_unpacks_to_more_than_any_configuration_is_an_error() {
    let row = pack(1, &vec![0; 17 << 20]).expect("packed");
    assert!(row.packed.len() < 1 << 20);
    assert!(unpack(&row).is_err());
}
