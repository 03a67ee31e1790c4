//! A process that doesn't own the partition: its link to the owner.

use crate::calls::advise;
use crate::link::{self, Outbox, Reader};
use crate::relay::RemoteOwner;
use crate::shared::{Route, Shared};
use crate::watch;
use crate::wire::{Advice, Ask, Body, Hello, MemberBeat, OwnerInfo};
use hollowford_adapter::Version;
use hollowford_core::Millis;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often a member tells the owner that it is alive.
const BEAT: Duration = Duration::from_millis(100);
/// An owner that says nothing for so long is taken as gone.
const OWNER_SILENT: Duration = Duration::from_millis(500);
/// When this process's own timer comes so late, it was paused itself, and hears anew.
const OWN_PAUSE: Duration = Duration::from_millis(250);

/// Why a member has left its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parted {
    /// A newer owner is known.
    Newer,
    /// Nothing answers at its address, or not as the owner any more.
    Gone,
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

/// Follows an owner until they part.
pub async fn follow(shared: &Arc<Shared>, info: &OwnerInfo) -> Followed {
    let mut members = Vec::new();
    let parted = match open(shared, info).await {
        Ok((reader, outbox)) => serve(shared, info, reader, outbox, &mut members).await,
        Err(parted) => parted,
    };
    Followed { parted, members }
}

async fn open(shared: &Shared, info: &OwnerInfo) -> Result<(Reader, Outbox), Parted> {
    let Ok(addr) = info.address.parse() else { return Err(Parted::Gone) };
    let (reader, outbox) = link::connect(addr).await.map_err(|e| {
        let refused = matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
        if refused { Parted::Gone } else { Parted::Silent }
    })?;
    outbox.send(Body::Hello(Hello {
        address: shared.address().to_string(),
        cpu_milli: (shared.settings.cpu_share * 1_000.0) as u32,
        age_ms: shared.clock.now().0,
        owner: Some(info.clone()),
    }));
    Ok((reader, outbox))
}

async fn serve(
    shared: &Arc<Shared>,
    info: &OwnerInfo,
    mut reader: Reader,
    outbox: Outbox,
    members: &mut Vec<String>,
) -> Parted {
    let remote = RemoteOwner::new(outbox.clone());
    let mut newest = shared.owner.subscribe();
    let mut ticks = interval(BEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    let mut ticked = Instant::now();
    let mut following = false;
    let parted = loop {
        tokio::select! {
            body = link::next(&mut reader) => {
                let Some(body) = body else { break Parted::Gone };
                heard = Instant::now();
                match body {
                    Body::Heartbeat(beat) if beat.epoch == 0 => {}
                    Body::Heartbeat(beat) => {
                        if !following {
                            following = true;
                            log::info!("owner.following epoch={} address={}", info.epoch, info.address);
                            shared.route.send_replace(Route::Remote(remote.clone()));
                        }
                        shared.note_owner();
                        if shared.probe_store.swap(beat.store_lost, Ordering::Relaxed) != beat.store_lost {
                            shared.config_wanted.notify_one();
                        }
                        *members = beat.members;
                    }
                    Body::Answer(answer) => remote.answered(answer),
                    Body::Ask(ask) => {
                        tokio::spawn(answer_ask(shared.clone(), ask, outbox.clone()));
                    }
                    Body::Config(row) => watch::take_row(shared, row),
                    Body::HandOver(h) => break Parted::HandedOver { rev: h.rev },
                    Body::Owner(other) => {
                        let newer = shared.note_owner_info(&other);
                        break if newer { Parted::Newer } else { Parted::Gone };
                    }
                    other => log::warn!("link.unexpected frame={other:?}"),
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                if now - ticked >= BEAT + OWN_PAUSE {
                    log::warn!("process.paused for_ms={}", (now - ticked).as_millis());
                    heard = now;
                }
                ticked = now;
                if now - heard >= OWNER_SILENT {
                    break Parted::Silent;
                }
                beat(shared, &outbox);
            }
            changed = newest.changed() => {
                if changed.is_ok() && newest.borrow().epoch > info.epoch {
                    break Parted::Newer;
                }
            }
        }
    };
    shared.route.send_replace(Route::None);
    shared.probe_store.store(false, Ordering::Relaxed);
    // Whether the store answers decides what callers are told now.
    shared.config_wanted.notify_one();
    remote.fail_all();
    parted
}

fn beat(shared: &Shared, outbox: &Outbox) {
    outbox.send(Body::MemberBeat(MemberBeat {
        epoch: shared.owner.borrow().epoch,
        store_age_ms: shared.store_age().0,
        config: shared.config_version(),
        stopping: shared.is_stopping(),
    }));
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
