//! For whom calls are taken, by the configurations that an entry and an owner know.
#![allow(clippy::expect_used)]

use crate::access::{Access, check, recheck};
use crate::wire::Call;
use hollowford_accounts::{AccountPolicy, Credential, Credentials};
use hollowford_adapter::{Config, Limits, Route};
use hollowford_core::Millis;
use hollowford_jobs::{Account, NO_ACCOUNT};

const QUEUE: &str = "q";
const OPEN_QUEUE: &str = "open";

/// A configuration with two queues, one of them without keys, and the keys `known` of `a`.
fn config(version: u64, known: &[&str]) -> Config {
    let route = |queue: &str, is_open| Route {
        host: "h".into(),
        prefix: format!("/{queue}/"),
        queue: queue.into(),
        is_open,
    };
    let mut credentials = Credentials::default();
    known.iter().for_each(|key| credentials.add(Credential::of(key), "a".into()));
    Config {
        version,
        routes: vec![route(QUEUE, false), route(OPEN_QUEUE, true)],
        queues: Vec::new(),
        pools: Vec::new(),
        limits: Limits { body_bytes: 1_000, idle: Millis(1_000) },
        accounts: Some(vec![Account {
            name: "a".into(),
            policy: AccountPolicy::default(),
            guaranteed_jobs_per_s: 0,
        }]),
        credentials,
    }
}

/// A call as an entry with this configuration sends it; none: the entry refuses it.
fn entry(config: &Config, key: Option<&str>, is_behind: bool) -> Option<Call> {
    let credential = key.map(Credential::of);
    let access = check(config, config.route_of(QUEUE), credential.as_ref());
    let (account, unknown_key) = match access {
        Access::Granted(account) => (account.to_owned(), false),
        Access::Unknown if is_behind => (String::new(), true),
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
fn a_key_stands_for_its_account_and_no_other_text_does() {
    let config = config(1, &["one", "two"]);
    let of = |key: &str| check(&config, config.route_of(QUEUE), Some(&Credential::of(key)));
    assert_eq!(of("one"), Access::Granted("a"));
    assert_eq!(of("two"), Access::Granted("a"));
    for other in ["", "three", "ONE", "one ", "a"] {
        assert_eq!(of(other), Access::Unknown, "{other:?}");
    }
    assert_eq!(check(&config, config.route_of(QUEUE), None), Access::Unknown);
}

#[test]
fn calls_need_no_key_where_the_route_or_the_deployment_has_none() {
    let keyed = config(1, &["one"]);
    let open = keyed.route_of(OPEN_QUEUE);
    assert_eq!(check(&keyed, open, None), Access::Granted(NO_ACCOUNT));
    let without = Config { accounts: None, ..config(1, &[]) };
    assert_eq!(check(&without, without.route_of(QUEUE), None), Access::Granted(NO_ACCOUNT));
    let empty = Config { accounts: Some(Vec::new()), ..config(1, &[]) };
    assert_eq!(check(&empty, empty.route_of(QUEUE), None), Access::Unknown);
}

#[test]
fn a_route_that_is_gone_from_the_newer_configuration_opens_nothing() {
    let old = config(1, &["one"]);
    let call = entry(&old, Some("one"), false).expect("a call");
    let newer = Config { routes: Vec::new(), ..config(2, &[]) };
    assert_eq!(recheck(Some(&newer), &call), Access::Unknown);
}

#[test]
fn whichever_of_entry_and_owner_knows_the_newer_configuration_decides() {
    let (old, new) = (config(1, &["old", "both"]), config(2, &["new", "both"]));
    // An entry that is behind: the owner refuses what was taken away.
    let call = entry(&old, Some("old"), false).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Unknown);
    // An owner that is behind: what the entry found counts.
    let call = entry(&new, Some("new"), false).expect("a call");
    assert_eq!(recheck(Some(&old), &call), Access::Granted("a"));
    assert_eq!(recheck(None, &call), Access::Granted("a"));
    assert_eq!(entry(&new, Some("old"), false), None);
    let call = entry(&old, Some("both"), false).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Granted("a"));
}

#[test]
fn a_key_that_has_just_come_is_left_to_the_owner_by_an_entry_that_knows_it_is_behind() {
    let (old, new) = (config(1, &[]), config(2, &["new"]));
    assert_eq!(entry(&old, Some("new"), false), None);
    let call = entry(&old, Some("new"), true).expect("a call");
    assert_eq!(recheck(Some(&new), &call), Access::Granted("a"));
    assert_eq!(recheck(Some(&old), &call), Access::Unknown, "the owner knows no more");
    assert_eq!(recheck(None, &call), Access::Unknown);
}

#[test]
fn a_key_is_in_no_dump() {
    let config = config(1, &["secret-key"]);
    let shown = format!("{config:?} {:?}", Credential::of("secret-key"));
    assert!(!shown.contains("secret-key"));
}
