//! Task payloads for stand-in workers: `key=value` words.

/// How a task behaves on a stand-in worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Name of the task in the record.
    pub name: String,
    /// Actual run time in milliseconds, if it differs from the declared one.
    pub run_ms: Option<u64>,
    /// Whether the task fails.
    pub fail: bool,
    /// CPU use in thousandths of a core, if it differs from the allocation.
    pub cpu_milli: Option<u32>,
    /// Memory use in mebibytes, if it differs from the allocation.
    pub memory_mib: Option<u32>,
    /// Size of the result in bytes.
    pub result_bytes: usize,
}

impl From<&[u8]> for Behaviour {
    fn from(payload: &[u8]) -> Behaviour {
        let text = String::from_utf8_lossy(payload);
        let mut b = Behaviour::default();
        for word in text.split_whitespace() {
            let (key, value) = word.split_once('=').unwrap_or((word, ""));
            match key {
                "name" => value.clone_into(&mut b.name),
                "run" => b.run_ms = value.parse().ok(),
                "fail" => b.fail = true,
                "cpu" => b.cpu_milli = value.parse().ok(),
                "memory" => b.memory_mib = value.parse().ok(),
                "result" => b.result_bytes = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        b
    }
}
