//! What one pass over the steps that wait works on: the workers, with what it leaves free.

use crate::choose::Room;
use crate::reserve::Plan;
use crate::urgency::Waiting;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::sync::Arc;

/// What one pass works on.
pub(crate) struct Pass {
    pub now: Millis,
    /// Steps that have asked for advice before may ask again.
    pub asks_again: bool,
    /// Workers that may get tasks, with what the pass leaves free.
    pub rooms: Vec<Room>,
    /// Position in `rooms` of each worker that is there.
    at: FxHashMap<WorkerIdx, usize>,
    /// No room had more of anything when the pass began: what doesn't fit here fits nowhere.
    most: Resources,
    /// Racks of the rooms, made when a gang first asks for one.
    racks: Option<Rc<[Arc<str>]>>,
    /// Gangs for which room is kept so far.
    pub reservations: usize,
    /// Gangs with a call for advice under way, which may make another one once all steps had their turn.
    pub asking: Vec<(Waiting, Option<Plan>)>,
}

impl Pass {
    /// Begins a pass over the given rooms.
    pub fn new(now: Millis, asks_again: bool, rooms: Vec<Room>) -> Pass {
        let at = rooms.iter().enumerate().map(|(at, r)| (r.idx, at)).collect();
        let most = rooms.iter().fold(Resources::default(), |m, r| m.component_max(&r.free));
        Pass { now, asks_again, rooms, at, most, racks: None, reservations: 0, asking: Vec::new() }
    }

    /// Returns the position of a worker's room, if it may get tasks.
    pub fn room_of(&self, idx: WorkerIdx) -> Option<usize> {
        self.at.get(&idx).copied()
    }

    /// Tells whether one such task may fit somewhere.
    pub fn may_fit(&self, need: &Resources) -> bool {
        need.fits(&self.most)
    }

    /// Returns the racks of the workers, for gangs that want one.
    pub fn racks(&mut self) -> Rc<[Arc<str>]> {
        let rooms = &self.rooms;
        self.racks.get_or_insert_with(|| racks_of(rooms)).clone()
    }
}

fn racks_of(rooms: &[Room]) -> Rc<[Arc<str>]> {
    let mut racks: Vec<_> = rooms.iter().filter_map(|r| r.rack.clone()).collect();
    racks.sort_unstable();
    racks.dedup();
    racks.into()
}
