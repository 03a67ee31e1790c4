//! For whom a call is made: by a caller's key, as the newest configuration knows it.
//!
//! The entry decides by the configuration that it knows, and the owner again by its own: whichever
//! is newer counts. So a key that was taken away ends with the first of the two that hears of it,
//! and one that has just come isn't refused by an entry that is known to be behind.

use crate::wire::Call;
use hollowford_accounts::Credential;
use hollowford_adapter::{Config, Route};
use hollowford_core::Millis;
use hollowford_jobs::NO_ACCOUNT;

/// An owner that has not read the configuration for so long doesn't vouch for keys any more: some
/// may have been taken away since. Longer than the store is mostly away, since calls for what was
/// accepted go on then, and nobody can take keys away in an outage of the whole store.
pub const MAX_CONFIG_AGE: Millis = Millis(8_000);

/// What an entry or an owner finds of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// It is made for this client account.
    Granted(&'a str),
    /// Its key is missing or unknown.
    Unknown,
}

/// Returns for whom a call on a route is made, by one configuration.
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

/// Returns for whom the owner takes a call: by its own configuration if that is newer than the one
/// by which the entry found the account, and by that one otherwise.
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
