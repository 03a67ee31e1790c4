//! Identifiers of client accounts, instances, partitions, requests and tasks.

use std::fmt;
use std::sync::Arc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
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
    /// Name of a client account.
    AccountId
}
text_id! {
    /// Id of an instance, which runs either a worker or a process of the scheduler.
    InstanceId
}

/// Number of a partition, a set of workers together with the requests assigned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId(pub u32);

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a partition's ownership period, increased by one with each takeover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a request, unique within its partition and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNo(pub u64);

impl RequestNo {
    /// Number of low bits that hold the count of requests within an epoch.
    const EPOCH_SHIFT: u32 = 36;

    /// Creates the number of the `count`-th request accepted in `epoch`.
    pub fn new(epoch: Epoch, count: u64) -> RequestNo {
        RequestNo((epoch.0 << Self::EPOCH_SHIFT) | count)
    }
}

/// Id of one attempt to run one task of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Number of the request that the task belongs to.
    pub request: RequestNo,
    /// Index of the task in the request, from 0.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Identifies a request by its client account and the id chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Client account that submitted the request.
    pub account: AccountId,
    /// Request id chosen by the caller, unique within the account.
    pub id: Arc<str>,
}

impl RequestKey {
    /// Creates the key of the request `id` of an account.
    pub fn new(account: &AccountId, id: &str) -> RequestKey {
        RequestKey { account: account.clone(), id: id.into() }
    }

    /// Returns the partition that the request is assigned to, out of `count` partitions.
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

/// Returns the XXH3 hash of a list of strings.
///
/// Each string is preceded by its length, so that `["ab", "c"]` and `["a", "bc"]` are hashed as
/// different input.
pub fn hash64(parts: &[&str]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        h.update(&(part.len() as u64).to_le_bytes());
        h.update(part.as_bytes());
    }
    h.digest()
}
