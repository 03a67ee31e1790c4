//! The active configuration of the client accounts: their tokens, weights and quotas.
//!
//! A change is one transaction over three rows: the account's own row, the head (a counter of the
//! changes of all accounts) and one row of the history. Versions only increase.

use hollowford_core::{AccountId, Clock, Error, ErrorKind, Millis, Totals};
use hollowford_engine::AccountPolicy;
use hollowford_platform::{Platform, StoreError, Txn, TxnResult};
use hollowford_protocol::v1;
use prost::Message;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub(crate) const HEAD_KEY: &str = "config/head";
pub(crate) const ACCOUNT_PREFIX: &str = "config/account/";
pub(crate) const HISTORY_PREFIX: &str = "config/log/";
/// Maximum number of attempts of a change that conflicts with concurrent changes.
const MAX_HEAD_ATTEMPTS: usize = 20;

/// Row `config/head`.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeadRow {
    /// Number of the newest change.
    #[prost(uint64, tag = "1")]
    pub head: u64,
}

/// Row `config/account/NAME`.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AccountRow {
    #[prost(message, optional, tag = "1")]
    pub config: Option<v1::AccountConfig>,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(string, tag = "3")]
    pub author: String,
}

/// The active configuration of one account.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AccountEntry {
    pub id: AccountId,
    pub config: v1::AccountConfig,
    pub version: u64,
    pub author: String,
}

impl AccountEntry {
    /// Decodes an account's row. Returns `None` if it is malformed.
    pub fn from_row(name: &str, bytes: &[u8]) -> Option<AccountEntry> {
        let row = AccountRow::decode(bytes).ok()?;
        Some(AccountEntry {
            id: name.into(),
            config: row.config?,
            version: row.version,
            author: row.author,
        })
    }

    /// Returns the account's weight, quota and queue limit for the engine.
    pub fn policy(&self) -> AccountPolicy {
        AccountPolicy {
            weight: self.config.weight,
            quota: Totals {
                cpu_milli: self.config.quota_cpu_milli,
                memory_mib: self.config.quota_memory_mib,
                accelerators: self.config.quota_accelerators,
            },
            max_queued: self.config.max_queued,
        }
    }

    /// Returns the configuration as operators see it.
    pub fn view(&self) -> v1::ConfigView {
        v1::ConfigView {
            account: self.id.to_string(),
            config: Some(self.config.clone()),
            version: self.version,
            author: self.author.clone(),
        }
    }
}

/// The active configuration of all accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveAccounts {
    /// Number of the newest change included.
    pub head: u64,
    pub accounts: HashMap<AccountId, Arc<AccountEntry>>,
    by_token: HashMap<String, AccountId>,
}

impl ActiveAccounts {
    /// Returns the account to which a token belongs.
    pub fn by_token(&self, token: &str) -> Option<&AccountId> {
        self.by_token.get(&hash_token(token))
    }

    /// Returns a copy with these accounts changed. An older version never replaces a newer one.
    pub fn with_changes(&self, head: u64, entries: Vec<AccountEntry>) -> ActiveAccounts {
        let mut next = self.clone();
        next.head = next.head.max(head);
        for entry in entries {
            let known = next.accounts.get(&entry.id).map_or(0, |e| e.version);
            if entry.version <= known {
                continue;
            }
            if let Some(old) = next.accounts.get(&entry.id) {
                next.by_token.remove(&old.config.token_sha256);
            }
            next.by_token.insert(entry.config.token_sha256.clone(), entry.id.clone());
            next.accounts.insert(entry.id.clone(), Arc::new(entry));
        }
        next
    }
}

/// When the active configuration was last known to be the newest.
#[derive(Debug, Default)]
pub(crate) struct ConfigFreshness {
    confirmed_at: AtomicU64,
}

impl ConfigFreshness {
    /// Records that the active configuration was the newest at `at`.
    pub fn confirm(&self, at: Millis) {
        self.confirmed_at.fetch_max(at.0.max(1), Ordering::AcqRel);
    }

    /// Returns the time since the last confirmation, or `None` before the first one.
    pub fn age(&self, clock: &Clock) -> Option<Millis> {
        match self.confirmed_at.load(Ordering::Acquire) {
            0 => None,
            at => Some(clock.now().since(Millis(at))),
        }
    }
}

/// Returns the SHA-256 of a token, in lower-case hex.
pub fn hash_token(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Checks an account's name and configuration.
///
/// # Errors
/// `Invalid`, naming the field.
fn check_config(account: &str, config: &v1::AccountConfig) -> Result<(), Error> {
    const MAX_NAME: usize = 64;
    const MAX_WEIGHT: u32 = 1_000;
    let invalid = |message: &str| Err(Error::new(ErrorKind::Invalid, message));
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if account.is_empty() || account.len() > MAX_NAME || !account.chars().all(is_allowed) {
        return invalid("account: 1 to 64 letters, digits, '-', '_' or '.'");
    }
    let is_lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if config.token_sha256.len() != 64 || !config.token_sha256.chars().all(is_lower_hex) {
        return invalid("config.token_sha256: 64 lower-case hex digits");
    }
    if config.weight == 0 || config.weight > MAX_WEIGHT {
        return invalid("config.weight: 1 to 1,000");
    }
    Ok(())
}

fn write_error(e: &StoreError) -> Error {
    match e {
        StoreError::Refused(_) => Error::new(ErrorKind::Internal, e.to_string()),
        StoreError::Unanswered(_) => {
            let message = format!(
                "the change may have taken effect; read the configuration to find out: {e}"
            );
            Error::new(ErrorKind::Unknown, message)
        }
    }
}

/// Changes one account's configuration if its current version is the expected one. Returns the
/// new configuration and the number of the change.
///
/// # Errors
/// `Invalid`; `Conflict`, naming the current version and its author; `Unknown` if the store
/// didn't answer and reading the row back didn't show the change; `Unavailable` if nothing was
/// written; `Internal` if the store refused the write.
pub(crate) async fn set_account(
    store: &Platform,
    clock: &Clock,
    req: &v1::SetConfigRequest,
) -> Result<(AccountEntry, u64), Error> {
    let config = req.config.clone();
    let config = config.ok_or_else(|| Error::new(ErrorKind::Invalid, "config is missing"))?;
    check_config(&req.account, &config)?;
    let entry = AccountEntry {
        id: req.account.as_str().into(),
        config,
        version: req.expected_version + 1,
        author: req.author.clone(),
    };
    for _ in 0..MAX_HEAD_ATTEMPTS {
        if let Some(head) = try_set_account(store, clock, &entry).await? {
            return Ok((entry, head));
        }
    }
    Err(Error::new(ErrorKind::Unavailable, "too many changes at once; the change was not made"))
}

/// Makes one attempt of a change. Returns `None` after a conflict with a concurrent change.
async fn try_set_account(
    store: &Platform,
    clock: &Clock,
    entry: &AccountEntry,
) -> Result<Option<u64>, Error> {
    let key = format!("{ACCOUNT_PREFIX}{}", entry.id);
    let rows = store.read(&[HEAD_KEY, &key]).await;
    // Nothing was written yet, so the outcome of an unanswered read is known.
    let rows = rows.map_err(|e| Error::new(ErrorKind::Unavailable, e.to_string()))?;
    let row = |k: &str| rows.iter().find(|r| r.key == k);
    let own = row(&key);
    let current = own.and_then(|r| AccountEntry::from_row(entry.id.as_str(), &r.value.0));
    let version = current.as_ref().map_or(0, |c| c.version);
    if version + 1 != entry.version {
        if current.as_ref() == Some(entry) {
            // An earlier attempt took effect, and its reply was lost.
            return Ok(Some(decode_head(row(HEAD_KEY)).1));
        }
        return Err(conflict(&entry.id, current.as_ref()));
    }
    let (head_version, head) = decode_head(row(HEAD_KEY));
    let txn = change_txn(entry, &key, own.map_or(0, |r| r.version), head_version, head + 1, clock);
    match store.txn(&txn).await {
        Ok(TxnResult::Committed(_)) => Ok(Some(head + 1)),
        Ok(TxnResult::Conflict(_)) => Ok(None),
        Err(e) => read_back(store, &key, entry).await.ok_or_else(|| write_error(&e)).map(Some),
    }
}

/// Reads the account back after a lost reply. Returns the head if the change took effect.
async fn read_back(store: &Platform, key: &str, entry: &AccountEntry) -> Option<u64> {
    let rows = store.read(&[HEAD_KEY, key]).await.ok()?;
    let own = rows.iter().find(|r| r.key == key)?;
    let current = AccountEntry::from_row(entry.id.as_str(), &own.value.0)?;
    (current == *entry).then(|| decode_head(rows.iter().find(|r| r.key == HEAD_KEY)).1)
}

fn decode_head(row: Option<&hollowford_platform::rows::Row>) -> (u64, u64) {
    row.map_or((0, 0), |r| {
        let head = HeadRow::decode(&r.value.0[..]).unwrap_or_default();
        (r.version, head.head)
    })
}

fn change_txn(
    entry: &AccountEntry,
    key: &str,
    own_version: u64,
    head_version: u64,
    head: u64,
    clock: &Clock,
) -> Txn {
    let row = AccountRow {
        config: Some(entry.config.clone()),
        version: entry.version,
        author: entry.author.clone(),
    };
    let change = v1::ConfigChange {
        head,
        account: entry.id.to_string(),
        version: entry.version,
        author: entry.author.clone(),
        at_unix_ms: clock.unix_ms(),
    };
    Txn::new()
        .check(key, own_version)
        .check(HEAD_KEY, head_version)
        .put(key, row.encode_to_vec())
        .put(HEAD_KEY, HeadRow { head }.encode_to_vec())
        .put(format!("{HISTORY_PREFIX}{head:016x}"), change.encode_to_vec())
}

fn conflict(id: &AccountId, current: Option<&AccountEntry>) -> Error {
    let message = match current {
        Some(c) => format!("{id} is at version {}, set by {}", c.version, c.author),
        None => format!("{id} has no configuration yet; expect version 0"),
    };
    Error::new(ErrorKind::Conflict, message)
}

/// Sets the configuration of a client account, for the `dev` command and tests.
///
/// # Errors
/// The same as for a change by an operator.
pub async fn seed_account(store: &Platform, req: &v1::SetConfigRequest) -> Result<(), Error> {
    set_account(store, &Clock::new(), req).await.map(|_| ())
}
