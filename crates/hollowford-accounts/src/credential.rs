//! Callers' keys, of which only digests are kept.

use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Length of a digest, in bytes.
const DIGEST_LEN: usize = 32;

/// The SHA-256 digest of a caller's key. The key itself is nowhere kept, so that no log and no
/// dump can show it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Credential([u8; DIGEST_LEN]);

impl Credential {
    /// Returns the credential of a key.
    pub fn of(key: &str) -> Credential {
        Credential(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the digest, for messages between processes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Tells whether both are of one key, in a time that doesn't depend on where they differ.
    fn matches(&self, other: &Credential) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        pairs.fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
    }
}

impl TryFrom<&[u8]> for Credential {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Credential, Self::Error> {
        bytes.try_into().map(Credential)
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// The credentials in force, with the client account of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Credentials {
    list: Vec<(Credential, Arc<str>)>,
}

impl Credentials {
    /// Lets a key stand for an account.
    pub fn add(&mut self, credential: Credential, account: Arc<str>) {
        self.list.push((credential, account));
    }

    /// Returns the account of a credential. Goes through all of them, so that the time tells
    /// nothing of which one it was.
    pub fn account_of(&self, credential: &Credential) -> Option<&Arc<str>> {
        let mut found = None;
        for (known, account) in &self.list {
            if known.matches(credential) {
                found = Some(account);
            }
        }
        found
    }
}
