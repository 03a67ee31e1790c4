//! The `peers` thread, which links this process to the other processes of the cell.

mod dialer;
mod listener;

pub(crate) use listener::run;

use hollowford_protocol::peer::{Call, Reply};
use tokio::sync::oneshot;

/// A message to the `peers` thread.
#[derive(Debug)]
pub(crate) enum PeerMsg {
    /// Relay a call to a process. The reply channel is dropped when the link fails.
    Call { process: String, call: Box<Call>, reply: oneshot::Sender<Reply> },
    /// Send a message to all other processes.
    Broadcast(Box<Body>),
}

/// Interval of the heartbeats on each link.
const HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);
/// Time without a received frame after which a link is closed.
const SILENCE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_200);
/// Maximum number of frames that wait to be sent on one link.
const MAX_QUEUED_FRAMES: usize = 4_096;

use crate::shared::Shared;
use hollowford_core::Millis;
use hollowford_protocol::peer::{Body, Frame, Heartbeat};

/// Creates this process's heartbeat for the process `to`.
fn heartbeat(shared: &Shared, to: &str) -> Frame {
    let age = shared.config_freshness.age(&shared.clock).unwrap_or(Millis::MAX);
    let echo = shared.members.last_stamp(to);
    let body = Body::Heartbeat(Heartbeat {
        process: shared.settings.process.clone(),
        config_head: shared.accounts.load().head,
        config_age_ms: age.0,
        leaving: shared.is_stopping(),
        addr: shared.peer_addr(),
        stamp: shared.clock.now().0.max(1),
        echo,
        promise_ms: shared.no_takeover_promise.promise(shared).0,
        owns: shared.owners.owned_by(&shared.settings.process),
    });
    Frame { id: 0, body: Some(body) }
}

/// Processes another process's heartbeat.
fn record_heartbeat(shared: &Shared, heartbeat: &Heartbeat) {
    let now = shared.clock.now();
    shared.members.add(&heartbeat.process, &heartbeat.addr);
    shared.members.record_heartbeat(now, heartbeat);
    shared.owners.record_owned(&heartbeat.process, &heartbeat.owns);
    let head = shared.accounts.load().head;
    if heartbeat.config_head > head {
        shared.config_changed.notify_one();
    } else if heartbeat.config_head == head && heartbeat.config_age_ms < now.0 {
        // The sender knew at that time that this configuration was the newest.
        shared.config_freshness.confirm(Millis(now.0 - heartbeat.config_age_ms));
    }
}
