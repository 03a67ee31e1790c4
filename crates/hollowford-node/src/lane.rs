//! Lanes: rows in which an owner counts its batches, one for each batch that may be under way.
//!
//! A batch requires the row of its lane as the last batch of that lane, or the takeover, left it,
//! and writes it anew. So no batch of a lane is made twice or after a newer one; and since a
//! takeover writes the rows of all lanes, none of a deposed owner is made at all. The first
//! lane's row is the owner row itself, which members read to see whether an owner lives.

use crate::owner_row::{OWNER_KEY, encode_owner};
use crate::wire::OwnerInfo;
use hollowford_adapter::{Row, Version};

/// How many batches may be under way at a time. The store makes the transactions of a part one
/// after the other: a slow one that takes half a second for each, and as long again for the way,
/// makes two a second by that and not one. More would only wait there.
pub const LANE_COUNT: usize = 2;

/// Returns the key of a lane's row.
pub fn lane_key(lane: usize) -> String {
    if lane == 0 { OWNER_KEY.to_owned() } else { format!("lane/{lane}") }
}

/// Returns the rows of all lanes, as a takeover writes them.
pub fn takeover_rows(owner: &OwnerInfo) -> Vec<(String, Vec<u8>)> {
    (0..LANE_COUNT).map(|lane| (lane_key(lane), encode_owner(owner, 0))).collect()
}

/// Returns the version of each lane's row among those read; 0: it is not there.
pub fn lane_versions(rows: &[Row]) -> [Version; LANE_COUNT] {
    let version = |lane| rows.iter().find(|r| r.key == lane_key(lane)).map_or(0, |row| row.version);
    std::array::from_fn(version)
}
