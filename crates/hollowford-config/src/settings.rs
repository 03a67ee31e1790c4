//! Settings of a process.

use crate::policy::read_policy;
use crate::reader::{Document, Section, SettingsError};
use crate::secret::Secret;
use hollowford_core::Millis;
use hollowford_engine::Policy;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Validated settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of the process, unique in the cell.
    pub process: String,
    /// Availability zone of its instance.
    pub zone: String,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// TLS for callers; `None` means plain text.
    pub tls: Option<TlsSettings>,
    /// Address and timeout of the platform's services.
    pub platform: PlatformSettings,
    /// Number of partitions, the same in every process of the cell.
    pub partitions: u32,
    /// How workers are divided among the partitions.
    pub partition_by: PartitionBy,
    /// Secret shared by the processes of the cell, used to authenticate each other.
    pub peer_key: Secret,
    /// SHA-256 of the operator token, in lower-case hex.
    pub operator_token_sha256: String,
    /// Durations of ownership leases and promises.
    pub lease: Lease,
    /// Limits on the use of the store.
    pub store: StoreBudget,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Scheduling policy.
    pub policy: Policy,
}

/// Addresses on which a process listens. With port 0, the operating system chooses the port.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// gRPC endpoint for callers and operators.
    pub callers: SocketAddr,
    /// Endpoint for the other processes of the cell.
    pub peers: SocketAddr,
    /// HTTP endpoint for metrics, health and state.
    pub admin: SocketAddr,
}

/// TLS for callers. The files are reloaded when they change.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
    /// PEM file with the root certificates for client certificates; `None` if callers need no
    /// certificate.
    pub client_roots: Option<PathBuf>,
}

/// Address and timeout of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Address of the table, the object store and the instance list.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Millis,
}

/// How workers are divided among the partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionBy {
    /// By a hash of the instance's id.
    Instance,
    /// By a hash of the instance's availability zone.
    Zone,
}

/// Durations of ownership leases and promises.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Time for which an owner may make decisions after the last renewal of its row.
    pub ownership: Millis,
    /// Interval between renewals.
    pub renew: Millis,
    /// Time for which a process that gets no answer from the store promises its peers not to take
    /// over a partition.
    pub promise: Millis,
    /// Age above which the active configuration must be confirmed before it is used.
    pub config_fresh: Millis,
}

/// Limits on a process's use of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreBudget {
    /// Ledger writes per second for each owned partition.
    pub writes_per_second: u64,
    /// Number of ledger records after which a snapshot is written.
    pub snapshot_records: u64,
}

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of descriptors.
    pub max_fds: u64,
}

const KEYS: &[&str] = &[
    "process",
    "zone",
    "listen",
    "tls",
    "plain_text",
    "platform",
    "partitions",
    "partition_by",
    "peer_key",
    "operator_token_sha256",
    "lease",
    "store",
    "limits",
    "policy",
];

impl TryFrom<&str> for Settings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Settings, SettingsError> {
        Document::new(text).read(read_settings)
    }
}

fn read_settings(s: &Section<'_>) -> Result<Settings, SettingsError> {
    s.check_keys(KEYS)?;
    Ok(Settings {
        process: s.text("process", "an id that is unique in the cell")?.to_owned(),
        zone: s.text("zone", "the availability zone of this instance")?.to_owned(),
        listen: read_listen(s)?,
        tls: read_tls(s)?,
        platform: read_platform(s)?,
        partitions: s.number("partitions", 1, 1..=4_096)? as u32,
        partition_by: read_partition_by(s)?,
        peer_key: read_peer_key(s)?,
        operator_token_sha256: read_sha256(s, "operator_token_sha256")?,
        lease: read_lease(s)?,
        store: read_store(s)?,
        limits: read_limits(s)?,
        policy: match s.section("policy")? {
            Some(policy) => read_policy(&policy)?,
            None => Policy::default(),
        },
    })
}

fn required_section<'a>(s: &Section<'a>, key: &'a str) -> Result<Section<'a>, SettingsError> {
    let missing = || s.error(&format!("{key:?} is missing"), "see examples/ for a complete file");
    s.section(key)?.ok_or_else(missing)
}

fn read_listen(s: &Section<'_>) -> Result<Listen, SettingsError> {
    let l = required_section(s, "listen")?;
    l.check_keys(&["callers", "peers", "admin"])?;
    Ok(Listen {
        callers: l.address("callers")?,
        peers: l.address("peers")?,
        admin: l.address("admin")?,
    })
}

fn read_tls(s: &Section<'_>) -> Result<Option<TlsSettings>, SettingsError> {
    const HELP: &str = "the path of a PEM file";
    let plain_text = s.flag("plain_text", false)?;
    let Some(t) = s.section("tls")? else {
        let loopback = read_listen(s)?.callers.ip().is_loopback();
        if !loopback && !plain_text {
            let help = "give \"tls\", or set \"plain_text\" to true if the network is trusted";
            return Err(s.error("callers on other machines would be served in plain text", help));
        }
        return Ok(None);
    };
    t.check_keys(&["certificate", "key", "client_roots"])?;
    Ok(Some(TlsSettings {
        certificate: t.text("certificate", HELP)?.into(),
        key: t.text("key", HELP)?.into(),
        client_roots: t.get("client_roots").map(|n| n.text()).transpose()?.map(PathBuf::from),
    }))
}

fn read_platform(s: &Section<'_>) -> Result<PlatformSettings, SettingsError> {
    let p = required_section(s, "platform")?;
    p.check_keys(&["address", "timeout_ms"])?;
    Ok(PlatformSettings {
        address: p.address("address")?,
        timeout: Millis(p.number("timeout_ms", 1_000, 10..=60_000)?),
    })
}

fn read_partition_by(s: &Section<'_>) -> Result<PartitionBy, SettingsError> {
    match s.text_or("partition_by", "instance")? {
        "instance" => Ok(PartitionBy::Instance),
        "zone" => Ok(PartitionBy::Zone),
        other => {
            let message = format!("unknown partition_by {other:?}");
            Err(s.error(&message, "\"instance\" or \"zone\""))
        }
    }
}

fn read_peer_key(s: &Section<'_>) -> Result<Secret, SettingsError> {
    const MIN_KEY_BYTES: usize = 16;
    const HELP: &str = "at least 16 characters, the same in every process of the cell";
    let key = s.text("peer_key", HELP)?;
    if key.len() < MIN_KEY_BYTES {
        return Err(s.error("\"peer_key\" is too short", HELP));
    }
    Ok(Secret::new(key))
}

fn read_sha256<'a>(s: &Section<'a>, key: &'a str) -> Result<String, SettingsError> {
    const HELP: &str = "64 lower-case hex digits, as `sha256sum` prints them";
    let text = s.text(key, HELP)?;
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() != 64 || !text.chars().all(hex) {
        return Err(s.error(&format!("{key:?} is not a SHA-256 digest"), HELP));
    }
    Ok(text.to_owned())
}

fn read_lease(s: &Section<'_>) -> Result<Lease, SettingsError> {
    const DEFAULT: Lease = Lease {
        ownership: Millis(1_500),
        renew: Millis(400),
        promise: Millis(3_000),
        config_fresh: Millis(1_500),
    };
    let Some(l) = s.section("lease")? else {
        return Ok(DEFAULT);
    };
    l.check_keys(&["ownership_ms", "renew_ms", "promise_ms", "config_fresh_ms"])?;
    let ownership = l.number("ownership_ms", DEFAULT.ownership.0, 100..=60_000)?;
    let renew = l.number("renew_ms", DEFAULT.renew.0, 20..=30_000)?;
    if renew * 2 > ownership {
        return Err(l.error("\"renew_ms\" is too long", "at most half of ownership_ms"));
    }
    let fresh = l.number("config_fresh_ms", DEFAULT.config_fresh.0, 100..=3_500)?;
    let promise = l.number("promise_ms", DEFAULT.promise.0, 100..=30_000)?;
    Ok(Lease {
        ownership: Millis(ownership),
        renew: Millis(renew),
        promise: Millis(promise),
        config_fresh: Millis(fresh),
    })
}

fn read_limits(s: &Section<'_>) -> Result<ProcessLimits, SettingsError> {
    const DEFAULT: ProcessLimits = ProcessLimits { memory_mb: 256, max_fds: 4_096 };
    let Some(l) = s.section("limits")? else {
        return Ok(DEFAULT);
    };
    l.check_keys(&["memory_mb", "max_fds"])?;
    Ok(ProcessLimits {
        memory_mb: l.number("memory_mb", DEFAULT.memory_mb, 32..=1_048_576)?,
        max_fds: l.number("max_fds", DEFAULT.max_fds, 64..=1_048_576)?,
    })
}

fn read_store(s: &Section<'_>) -> Result<StoreBudget, SettingsError> {
    const DEFAULT: StoreBudget = StoreBudget { writes_per_second: 150, snapshot_records: 200_000 };
    let Some(b) = s.section("store")? else {
        return Ok(DEFAULT);
    };
    b.check_keys(&["writes_per_second", "snapshot_records"])?;
    let writes = b.number("writes_per_second", DEFAULT.writes_per_second, 1..=10_000)?;
    let records = b.number("snapshot_records", DEFAULT.snapshot_records, 100..=10_000_000)?;
    Ok(StoreBudget { writes_per_second: writes, snapshot_records: records })
}
