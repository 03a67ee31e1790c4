//! The record of task events that a stand-in worker keeps.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// An event of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// The task started.
    Start,
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped by an order.
    Stopped,
    /// The task's lease ended.
    Lapsed,
    /// The worker refused a start for lack of capacity.
    NoRoom,
}

/// One line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock time in microseconds since 1970. All stand-ins run on one machine.
    pub at_us: u64,
    /// Id of the worker.
    pub worker: String,
    /// The event.
    pub what: TaskEvent,
    /// Partition of the session.
    pub partition: u32,
    /// Number of the request.
    pub request: u64,
    /// Index of the task.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: u32,
    /// Name from the payload; empty if it has none.
    pub name: String,
    /// CPU allocated on the worker, in thousandths of a core.
    pub cpu_held: u64,
    /// CPU capacity of the worker, in thousandths of a core.
    pub cpu_capacity: u64,
}

/// Keeps the lines in a file if one is given, so that they survive a killed worker, and otherwise
/// in memory.
#[derive(Debug, Default)]
pub struct Recorder {
    lines: Mutex<Vec<Line>>,
    file: Option<Mutex<File>>,
}

impl Recorder {
    /// Returns a recorder that appends to the file `path`, or keeps the lines in memory for `None`.
    ///
    /// # Errors
    /// Returns an error if the file can't be opened.
    pub fn new(path: Option<&Path>) -> io::Result<Recorder> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Recorder { lines: Mutex::default(), file })
    }

    /// Appends a line.
    pub fn push(&self, line: Line) {
        if let Some(file) = &self.file
            && let (Ok(mut file), Ok(mut text)) = (file.lock(), serde_json::to_vec(&line))
        {
            text.push(b'\n');
            // Lines that can't be written are missing in the test's check.
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

/// Reads the lines of a record file. Skips a line that a kill cut short.
///
/// # Errors
/// Returns an error if the file can't be read.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect())
}
