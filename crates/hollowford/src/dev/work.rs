//! Work files for `dev`: a cell, its client accounts, and the work to submit.

use hollowford_config::{Document, Node, Section, SettingsError, read_policy};
use hollowford_engine::Policy;
use hollowford_protocol::v1;

const HOUR_MS: u64 = 3_600_000;

/// A parsed work file.
#[derive(Clone, Debug)]
pub struct WorkFile {
    /// Number of processes of the system.
    pub entries: u64,
    /// Number of partitions.
    pub partitions: u64,
    /// Workers of the cell.
    pub workers: WorkerGroup,
    /// Scheduling policy.
    pub policy: Policy,
    /// Client accounts.
    pub accounts: Vec<AccountSpec>,
    /// Work to submit.
    pub work: Vec<WorkItem>,
}

/// The cell's workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerGroup {
    pub count: u64,
    pub zones: u64,
    pub per_rack: u64,
    pub cpu_milli: u64,
    pub memory_mib: u64,
    pub accelerators: u64,
}

/// A client account of the work file.
#[derive(Clone, Debug)]
pub struct AccountSpec {
    pub name: String,
    pub token: String,
    pub weight: u64,
    pub quota_cpu_milli: u64,
}

/// A series of equal requests.
#[derive(Clone, Debug)]
pub struct WorkItem {
    pub name: String,
    pub account: String,
    pub requests: u64,
    /// When the first request is submitted, in milliseconds from the start.
    pub after_ms: u64,
    /// Time between two requests, in milliseconds.
    pub every_ms: u64,
    pub spec: v1::RequestSpec,
}

/// Parses a work file.
///
/// # Errors
/// Returns the first error in the file, with line and column.
pub fn read(text: &str) -> Result<WorkFile, SettingsError> {
    Document::new(text).read(|s| {
        s.check_keys(&["entries", "partitions", "workers", "policy", "accounts", "work"])?;
        let policy = match s.section("policy")? {
            Some(p) => read_policy(&p)?,
            None => Policy::default(),
        };
        let accounts =
            s.list("accounts")?.iter().map(read_account).collect::<Result<Vec<_>, _>>()?;
        let work = s.list("work")?;
        let work = work.iter().map(|n| read_item(n, &accounts)).collect::<Result<Vec<_>, _>>()?;
        Ok(WorkFile {
            entries: s.number("entries", 3, 1..=9)?,
            partitions: s.number("partitions", 1, 1..=64)?,
            workers: read_workers(s)?,
            policy,
            accounts,
            work,
        })
    })
}

fn read_workers(s: &Section<'_>) -> Result<WorkerGroup, SettingsError> {
    let Some(w) = s.section("workers")? else {
        return Err(s.error("\"workers\" is missing", "an object with \"count\""));
    };
    w.check_keys(&["count", "zones", "per_rack", "cpu_milli", "memory_mib", "accelerators"])?;
    Ok(WorkerGroup {
        count: w.number("count", 50, 1..=200)?,
        zones: w.number("zones", 1, 1..=32)?,
        per_rack: w.number("per_rack", 6, 1..=64)?,
        cpu_milli: w.number("cpu_milli", 16_000, 1..=1_000_000)?,
        memory_mib: w.number("memory_mib", 65_536, 1..=16_000_000)?,
        accelerators: w.number("accelerators", 0, 0..=64)?,
    })
}

fn read_account(node: &Node<'_>) -> Result<AccountSpec, SettingsError> {
    let a = node.section()?;
    a.check_keys(&["name", "token", "weight", "quota_cpu_milli"])?;
    Ok(AccountSpec {
        name: a.text("name", "the client account's name")?.to_owned(),
        token: a.text("token", "the token that its callers send")?.to_owned(),
        weight: a.number("weight", 1, 1..=1_000)?,
        quota_cpu_milli: a.number("quota_cpu_milli", 0, 0..=1_000_000_000)?,
    })
}

const ITEM_KEYS: &[&str] = &[
    "name",
    "account",
    "requests",
    "after_ms",
    "every_ms",
    "kind",
    "tasks",
    "cpu_milli",
    "memory_mib",
    "accelerators",
    "run_ms",
    "true_run_ms",
    "result_bytes",
    "repeatable",
    "urgent",
    "labels",
    "same_rack",
    "start_within_ms",
];

fn read_item(node: &Node<'_>, accounts: &[AccountSpec]) -> Result<WorkItem, SettingsError> {
    let w = node.section()?;
    w.check_keys(ITEM_KEYS)?;
    let account = w.text("account", "one of \"accounts\"")?;
    if !accounts.iter().any(|a| a.name == account) {
        return Err(w.error(&format!("no account {account:?}"), "one of \"accounts\""));
    }
    Ok(WorkItem {
        name: w.text("name", "start of the request ids")?.to_owned(),
        account: account.to_owned(),
        requests: w.number("requests", 1, 1..=10_000)?,
        after_ms: w.number("after_ms", 0, 0..=HOUR_MS)?,
        every_ms: w.number("every_ms", 0, 0..=HOUR_MS)?,
        spec: read_spec(&w)?,
    })
}

fn read_spec(w: &Section<'_>) -> Result<v1::RequestSpec, SettingsError> {
    let kind = match w.text("kind", "check, gang, batch or service")? {
        "check" => v1::Kind::Check,
        "gang" => v1::Kind::Gang,
        "batch" => v1::Kind::Batch,
        "service" => v1::Kind::Service,
        other => {
            let message = format!("no kind {other:?}");
            return Err(w.error(&message, "check, gang, batch or service"));
        }
    };
    let labels = w.list("labels")?;
    let labels = labels.iter().map(|l| l.text().map(str::to_owned));
    Ok(v1::RequestSpec {
        kind: kind.into(),
        tasks: w.number("tasks", 1, 1..=10_000)? as u32,
        per_task: Some(v1::Resources {
            cpu_milli: w.number("cpu_milli", 1_000, 1..=1_000_000)? as u32,
            memory_mib: w.number("memory_mib", 1_024, 0..=16_000_000)? as u32,
            accelerators: w.number("accelerators", 0, 0..=64)? as u32,
        }),
        run_time_ms: w.number("run_ms", 0, 0..=HOUR_MS)?,
        repeatable: w.flag("repeatable", false)?,
        urgent: w.flag("urgent", false)?,
        labels: labels.collect::<Result<Vec<_>, _>>()?,
        placement: match w.flag("same_rack", false)? {
            true => Some(v1::Placement { same_rack: true, ..Default::default() }),
            false => None,
        },
        payload: read_payload(w)?.into_bytes(),
        start_within_ms: w.number("start_within_ms", 0, 0..=HOUR_MS)?,
    })
}

/// Returns the payload that tells the stand-in workers the actual run time and result size.
fn read_payload(w: &Section<'_>) -> Result<String, SettingsError> {
    let mut words = Vec::new();
    if w.get("true_run_ms").is_some() {
        words.push(format!("run={}", w.number("true_run_ms", 0, 0..=HOUR_MS)?));
    }
    if w.get("result_bytes").is_some() {
        words.push(format!("result={}", w.number("result_bytes", 0, 0..=1_000_000)?));
    }
    Ok(words.join(" "))
}
