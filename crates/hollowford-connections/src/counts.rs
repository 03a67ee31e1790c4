//! What happened to the connections of a listener.

/// What happened at a listener so far, and what it has now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections.
    pub open: u64,
    /// Connections closed because others needed their room.
    pub closed_for_room: u64,
    /// Connections closed because no request came for too long.
    pub closed_idle: u64,
    /// Connections closed because the rest of a request or the taking of an answer took too long.
    pub closed_overdue: u64,
    /// Connections and requests refused because there was no room.
    pub refused: u64,
}

impl Counts {
    /// Returns how many connections and requests limits have closed or refused, by the reason's label
    /// value.
    pub fn by_reason(&self) -> [(&'static str, u64); 4] {
        [
            ("room", self.closed_for_room),
            ("idle", self.closed_idle),
            ("overdue", self.closed_overdue),
            ("refused", self.refused),
        ]
    }

    /// Returns true if a limit was met since `earlier`.
    pub(crate) fn is_limited_since(&self, earlier: &Counts) -> bool {
        let limited = |c: &Counts| c.closed_for_room + c.closed_overdue + c.refused;
        limited(self) > limited(earlier)
    }
}
