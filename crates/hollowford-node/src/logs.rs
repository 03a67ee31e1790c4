//! Logs to standard output without blocking the calling task.
//!
//! Lines go through a bounded queue to a writer thread. A line is dropped and counted if the queue
//! is full. The lines about scheduling decisions are also rate-limited, and one line states how
//! many were suppressed.

use env_logger::{Builder, Env, Target};
use hollowford_core::Millis;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Maximum number of lines waiting to be written.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of lines about decisions per second. A busy owner makes about 600 decisions per
/// second.
const MAX_DECISIONS_PER_S: u32 = 1_500;
/// Maximum size of a line, in bytes. Lines may quote what callers send.
const MAX_LINE_BYTES: usize = 2 << 10;
/// Initial capacity of the line buffer, in bytes.
const LINE_CAPACITY: usize = 256;

/// Stack size of the writer thread, which only copies lines.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Number of lines dropped since the start.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts logging. Must be called once, before anything is logged.
///
/// # Errors
/// Returns an error if the writer thread can't be started.
pub fn init() -> io::Result<()> {
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_all(&rx, &mut io::stdout()))?;
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(QueueWriter::new(tx))))
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
            // Standard output is closed; lines logged from now on count as dropped.
            return;
        }
    }
}

/// Passes whole lines to the writer thread without blocking.
pub(crate) struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl QueueWriter {
    pub fn new(tx: SyncSender<Vec<u8>>) -> QueueWriter {
        QueueWriter { tx, line: Vec::new() }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let is_end = buf.ends_with(b"\n");
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&buf[..buf.len().min(room)]);
        if is_end {
            if !self.line.ends_with(b"\n") {
                self.line.push(b'\n');
            }
            let line = std::mem::replace(&mut self.line, Vec::with_capacity(LINE_CAPACITY));
            if self.tx.try_send(line).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Rate limit for the log lines about decisions.
#[derive(Debug)]
pub struct DecisionLog {
    limit: u32,
    second_start: Millis,
    written_in_second: u32,
    suppressed: u64,
}

impl Default for DecisionLog {
    fn default() -> DecisionLog {
        DecisionLog::new(MAX_DECISIONS_PER_S)
    }
}

impl DecisionLog {
    /// Creates a limit of `limit` lines per second.
    pub fn new(limit: u32) -> DecisionLog {
        DecisionLog { limit, second_start: Millis(0), written_in_second: 0, suppressed: 0 }
    }

    /// Logs one line per decision, as far as the limit allows.
    pub fn write(&mut self, decisions: &[impl Display], now: Millis) {
        let suppressed = self.take_suppressed(now);
        if suppressed > 0 {
            log::warn!("log.left_out lines={suppressed}");
        }
        for decision in decisions {
            if self.admit(now) {
                log::info!("{decision}");
            }
        }
    }

    /// Returns true if a line may be logged at `now`, and counts the line.
    pub fn admit(&mut self, now: Millis) -> bool {
        if now.since(self.second_start) >= Millis(1_000) {
            self.second_start = now;
            self.written_in_second = 0;
        }
        let admitted = self.written_in_second < self.limit;
        if admitted {
            self.written_in_second += 1;
        } else {
            self.suppressed += 1;
        }
        admitted
    }

    /// Returns the number of lines suppressed in a second that is over, and resets it.
    pub fn take_suppressed(&mut self, now: Millis) -> u64 {
        let is_over = now.since(self.second_start) >= Millis(1_000);
        if is_over { std::mem::take(&mut self.suppressed) } else { 0 }
    }
}
