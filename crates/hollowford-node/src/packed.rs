//! The operator's configuration on its way between processes, packed: a thousand routes are much
//! alike, and members' links are narrow.

use crate::wire::ConfigRow;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

/// The largest configuration that is taken from a peer, in bytes: what the store could hold in
/// a row, many times over. Bounds what a broken peer makes this process unpack.
const LARGEST: u64 = 16 << 20;

/// Packs a row's bytes.
///
/// # Errors
/// None that a buffer in memory gives; passed on all the same.
pub fn pack(row_version: u64, value: &[u8]) -> Result<ConfigRow, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    Ok(ConfigRow { row_version, packed: encoder.finish()? })
}

/// Returns the row's bytes.
///
/// # Errors
/// When they are not packed as [`pack`] does, or larger than any configuration.
pub fn unpack(row: &ConfigRow) -> Result<Vec<u8>, Error> {
    let mut value = Vec::new();
    DeflateDecoder::new(&row.packed[..]).take(LARGEST + 1).read_to_end(&mut value)?;
    if value.len() as u64 > LARGEST {
        return Err(Error::new(ErrorKind::InvalidData, "the configuration is too large"));
    }
    Ok(value)
}
