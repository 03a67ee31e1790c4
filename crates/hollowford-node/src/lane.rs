//! Lanes: rows in which an owner counts its batches, one row for each batch that may be in flight.
//!
//! A batch requires the version of its lane's row that the previous batch of the lane or the
//! takeover has written, and replaces the row. A batch therefore can't be committed twice or after
//! a newer batch of its lane. A takeover writes the rows of all lanes, so no batch of a deposed
//! owner can be committed. The row of the first lane is the owner row, which members read to check
//! whether the owner is alive.

use crate::owner_row::OWNER_KEY;
use crate::wire::{OwnerInfo, OwnerRow, RenewalTerms};
use hollowford_adapter::{Row, Version};
use prost::Message;

/// Maximum number of batches in flight. The store executes the transactions of a part one after the
/// other. If a transaction takes half a second and its round trip another half, two lanes double
/// the rate to two batches per second; more batches would only queue in the store.
pub const LANE_COUNT: usize = 2;

pub fn lane_key(lane: usize) -> String {
    if lane == 0 { OWNER_KEY.to_owned() } else { format!("lane/{lane}") }
}

/// Returns the rows of all lanes as written by a takeover.
pub fn takeover_rows(owner: &OwnerInfo, terms: &RenewalTerms) -> Vec<(String, Vec<u8>)> {
    let row = |lane| {
        let terms = (lane == 0).then(|| terms.clone());
        let row = OwnerRow { owner: Some(owner.clone()), batch: 0, terms };
        (lane_key(lane), row.encode_to_vec())
    };
    (0..LANE_COUNT).map(row).collect()
}

/// Returns the version of each lane's row among `rows`, or 0 for a missing row.
pub fn lane_versions(rows: &[Row]) -> [Version; LANE_COUNT] {
    let version = |lane| rows.iter().find(|r| r.key == lane_key(lane)).map_or(0, |row| row.version);
    std::array::from_fn(version)
}
