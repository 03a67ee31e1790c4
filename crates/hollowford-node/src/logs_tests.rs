//! Lines that wait to be written.
#![allow(clippy::expect_used)]

use crate::logs::QueueWriter;
use std::io::Write;
use std::sync::mpsc::sync_channel;

// Guards against lines that quote a whole path or body of a caller, thousands of which may wait.
#[test]
fn long_lines_are_cut_and_the_next_ones_are_whole() {
    let (tx, rx) = sync_channel(10);
    let mut writer = QueueWriter::new(tx);
    let long = format!("call.refused path={}\n", "x".repeat(300_000));
    for part in [long.as_bytes(), b"a", b"b\n"] {
        writer.write_all(part).expect("the queue has room");
    }
    let lines: Vec<Vec<u8>> = rx.try_iter().collect();
    assert_eq!(lines.iter().map(Vec::len).collect::<Vec<_>>(), [(2 << 10) + 1, 3]);
    assert!(lines[0].ends_with(b"x\n"));
    assert_eq!(lines[1], b"ab\n");
}
