//! Tests that the versions of the active configuration only increase.

use crate::accounts::{AccountEntry, ActiveAccounts, hash_token};
use hollowford_core::AccountId;
use hollowford_protocol::v1;

fn entry(version: u64, token: &str) -> AccountEntry {
    let config =
        v1::AccountConfig { token_sha256: hash_token(token), weight: 1, ..Default::default() };
    AccountEntry { id: AccountId::from("one"), config, version, author: "a".to_owned() }
}

#[test]
fn a_late_read_reverts_no_newer_version() {
    let now = ActiveAccounts::default().with_changes(2, vec![entry(2, "new")]);
    let late = now.with_changes(1, vec![entry(1, "old")]);
    assert_eq!(late.head, 2);
    assert_eq!(late.accounts[&AccountId::from("one")].version, 2);
    assert!(late.by_token("old").is_none());
    assert!(late.by_token("new").is_some());
}

#[test]
fn a_replaced_token_is_no_longer_accepted() {
    let now = ActiveAccounts::default().with_changes(1, vec![entry(1, "old")]);
    let now = now.with_changes(2, vec![entry(2, "new")]);
    assert!(now.by_token("old").is_none());
}
