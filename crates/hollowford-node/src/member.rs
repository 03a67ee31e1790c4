//! A member: a process that doesn't own the partition, and its link to the owner.

use crate::calls::request_advice;
use crate::config_freshness::{ConfigFreshness, ReportedConfig};
use crate::config_watch;
use crate::delegate;
use crate::link::{self, FrameReader, Outbox};
use crate::partition::{PartitionContext, Route};
use crate::relay::RemoteOwner;
use crate::shared::Shared;
use crate::takeover::{FailureDetector, HEARTBEAT_INTERVAL, LeaveReason, OwnerStatus};
use crate::wire::{Advice, Ask, Body, Heartbeat, Hello, MemberBeat, OwnerInfo, WhoOwns};
use hollowford_core::Millis;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::{MissedTickBehavior, interval};

/// Follows an owner until this process leaves it. A link that is reset says nothing about the
/// owner, so it is opened again. `takeover_order` is set to the members that the owner names to
/// take over.
pub async fn follow(
    cx: &PartitionContext,
    info: &OwnerInfo,
    takeover_order: &mut Vec<String>,
) -> LeaveReason {
    loop {
        let reason = follow_once(cx, info, takeover_order).await;
        if reason != LeaveReason::Cut {
            return reason;
        }
        log::info!("owner.link_cut partition={} epoch={}", info.partition, info.epoch);
    }
}

async fn follow_once(
    cx: &PartitionContext,
    info: &OwnerInfo,
    takeover_order: &mut Vec<String>,
) -> LeaveReason {
    let (mut reader, outbox) = match open_owner_link(&cx.shared, info).await {
        Ok(link) => link,
        Err(reason) => return reason,
    };
    let mut link = OwnerLink::new(cx, info, outbox, takeover_order);
    let reason = link.serve(&mut reader).await;
    link.close();
    reason
}

async fn open_owner_link(
    shared: &Shared,
    info: &OwnerInfo,
) -> Result<(FrameReader, Outbox), LeaveReason> {
    let Ok(addr) = info.address.parse() else { return Err(LeaveReason::Gone) };
    let (reader, outbox) = link::connect(addr).await.map_err(|e| {
        let refused = matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
        if refused { LeaveReason::Gone } else { LeaveReason::Silent }
    })?;
    outbox.send(Body::Hello(Hello {
        address: shared.address().to_string(),
        cpu_milli: shared.cpu_milli(),
        age_ms: shared.clock.now().0,
        owner: Some(info.clone()),
        zone: shared.settings.zone.clone(),
        boot: shared.boot,
    }));
    Ok((reader, outbox))
}

/// A member's link to its owner.
struct OwnerLink<'a> {
    cx: &'a PartitionContext,
    info: &'a OwnerInfo,
    outbox: Outbox,
    remote: RemoteOwner,
    /// The owner has sent a heartbeat, so callers' requests are routed to it.
    joined: bool,
    /// The owner has delegated calls to workers to this process.
    has_delegated: bool,
    /// See [`follow`].
    takeover_order: &'a mut Vec<String>,
    detector: FailureDetector,
    /// Set while the owner is being probed; becomes true once it has answered.
    probe: Option<Arc<AtomicBool>>,
    /// When the last heartbeat was sent.
    heartbeat_sent_at: Option<Millis>,
    /// When the owner sent its last heartbeat, by its clock, in milliseconds.
    owner_sent_ms: u64,
}

impl OwnerLink<'_> {
    fn new<'a>(
        cx: &'a PartitionContext,
        info: &'a OwnerInfo,
        outbox: Outbox,
        takeover_order: &'a mut Vec<String>,
    ) -> OwnerLink<'a> {
        OwnerLink {
            cx,
            info,
            remote: RemoteOwner::new(outbox.clone()),
            outbox,
            joined: false,
            has_delegated: false,
            takeover_order,
            detector: FailureDetector::new(cx.shared.clock.now()),
            probe: None,
            heartbeat_sent_at: None,
            owner_sent_ms: 0,
        }
    }

    /// Serves the link until this process leaves the owner.
    async fn serve(&mut self, reader: &mut FrameReader) -> LeaveReason {
        let mut newest_owner = self.cx.partition.owner.subscribe();
        let mut ticks = interval(HEARTBEAT_INTERVAL.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let reason = tokio::select! {
                body = link::recv(reader) => match body {
                    Some(body) => self.handle_frame(body),
                    None if self.joined => Some(LeaveReason::Cut),
                    None => Some(LeaveReason::Gone),
                },
                _ = ticks.tick() => self.tick(),
                changed = newest_owner.changed() => {
                    let newer = changed.is_ok() && newest_owner.borrow().epoch > self.info.epoch;
                    newer.then_some(LeaveReason::Newer)
                }
            };
            if let Some(reason) = reason {
                return reason;
            }
        }
    }

    /// Handles a frame from the owner. Returns a reason if the member has to leave the owner.
    fn handle_frame(&mut self, body: Body) -> Option<LeaveReason> {
        self.detector.record_message(self.cx.shared.clock.now());
        self.probe = None;
        match body {
            // Sent by a process that is about to become the owner.
            Body::Heartbeat(heartbeat) if heartbeat.epoch == 0 => {}
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            Body::Answer(answer) => self.remote.complete(answer),
            Body::Ask(ask) => {
                tokio::spawn(answer_advice_request(
                    self.cx.shared.clone(),
                    ask,
                    self.outbox.clone(),
                ));
            }
            Body::Delegated(frame) => {
                if !std::mem::replace(&mut self.has_delegated, true) {
                    log::info!("delegate.first epoch={} calls={}", frame.epoch, frame.calls.len());
                }
                delegate::execute_calls(&self.cx.shared, frame, &self.outbox);
            }
            Body::Config(row) => config_watch::apply_packed(&self.cx.shared, row),
            Body::Workers(changes) => {
                // There is no receiver if this process owns no partition any more.
                let _ = self.cx.shared.worker_changes.send(Arc::new(changes));
            }
            Body::HandOver(h) => return Some(LeaveReason::HandedOver { rev: h.rev }),
            Body::Owner(other) => {
                let newer = self.cx.partition.record_owner(&other);
                return Some(if newer { LeaveReason::Newer } else { LeaveReason::Gone });
            }
            other => log::warn!("link.unexpected frame={other:?}"),
        }
        None
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        if !self.joined {
            self.joined = true;
            let OwnerInfo { epoch, address, .. } = self.info;
            log::info!("owner.following epoch={epoch} address={address}");
            self.cx.partition.route.send_replace(Route::Remote(self.remote.clone()));
        }
        self.cx.record_owner_contact();
        self.owner_sent_ms = heartbeat.sent_ms;
        let lost = heartbeat.store_lost;
        if self.cx.partition.store_probe_wanted.swap(lost, Ordering::Relaxed) != lost {
            self.cx.shared.config_wanted.notify_one();
        }
        self.detector.set_interval(Millis(heartbeat.every_ms));
        self.record_reported_config(&heartbeat);
        if !heartbeat.members.is_empty() {
            *self.takeover_order = heartbeat.members;
        }
    }

    /// Records what the owner reports about the configuration.
    fn record_reported_config(&self, heartbeat: &Heartbeat) {
        let (shared, partition) = (&self.cx.shared, &self.cx.partition);
        let mut freshness = partition.config_freshness();
        let reported = ReportedConfig {
            version: heartbeat.config,
            age: Millis(heartbeat.config_age_ms),
            interval: self.detector.interval(),
        };
        freshness.record(reported, shared.config_version(), shared.clock.now());
        partition.set_config_freshness(freshness);
    }

    /// Checks on the owner, and sends it a heartbeat when one is due. Returns a reason if the
    /// member has to leave the owner.
    fn tick(&mut self) -> Option<LeaveReason> {
        let now = self.cx.shared.clock.now();
        match self.detector.check(now) {
            OwnerStatus::Alive => {}
            OwnerStatus::SelfPaused(time) => log::warn!("process.paused for_ms={}", time.0),
            OwnerStatus::Suspected => self.start_probe(),
            OwnerStatus::Failed if self.probe_answered() => return Some(LeaveReason::Cut),
            OwnerStatus::Failed => return Some(LeaveReason::Silent),
        }
        // Ticks may come late, so a heartbeat may be sent up to half a tick early.
        let half_interval = Millis(HEARTBEAT_INTERVAL.0 / 2);
        if self
            .heartbeat_sent_at
            .is_none_or(|at| now.since(at) + half_interval >= self.detector.interval())
        {
            self.heartbeat_sent_at = Some(now);
            self.send_heartbeat();
        }
        None
    }

    /// Probes a suspected owner over a new link, once until it is heard again. The current link may
    /// be dead without an error, or the owner may be late with its heartbeats.
    fn start_probe(&mut self) {
        if self.probe.is_none() {
            let answered = Arc::new(AtomicBool::new(false));
            self.probe = Some(answered.clone());
            let limit = self.detector.probe_timeout();
            tokio::spawn(probe_owner(self.info.clone(), limit, answered));
        }
    }

    fn probe_answered(&self) -> bool {
        self.probe.as_ref().is_some_and(|answered| answered.load(Ordering::Relaxed))
    }

    fn send_heartbeat(&self) {
        self.outbox.send(Body::MemberBeat(MemberBeat {
            epoch: self.cx.partition.owner.borrow().epoch,
            store_age_ms: self.cx.shared.store_age().0,
            config: self.cx.shared.config_version(),
            stopping: self.cx.shared.is_stopping(),
            owned: self.cx.shared.owned_count(),
            echoed_ms: self.owner_sent_ms,
        }));
    }

    /// Stops routing callers' requests to the owner.
    fn close(&self) {
        self.cx.partition.route.send_replace(Route::None);
        self.cx.partition.store_probe_wanted.store(false, Ordering::Relaxed);
        self.cx.partition.set_config_freshness(ConfigFreshness::default());
        // From now on the answers to callers depend on whether the store answers this process.
        self.cx.shared.config_wanted.notify_one();
        self.remote.fail_all();
    }
}

async fn answer_advice_request(shared: Arc<Shared>, ask: Ask, outbox: Outbox) {
    let answer = request_advice(&shared, &ask.step, &ask.workers).await;
    let answered = answer.is_some();
    let (rows, validity) = answer.unwrap_or((Vec::new(), Millis(0)));
    let workers = rows.iter().map(|(id, _)| id.as_str().to_owned()).collect();
    let tickets = rows.iter().map(|(_, t)| t.to_string()).collect();
    let validity_ms = validity.0;
    outbox.send(Body::Advice(Advice { step: ask.step, answered, workers, tickets, validity_ms }));
}

/// Asks the process at the owner's address whether it still owns the partition, and sets `answered`
/// if so.
async fn probe_owner(info: OwnerInfo, limit: Millis, answered: Arc<AtomicBool>) {
    let Ok(addr) = info.address.parse() else { return };
    let request = Body::WhoOwns(WhoOwns { partition: info.partition });
    if link::request(addr, request, limit.duration()).await == Some(Body::Owner(info)) {
        answered.store(true, Ordering::Relaxed);
    }
}
