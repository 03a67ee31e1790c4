//! The list of processes in the store, and announcements of new owners to these processes.

use crate::link;
use crate::owner_row::{STORE_CALL_TIMEOUT, SYSTEM_TABLE};
use crate::shared::Shared;
use crate::wire::{Body, OwnerInfo};
use hollowford_adapter::{StoreError, Transaction};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of processes to which a new owner announces itself at once.
pub(crate) const ANNOUNCE_CHUNK_SIZE: usize = 32;
/// Time between two such chunks. Each process opens a link to the new owner at once, and the owner,
/// which has other work as well, can't accept hundreds of links at the same time.
pub(crate) const ANNOUNCE_CHUNK_INTERVAL: Duration = Duration::from_millis(16);
/// A process registers at a random time within this period after its start. Nothing depends on it,
/// and the store executes the writes to a part one after the other. Hundreds of processes that
/// start at once would saturate it, and each that is refused or times out would try again.
const INITIAL_REGISTER_SPREAD: Duration = Duration::from_millis(2_000);
/// The period doubles after each failed attempt, up to this limit.
const MAX_REGISTER_SPREAD: Duration = Duration::from_millis(16_000);
/// Time limit of the registration: more than the second for which the store queues writes.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Part of the table with a row for each process.
const NODES_PART: &str = "nodes";
/// Time limit of an announcement to one process.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces the partition's owner to every process that is registered in the store.
pub async fn announce(shared: Arc<Shared>, info: OwnerInfo) {
    let nodes = match shared.store.read_all(SYSTEM_TABLE, NODES_PART, STORE_CALL_TIMEOUT).await {
        Ok(feed) => feed.rows,
        Err(e) => {
            log::info!("owner.announce failed error=\"{e}\"");
            return;
        }
    };
    let addresses = nodes.iter().filter_map(|r| r.key.parse::<SocketAddr>().ok());
    let others: Vec<_> = addresses.filter(|&a| a != shared.address()).collect();
    for chunk in others.chunks(ANNOUNCE_CHUNK_SIZE) {
        for &addr in chunk {
            tokio::spawn(announce_to(addr, info.clone()));
        }
        sleep(ANNOUNCE_CHUNK_INTERVAL).await;
    }
}

/// Announces the partition's owner to the process at an address.
async fn announce_to(addr: SocketAddr, info: OwnerInfo) {
    if let Ok((mut reader, outbox)) = link::connect(addr).await {
        outbox.send(Body::Owner(info));
        // The other side closes the link once it has read the announcement.
        let _ = timeout(ANNOUNCE_TIMEOUT, link::recv(&mut reader)).await;
    }
}

/// Registers this process in the list of processes to which owners announce themselves. Retries
/// until it succeeds or the store finds the request malformed.
pub async fn register(shared: Arc<Shared>) {
    let key = shared.address().to_string();
    let tx = Transaction {
        expect: Vec::new(),
        put: vec![(key, shared.boot.to_be_bytes().to_vec())],
        remove: Vec::new(),
    };
    let mut pauses = RegisterPauses::default();
    loop {
        sleep(pauses.next(fastrand::f64())).await;
        match shared.store.transact(SYSTEM_TABLE, NODES_PART, &tx, REGISTER_TIMEOUT).await {
            Ok(_) => return shared.record_store_answer(),
            Err(StoreError::Malformed(e)) => {
                log::error!("process.register failed error=\"{e}\"");
                return;
            }
            Err(e) => log::debug!("process.register failed error=\"{e}\""),
        }
    }
}

/// The random pauses before a process's attempts to register.
#[derive(Debug)]
pub(crate) struct RegisterPauses {
    spread: Duration,
}

impl Default for RegisterPauses {
    fn default() -> RegisterPauses {
        RegisterPauses { spread: INITIAL_REGISTER_SPREAD }
    }
}

impl RegisterPauses {
    /// Returns the next pause, at `fraction` (0 to 1) of its upper bound.
    pub fn next(&mut self, fraction: f64) -> Duration {
        let pause = self.spread.mul_f64(fraction);
        self.spread = (self.spread * 2).min(MAX_REGISTER_SPREAD);
        pause
    }
}
