//! Configuration in force: versions only go up.

use crate::accounts::{AccountEntry, AccountsInForce, hash_token};
use hollowford_core::AccountId;
use hollowford_protocol::v1;

fn entry(version: u64, token: &str) -> AccountEntry {
    let config =
        v1::AccountConfig { token_sha256: hash_token(token), weight: 1, ..Default::default() };
    AccountEntry { id: AccountId::from("one"), config, version, author: "a".to_owned() }
}

#[test]
fn a_read_that_comes_late_changes_nothing_back() {
    let now = AccountsInForce::default().with(2, vec![entry(2, "new")]);
    let late = now.with(1, vec![entry(1, "old")]);
    assert_eq!(late.head, 2);
    assert_eq!(late.accounts[&AccountId::from("one")].version, 2);
    assert!(late.by_token("old").is_none());
    assert!(late.by_token("new").is_some());
}

#[test]
fn a_replaced_token_is_no_longer_known() {
    let now = AccountsInForce::default().with(1, vec![entry(1, "old")]);
    let now = now.with(2, vec![entry(2, "new")]);
    assert!(now.by_token("old").is_none());
}
