//! The list of processes in the store, and new owners that announce themselves to it.

use crate::link;
use crate::owner_row::{STORE_CALL_TIMEOUT, SYSTEM_TABLE};
use crate::shared::Shared;
use crate::wire::{Body, OwnerInfo};
use hollowford_adapter::{StoreError, Transaction};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// So many processes are told at a time,
pub(crate) const ANNOUNCE_CHUNK_SIZE: usize = 32;
/// and then the next ones after this time: each opens a link to the new owner at once, which has
/// other work to do as well, and no room for hundreds of them that come together.
pub(crate) const ANNOUNCE_CHUNK_INTERVAL: Duration = Duration::from_millis(16);
/// A process enters itself into the list at some time within this one of its start. Nothing waits for
/// that, and the store makes the writings of a part one after the other: hundreds of processes that
/// start at once would keep it full, and each that is refused, or waits there for longer than it
/// listens for the answer, would ask again.
const INITIAL_REGISTER_SPREAD: Duration = Duration::from_millis(2_000);
/// One that was refused tries again within twice the time, and so on up to this one.
const MAX_REGISTER_SPREAD: Duration = Duration::from_millis(16_000);
/// Longest time for that call: more than the second that the store lets writings wait.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Part of the table with a row for each process.
const NODES_PART: &str = "nodes";
/// How long an announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Tells every process that is known to the store who owns the partition.
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

/// Tells the process at an address who owns the partition.
async fn announce_to(addr: SocketAddr, info: OwnerInfo) {
    if let Ok((mut reader, outbox)) = link::connect(addr).await {
        outbox.send(Body::Owner(info));
        // The other side closes the link once it has read the announcement.
        let _ = timeout(ANNOUNCE_TIMEOUT, link::read_frame(&mut reader)).await;
    }
}

/// Writes this process into the list that owners announce themselves to.
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
            Ok(_) => return shared.note_store(),
            Err(StoreError::Malformed(e)) => {
                log::error!("process.register failed error=\"{e}\"");
                return;
            }
            Err(e) => log::debug!("process.register failed error=\"{e}\""),
        }
    }
}

/// The pauses before the tries of a process to enter itself into the list.
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
    /// Returns the next pause, at `fraction` (0 to 1) of the longest that it may be.
    pub fn next(&mut self, fraction: f64) -> Duration {
        let pause = self.spread.mul_f64(fraction);
        self.spread = (self.spread * 2).min(MAX_REGISTER_SPREAD);
        pause
    }
}
