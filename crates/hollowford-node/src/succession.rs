//! When an owner is gone, and who comes next: the rules, without I/O.
//!
//! Promise: an owner whose process has ended is replaced at once, one that says nothing after half
//! a second and the time for a few calls to the store; one that lives is not deposed for being
//! busy.
//!
//! 1. Each member judges its owner by what it hears on its own link ([`Hearing`], used by
//!    `member`). An owner that is quiet is asked over a new link before it is taken for silent.
//! 2. A member whose owner is gone waits its turn (`ownership`).
//! 3. The owner row decides (`owner_row`): it is written only as it was read, and an owner that
//!    goes on writing it is alive.

use hollowford_core::Millis;

/// How often a member tells its owner that it is alive and looks at what it has heard, and the
/// pace that it expects of an owner until it is told another.
pub const BEAT: Millis = Millis(100);
/// An owner that says nothing for so many heartbeats is asked whether it lives.
const QUIET_BEATS: u64 = 3;
/// One that has said nothing for so many, nor answered, is taken as gone.
const SILENT_BEATS: u64 = 5;
/// When this process's own timer comes so late, it was paused itself, and hears anew.
const OWN_PAUSE: Millis = Millis(250);

/// What a member makes of what it has heard of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// It has heard the owner lately.
    Heard,
    /// This process was itself paused for so long, so it can't tell.
    Paused(Millis),
    /// The owner is to be asked.
    Quiet,
    /// Nothing has come for too long.
    Silent,
}

/// What a member has heard on its link to the owner, and when. All times are by its own clock.
#[derive(Debug)]
pub struct Hearing {
    /// When the owner said something last.
    heard: Millis,
    /// When this process's own timer came last.
    ticked: Millis,
    /// Time between two heartbeats, as the owner told last.
    every: Millis,
}

impl Hearing {
    /// Starts with a link that was opened just now.
    pub fn new(now: Millis) -> Hearing {
        Hearing { heard: now, ticked: now, every: BEAT }
    }

    /// Takes note that the owner has said something.
    pub fn note(&mut self, now: Millis) {
        self.heard = now;
    }

    /// Takes note of how often the owner says that it lives.
    pub fn set_pace(&mut self, every: Millis) {
        self.every = every.max(BEAT);
    }

    /// Returns the time between two heartbeats.
    pub fn pace(&self) -> Millis {
        self.every
    }

    /// Returns how long the owner may take to answer whether it lives.
    pub fn answer_limit(&self) -> Millis {
        Millis(self.every.0 * (SILENT_BEATS - QUIET_BEATS))
    }

    /// Judges the owner; called every [`BEAT`].
    pub fn judge(&mut self, now: Millis) -> Judged {
        let paused = now.since(self.ticked);
        self.ticked = now;
        if paused >= BEAT + OWN_PAUSE {
            self.heard = now;
            return Judged::Paused(paused);
        }
        let quiet = now.since(self.heard).0;
        if quiet >= self.every.0 * SILENT_BEATS {
            Judged::Silent
        } else if quiet >= self.every.0 * QUIET_BEATS {
            Judged::Quiet
        } else {
            Judged::Heard
        }
    }
}
