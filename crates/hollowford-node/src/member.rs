//! A process that doesn't own the partition: its link to the owner.

use crate::calls::advise;
use crate::config_told::{ConfigTold, Told};
use crate::delegate;
use crate::link::{self, Outbox, Reader};
use crate::partition::{Cx, Route};
use crate::relay::RemoteOwner;
use crate::shared::Shared;
use crate::watch;
use crate::wire::{Advice, Ask, Body, Heartbeat, Hello, MemberBeat, OwnerInfo};
use hollowford_adapter::Version;
use hollowford_core::Millis;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often a member tells the owner that it is alive, until the owner has told its pace.
const BEAT: Duration = Duration::from_millis(100);
/// An owner that says nothing for so many heartbeats is taken as gone.
const OWNER_SILENT_BEATS: u32 = 5;
/// When this process's own timer comes so late, it was paused itself, and hears anew.
const OWN_PAUSE: Duration = Duration::from_millis(250);

/// Why a member has left its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parted {
    /// A newer owner is known.
    Newer,
    /// Nothing answers at its address, or not as the owner any more.
    Gone,
    /// The link has ended, though the owner had answered: it may still be there.
    Cut,
    /// It says nothing.
    Silent,
    /// It wants this process to take over.
    HandedOver {
        /// Version of the owner row; 0: not known.
        rev: Version,
    },
}

impl Parted {
    /// Returns its name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Parted::Newer => "newer",
            Parted::Gone => "gone",
            Parted::Cut => "cut",
            Parted::Silent => "silent",
            Parted::HandedOver { .. } => "handed_over",
        }
    }
}

/// What a member learned while it followed an owner.
#[derive(Clone, Debug)]
pub struct Followed {
    /// Why it ended.
    pub parted: Parted,
    /// The members in the order in which they take over, as the owner told last.
    pub members: Vec<String>,
}

/// Follows an owner until they part, over as many links as it takes: a link that is reset
/// says nothing of the owner.
pub async fn follow(cx: &Cx, info: &OwnerInfo) -> Followed {
    let mut members = Vec::new();
    loop {
        let followed = follow_once(cx, info).await;
        if !followed.members.is_empty() {
            members = followed.members;
        }
        if followed.parted != Parted::Cut {
            return Followed { parted: followed.parted, members };
        }
        log::info!("owner.link_cut partition={} epoch={}", info.partition, info.epoch);
    }
}

async fn follow_once(cx: &Cx, info: &OwnerInfo) -> Followed {
    let (mut reader, outbox) = match open(&cx.shared, info).await {
        Ok(link) => link,
        Err(parted) => return Followed { parted, members: Vec::new() },
    };
    let mut link = OwnerLink::new(cx, info, outbox);
    let parted = link.serve(&mut reader).await;
    link.end();
    Followed { parted, members: link.members }
}

async fn open(shared: &Shared, info: &OwnerInfo) -> Result<(Reader, Outbox), Parted> {
    let Ok(addr) = info.address.parse() else { return Err(Parted::Gone) };
    let (reader, outbox) = link::connect(addr).await.map_err(|e| {
        let refused = matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
        if refused { Parted::Gone } else { Parted::Silent }
    })?;
    outbox.send(Body::Hello(Hello {
        address: shared.address().to_string(),
        cpu_milli: shared.cpu_milli(),
        age_ms: shared.clock.now().0,
        owner: Some(info.clone()),
        zone: shared.settings.zone.clone(),
    }));
    Ok((reader, outbox))
}

/// A member's link to its owner.
struct OwnerLink<'a> {
    cx: &'a Cx,
    info: &'a OwnerInfo,
    outbox: Outbox,
    remote: RemoteOwner,
    /// The owner has sent a heartbeat: callers' requests go to it.
    following: bool,
    /// See [`Followed::members`].
    members: Vec<String>,
    /// When the owner said something last.
    heard: Instant,
    /// When this process's own timer came last.
    ticked: Instant,
    /// Time between two heartbeats, as the owner told last.
    every: Duration,
    /// When the last heartbeat was sent.
    sent: Option<Instant>,
}

impl OwnerLink<'_> {
    fn new<'a>(cx: &'a Cx, info: &'a OwnerInfo, outbox: Outbox) -> OwnerLink<'a> {
        OwnerLink {
            cx,
            info,
            remote: RemoteOwner::new(outbox.clone()),
            outbox,
            following: false,
            members: Vec::new(),
            heard: Instant::now(),
            ticked: Instant::now(),
            every: BEAT,
            sent: None,
        }
    }

    /// Serves the link until it has to end.
    async fn serve(&mut self, reader: &mut Reader) -> Parted {
        let mut newest = self.cx.partition.owner.subscribe();
        let mut ticks = interval(BEAT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let parted = tokio::select! {
                body = link::next(reader) => match body {
                    Some(body) => self.take_frame(body),
                    None if self.following => Some(Parted::Cut),
                    None => Some(Parted::Gone),
                },
                _ = ticks.tick() => self.tick(),
                changed = newest.changed() => {
                    let newer = changed.is_ok() && newest.borrow().epoch > self.info.epoch;
                    newer.then_some(Parted::Newer)
                }
            };
            if let Some(parted) = parted {
                return parted;
            }
        }
    }

    /// Takes in what the owner says. Returns why the link ends by it, if it does.
    fn take_frame(&mut self, body: Body) -> Option<Parted> {
        self.heard = Instant::now();
        match body {
            // Sent by a process that is just becoming the owner.
            Body::Heartbeat(beat) if beat.epoch == 0 => {}
            Body::Heartbeat(beat) => self.take_heartbeat(beat),
            Body::Answer(answer) => self.remote.answered(answer),
            Body::Ask(ask) => {
                tokio::spawn(answer_ask(self.cx.shared.clone(), ask, self.outbox.clone()));
            }
            Body::Delegated(frame) => {
                delegate::carry_out(&self.cx.shared, frame, &self.outbox);
            }
            Body::Config(row) => watch::take_packed(&self.cx.shared, row),
            Body::HandOver(h) => return Some(Parted::HandedOver { rev: h.rev }),
            Body::Owner(other) => {
                let newer = self.cx.partition.note_owner_info(&other);
                return Some(if newer { Parted::Newer } else { Parted::Gone });
            }
            other => log::warn!("link.unexpected frame={other:?}"),
        }
        None
    }

    fn take_heartbeat(&mut self, beat: Heartbeat) {
        if !self.following {
            self.following = true;
            let OwnerInfo { epoch, address, .. } = self.info;
            log::info!("owner.following epoch={epoch} address={address}");
            self.cx.partition.route.send_replace(Route::Remote(self.remote.clone()));
        }
        self.cx.note_owner();
        let lost = beat.store_lost;
        if self.cx.partition.probe_store.swap(lost, Ordering::Relaxed) != lost {
            self.cx.shared.config_wanted.notify_one();
        }
        self.every = Duration::from_millis(beat.every_ms).max(BEAT);
        self.take_told(&beat);
        if !beat.members.is_empty() {
            self.members = beat.members;
        }
    }

    /// Takes in what the owner knows of the configuration.
    fn take_told(&self, beat: &Heartbeat) {
        let (shared, partition) = (&self.cx.shared, &self.cx.partition);
        let mut told = partition.config_told();
        let beat = Told {
            version: beat.config,
            age: Millis(beat.config_age_ms),
            every: Millis(self.every.as_millis() as u64),
        };
        told.note(beat, shared.config_version(), shared.clock.now());
        partition.set_config_told(told);
    }

    /// Tells the owner that this process is alive, unless the owner is silent itself.
    fn tick(&mut self) -> Option<Parted> {
        let now = Instant::now();
        if now - self.ticked >= BEAT + OWN_PAUSE {
            log::warn!("process.paused for_ms={}", (now - self.ticked).as_millis());
            self.heard = now;
        }
        self.ticked = now;
        if now - self.heard >= self.every * OWNER_SILENT_BEATS {
            return Some(Parted::Silent);
        }
        // Half a tick early is in time: ticks come a little late.
        if self.sent.is_none_or(|at| now - at + BEAT / 2 >= self.every) {
            self.sent = Some(now);
            self.send_beat();
        }
        None
    }

    fn send_beat(&self) {
        self.outbox.send(Body::MemberBeat(MemberBeat {
            epoch: self.cx.partition.owner.borrow().epoch,
            store_age_ms: self.cx.shared.store_age().0,
            config: self.cx.shared.config_version(),
            stopping: self.cx.shared.is_stopping(),
            owned: self.cx.shared.owned_count(),
        }));
    }

    /// Takes the owner off the way of callers' requests.
    fn end(&self) {
        self.cx.partition.route.send_replace(Route::None);
        self.cx.partition.probe_store.store(false, Ordering::Relaxed);
        self.cx.partition.set_config_told(ConfigTold::default());
        // Whether the store answers decides what callers are told now.
        self.cx.shared.config_wanted.notify_one();
        self.remote.fail_all();
    }
}

async fn answer_ask(shared: Arc<Shared>, ask: Ask, outbox: Outbox) {
    let answer = advise(&shared, &ask.step, &ask.workers).await;
    let answered = answer.is_some();
    let (rows, validity) = answer.unwrap_or((Vec::new(), Millis(0)));
    let workers = rows.iter().map(|(id, _)| id.as_str().to_owned()).collect();
    let tickets = rows.iter().map(|(_, t)| t.to_string()).collect();
    let validity_ms = validity.0;
    outbox.send(Body::Advice(Advice { step: ask.step, answered, workers, tickets, validity_ms }));
}
