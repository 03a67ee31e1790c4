//! Authentication of client accounts and operators by bearer token.

use crate::accounts::hash_token;
use crate::shared::Shared;
use hollowford_core::{AccountId, Error, ErrorKind};
use tonic::metadata::MetadataMap;

fn bearer_token(meta: &MetadataMap) -> Result<&str, Error> {
    let missing = || Error::new(ErrorKind::Unauthenticated, "no bearer token");
    let text = meta.get("authorization").and_then(|v| v.to_str().ok()).ok_or_else(missing)?;
    text.strip_prefix("Bearer ").ok_or_else(missing)
}

/// Returns the client account to which the call's token belongs.
///
/// # Errors
/// `Unauthenticated` without a known token; `Unavailable` before the configuration is first read.
pub(super) fn account(shared: &Shared, meta: &MetadataMap) -> Result<AccountId, Error> {
    let bearer_token = bearer_token(meta)?;
    if shared.config_freshness.age(&shared.clock).is_none() {
        return Err(Error::new(ErrorKind::Unavailable, "this process is starting"));
    }
    let accounts = shared.accounts.load();
    let unknown =
        || Error::new(ErrorKind::Unauthenticated, "the token belongs to no client account");
    accounts.by_token(bearer_token).cloned().ok_or_else(unknown)
}

/// Checks that the call has the operator token.
///
/// # Errors
/// `Unauthenticated` if it doesn't.
pub(super) fn operator(shared: &Shared, meta: &MetadataMap) -> Result<(), Error> {
    if hash_token(bearer_token(meta)?) == shared.settings.operator_token_sha256 {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Unauthenticated, "this is not the operator token"))
}
