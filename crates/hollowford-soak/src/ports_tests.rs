//! Ports of one draw differ, so that a process can listen on all of them.
//!
//! What was seen: a test of processes failed once beside load, since a process could not start: "Address
//! already in use" at an address that only it had. Two of its three ports were the same.

use crate::ports::free_ports;

/// Draws enough that ports found one after the other would hardly ever all differ.
const DRAWS: u32 = 30_000;

#[test]
fn ports_of_one_draw_differ() {
    for _ in 0..DRAWS {
        let [a, b, c] = free_ports().expect("free ports");
        assert!(a != b && b != c && a != c, "{a}, {b}, {c}");
    }
}
