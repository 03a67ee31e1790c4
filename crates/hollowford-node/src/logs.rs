//! Logs to standard output, one line each, that never hold a duty up.
//!
//! Lines go through a bounded queue to a thread that writes them; a line that finds it full
//! is dropped and counted. Lines about decisions are limited to a number a second besides;
//! what is left out is counted and told in one line.

use env_logger::{Builder, Env, Target};
use hollowford_core::Millis;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written.
const QUEUE: usize = 4_096;
/// Lines about decisions in one second. A busy owner decides some 600 times a second.
const DECISIONS_PER_S: u32 = 1_500;
/// Bytes kept for one line before it is handed over.
const LINE: usize = 256;

/// Stack of the writing thread in bytes; it only copies lines.
const STACK: usize = 64 << 10;

/// Lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging. Called once, before anything is logged.
///
/// # Errors
/// When the writing thread can't be started.
pub fn init() -> io::Result<()> {
    let (tx, rx) = sync_channel(QUEUE);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK)
        .spawn(move || write_all(&rx, &mut io::stdout()))?;
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(QueueWriter { tx, line: Vec::new() })))
        .format(|buf, record| {
            let at = buf.timestamp_millis();
            writeln!(buf, "ts={at} level={} {}", record.level(), record.args())
        })
        .init();
    Ok(())
}

fn write_all(rx: &Receiver<Vec<u8>>, out: &mut impl Write) {
    while let Ok(line) = rx.recv() {
        let mut result = out.write_all(&line);
        while result.is_ok()
            && let Ok(next) = rx.try_recv()
        {
            result = out.write_all(&next);
        }
        if result.and_then(|()| out.flush()).is_err() {
            // Nobody reads the output; what is logged from now on counts as dropped.
            return;
        }
    }
}

/// Hands whole lines to the writing thread, without waiting.
struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            let line = std::mem::replace(&mut self.line, Vec::with_capacity(LINE));
            if self.tx.try_send(line).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Limits lines about decisions.
#[derive(Debug)]
pub struct DecisionLog {
    limit: u32,
    second: Millis,
    written: u32,
    left_out: u64,
}

impl Default for DecisionLog {
    fn default() -> DecisionLog {
        DecisionLog::new(DECISIONS_PER_S)
    }
}

impl DecisionLog {
    /// Makes a log that takes `limit` lines in one second.
    pub fn new(limit: u32) -> DecisionLog {
        DecisionLog { limit, second: Millis(0), written: 0, left_out: 0 }
    }

    /// Writes what was decided, one line each, as far as the limit allows.
    pub fn write(&mut self, decisions: &[impl Display], now: Millis) {
        let left_out = self.take_left_out(now);
        if left_out > 0 {
            log::warn!("log.left_out lines={left_out}");
        }
        for decision in decisions {
            if self.admit(now) {
                log::info!("{decision}");
            }
        }
    }

    /// Tells whether a line may be written at `now`, and counts it.
    pub fn admit(&mut self, now: Millis) -> bool {
        if now.since(self.second) >= Millis(1_000) {
            self.second = now;
            self.written = 0;
        }
        let admitted = self.written < self.limit;
        if admitted {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        admitted
    }

    /// Returns how many lines were left out, once their second is over.
    pub fn take_left_out(&mut self, now: Millis) -> u64 {
        let over = now.since(self.second) >= Millis(1_000);
        if over { std::mem::take(&mut self.left_out) } else { 0 }
    }
}
