//! Who calls: a client account, or an operator.

use crate::accounts::hash_token;
use crate::shared::Shared;
use hollowford_core::{AccountId, Error, ErrorKind};
use tonic::metadata::MetadataMap;

fn bearer_token(meta: &MetadataMap) -> Result<&str, Error> {
    let missing = || Error::new(ErrorKind::Unauthenticated, "no bearer token");
    let text = meta.get("authorization").and_then(|v| v.to_str().ok()).ok_or_else(missing)?;
    text.strip_prefix("Bearer ").ok_or_else(missing)
}

/// Returns the client account that the call's token names.
///
/// # Errors
/// `Unauthenticated`, or `Unavailable` before the configuration was first read.
pub(super) fn account(shared: &Shared, meta: &MetadataMap) -> Result<AccountId, Error> {
    let bearer_token = bearer_token(meta)?;
    if shared.config_freshness.age(&shared.clock).is_none() {
        return Err(Error::new(ErrorKind::Unavailable, "this process is starting"));
    }
    let accounts = shared.accounts.load();
    let unknown = || Error::new(ErrorKind::Unauthenticated, "the token names no client account");
    accounts.by_token(bearer_token).cloned().ok_or_else(unknown)
}

/// Checks the operator token.
///
/// # Errors
/// `Unauthenticated`.
pub(super) fn operator(shared: &Shared, meta: &MetadataMap) -> Result<(), Error> {
    if hash_token(bearer_token(meta)?) == shared.settings.operator_token_sha256 {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Unauthenticated, "this is not the operator token"))
}
