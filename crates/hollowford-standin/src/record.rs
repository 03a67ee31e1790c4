//! The record that a stand-in worker keeps of what it did.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// What happened to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// It started.
    Start,
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// A start was refused, because the instance had no room for it.
    NoRoom,
}

/// One line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock in microseconds since 1970. All stand-ins run on one machine.
    pub at_us: u64,
    /// The worker.
    pub worker: String,
    /// What happened.
    pub what: TaskEvent,
    /// Partition of the session.
    pub partition: u32,
    /// Number of the request.
    pub request: u64,
    /// Index of the task.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: u32,
    /// Name from the payload.
    pub name: String,
    /// Processors that the worker holds after this, in thousandths of a core.
    pub cpu_held: u64,
    /// Processors that the instance has.
    pub cpu_capacity: u64,
}

/// Where lines are kept: in memory, and in a file when one is given, so that a
/// killed worker's lines stay.
#[derive(Debug, Default)]
pub struct Recorder {
    lines: Mutex<Vec<Line>>,
    file: Option<Mutex<File>>,
}

impl Recorder {
    /// Makes a recorder that appends to `path` as well, when given.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn new(path: Option<&Path>) -> io::Result<Recorder> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Recorder { lines: Mutex::default(), file })
    }

    /// Keeps one line.
    pub fn push(&self, line: Line) {
        if let Some(file) = &self.file
            && let (Ok(mut file), Ok(mut text)) = (file.lock(), serde_json::to_vec(&line))
        {
            text.push(b'\n');
            // A record that can't be written shows as missing lines in the test.
            let _ = file.write_all(&text);
        }
        if self.file.is_none()
            && let Ok(mut lines) = self.lines.lock()
        {
            lines.push(line);
        }
    }

    /// Returns the lines kept in memory.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().map(|l| l.clone()).unwrap_or_default()
    }
}

/// Reads the lines of a record file.
///
/// # Errors
/// When the file can't be read. A line cut off by a kill is left out.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect())
}
