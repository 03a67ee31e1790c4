//! Determines the client account of a call from the caller's key and the newest known
//! configuration.
//!
//! The entry process decides by the configuration that it knows, and the owner decides again by its
//! own; the newer configuration applies. A removed key is therefore rejected as soon as one of the
//! two knows of the removal, and a new key isn't rejected by an entry process that knows its
//! configuration is outdated.

use crate::wire::Call;
use hollowford_accounts::Credential;
use hollowford_adapter::{Config, Route};
use hollowford_core::Millis;
use hollowford_jobs::NO_ACCOUNT;

/// Maximum age of the configuration by which an owner accepts keys; older ones may contain keys
/// that were removed since. The limit exceeds most outages of the store, so that calls about
/// accepted jobs continue during an outage. No key can be removed while the whole store is
/// unavailable.
pub const MAX_CONFIG_AGE: Millis = Millis(8_000);

/// Result of an access check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// The call is made on behalf of this client account.
    Granted(&'a str),
    /// The key is missing or unknown.
    Unknown,
}

/// Returns the client account of a call on a route according to one configuration.
pub fn check<'a>(
    config: &'a Config,
    route: Option<&Route>,
    credential: Option<&Credential>,
) -> Access<'a> {
    if !config.needs_key(route) {
        return Access::Granted(NO_ACCOUNT);
    }
    match credential.and_then(|c| config.credentials.account_of(c)) {
        Some(account) => Access::Granted(account),
        None => Access::Unknown,
    }
}

/// Returns the client account of a call at the owner. Uses the owner's configuration if it is newer
/// than the one that the entry process used, and otherwise the account that the entry process
/// found.
pub fn recheck<'a>(config: Option<&'a Config>, call: &'a Call) -> Access<'a> {
    match config.filter(|c| c.version > call.config) {
        Some(config) => {
            let credential = Credential::try_from(&call.credential[..]).ok();
            check(config, config.route_of(&call.queue), credential.as_ref())
        }
        None if call.unknown_key => Access::Unknown,
        None => Access::Granted(&call.account),
    }
}
