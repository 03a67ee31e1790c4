//! API keys of callers, stored as digests.

use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Length of a SHA-256 digest in bytes.
const DIGEST_LEN: usize = 32;

/// SHA-256 digest of a caller's key. The key itself is not stored, so that it can't appear in a
/// log or a memory dump.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Credential([u8; DIGEST_LEN]);

impl Credential {
    /// Creates the credential of a key.
    pub fn of(key: &str) -> Credential {
        Credential(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the digest, for messages between processes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns true if both belong to the same key, in constant time to prevent timing attacks.
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

/// Valid credentials and the client account of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Credentials {
    list: Vec<(Credential, Arc<str>)>,
}

impl Credentials {
    /// Adds a credential that identifies an account.
    pub fn add(&mut self, credential: Credential, account: Arc<str>) {
        self.list.push((credential, account));
    }

    /// Returns the account of a credential, or `None` if it is unknown. Compares with all
    /// credentials, so that the time taken does not reveal which one matched.
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
