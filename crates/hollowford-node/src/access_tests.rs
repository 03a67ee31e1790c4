//! Access checks with different configurations at the entry process and the owner.
#![allow(clippy::expect_used)]

use crate::access::{Access, check, recheck};
use crate::wire::Call;
use hollowford_accounts::{AccountPolicy, Credential, Credentials};
use hollowford_adapter::{Config, Limits, Route};
use hollowford_jobs::{Account, NO_ACCOUNT};

const QUEUE: &str = "q";
const OPEN_QUEUE: &str = "open";

/// Returns a configuration with two queues, of which one needs no key, and with the keys `known` of
/// account `a`.
fn config(version: u64, known: &[&str]) -> Config {
    let route = |queue: &str, allows_anonymous| Route {
        host: "h".into(),
        prefix: format!("/{queue}/"),
        queue: queue.into(),
        allows_anonymous,
    };
    let mut credentials = Credentials::default();
    known.iter().for_each(|key| credentials.add(Credential::of(key), "a".into()));
    Config {
        version,
        routes: vec![route(QUEUE, false), route(OPEN_QUEUE, true)],
        queues: Vec::new(),
        pools: Vec::new(),
        limits: Limits::default(),
        accounts: Some(vec![Account {
            name: "a".into(),
            policy: AccountPolicy::default(),
            guaranteed_jobs_per_s: 0,
        }]),
        credentials,
    }
}

/// Returns the call that an entry process with this configuration sends, or `None` if it rejects
/// the request.
fn entry(config: &Config, key: Option<&str>, is_outdated: bool) -> Option<Call> {
    let credential = key.map(Credential::of);
    let access = check(config, config.route_of(QUEUE), credential.as_ref());
    let (account, unknown_key) = match access {
        Access::Granted(account) => (account.to_owned(), false),
        Access::Unknown if is_outdated => (String::new(), true),
        Access::Unknown => return None,
    };
    let credential = credential.map_or_else(Vec::new, |c| c.as_bytes().to_vec());
    let queue = QUEUE.to_owned();
    Some(Call {
        queue,
        config: config.version,
        account,
        credential,
        unknown_key,
        ..Call::default()
    })
}

#[test]
fn a_key_grants_access_to_its_account_and_unknown_keys_do_not() {
    let config = config(1, &["one", "two"]);
    let check_key = |key: &str| check(&config, config.route_of(QUEUE), Some(&Credential::of(key)));
    assert_eq!(check_key("one"), Access::Granted("a"));
    assert_eq!(check_key("two"), Access::Granted("a"));
    for other in ["", "three", "ONE", "one ", "a"] {
        assert_eq!(check_key(other), Access::Unknown, "{other:?}");
    }
    assert_eq!(check(&config, config.route_of(QUEUE), None), Access::Unknown);
}

#[test]
fn calls_need_no_key_if_the_route_or_the_deployment_requires_none() {
    let keyed = config(1, &["one"]);
    let open = keyed.route_of(OPEN_QUEUE);
    assert_eq!(check(&keyed, open, None), Access::Granted(NO_ACCOUNT));
    let without = Config { accounts: None, ..config(1, &[]) };
    assert_eq!(check(&without, without.route_of(QUEUE), None), Access::Granted(NO_ACCOUNT));
    let empty = Config { accounts: Some(Vec::new()), ..config(1, &[]) };
    assert_eq!(check(&empty, empty.route_of(QUEUE), None), Access::Unknown);
}

#[test]
fn a_route_missing_from_the_newer_configuration_grants_no_access() {
    let old = config(1, &["one"]);
    let call = entry(&old, Some("one"), false).expect("a call");
    let newer = Config { routes: Vec::new(), ..config(2, &[]) };
    assert_eq!(recheck(Some(&newer), &call), Access::Unknown);
}

#[test]
fn the_newer_configuration_of_entry_and_owner_decides() {
    let (old, new) = (config(1, &["old", "both"]), config(2, &["new", "both"]));
    // The entry is outdated: the owner rejects the removed key.
    let call = entry(&old, Some("old"), false).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Unknown);
    // The owner is outdated: the account found by the entry applies.
    let call = entry(&new, Some("new"), false).expect("a call");
    assert_eq!(recheck(Some(&old), &call), Access::Granted("a"));
    assert_eq!(recheck(None, &call), Access::Granted("a"));
    assert_eq!(entry(&new, Some("old"), false), None);
    let call = entry(&old, Some("both"), false).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Granted("a"));
}

#[test]
fn an_entry_that_knows_it_is_outdated_leaves_unknown_keys_to_the_owner() {
    let (old, new) = (config(1, &[]), config(2, &["new"]));
    assert_eq!(entry(&old, Some("new"), false), None);
    let call = entry(&old, Some("new"), true).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Granted("a"));
    assert_eq!(
        recheck(Some(&old), &call),
        Access::Unknown,
        "the owner does not know the key either"
    );
    assert_eq!(recheck(None, &call), Access::Unknown);
}

#[test]
fn debug_output_contains_no_key() {
    let config = config(1, &["secret-key"]);
    let output = format!("{config:?} {:?}", Credential::of("secret-key"));
    assert!(!output.contains("secret-key"));
}
