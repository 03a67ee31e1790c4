//! Identifiers.

use std::fmt;
use std::sync::Arc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> $name {
                $name(s.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// Names a client account.
    AccountId
}
text_id! {
    /// Names an instance: a worker, or an entry instance of the system's own.
    InstanceId
}

/// Names a partition: a set of workers and the requests homed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId(pub u32);

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Counts the owners of a partition; each takeover adds one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a request, unique within its partition for all time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNo(pub u64);

impl RequestNo {
    const EPOCH_SHIFT: u32 = 36;

    /// Returns the number of the `count`-th request accepted in `epoch`.
    pub fn new(epoch: Epoch, count: u64) -> RequestNo {
        RequestNo((epoch.0 << Self::EPOCH_SHIFT) | count)
    }
}

/// One attempt at one task of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The request.
    pub request: RequestNo,
    /// Position in the request, from 0.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// A request's name as its caller knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The client account that asked.
    pub account: AccountId,
    /// The id that the account chose.
    pub id: Arc<str>,
}

impl RequestKey {
    /// Joins an account and its request id.
    pub fn new(account: &AccountId, id: &str) -> RequestKey {
        RequestKey { account: account.clone(), id: id.into() }
    }

    /// Returns the partition that the request is homed on, of `count`.
    pub fn partition(&self, count: u32) -> PartitionId {
        let h = hash64(&[self.account.as_str(), &self.id]);
        PartitionId((h % u64::from(count.max(1))) as u32)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.id)
    }
}

/// Hashes texts so that no two different lists read alike.
pub fn hash64(parts: &[&str]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        h.update(&(part.len() as u64).to_le_bytes());
        h.update(part.as_bytes());
    }
    h.digest()
}
