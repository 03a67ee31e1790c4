//! The ports of one call differ, so that a process can listen on all of them.
//!
//! Guards against two equal ports for one process, which then could not start ("Address already in use").

use crate::ports::free_ports;

/// Number of calls: large enough that ports released one at a time would almost certainly repeat.
const CALLS: u32 = 30_000;

#[test]
fn ports_of_one_call_differ() {
    for _ in 0..CALLS {
        let [a, b, c] = free_ports().expect("free ports");
        assert!(a != b && b != c && a != c, "{a}, {b}, {c}");
    }
}
