//! Packed bytes: what goes between processes is much alike, and members' links are narrow.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

/// Packs bytes.
///
/// # Errors
/// None that a buffer in memory gives; passed on all the same.
pub fn compress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Returns the bytes that [`compress`] was given.
///
/// # Errors
/// When they are not packed so, or come to more than `max_bytes`: a broken peer must not fill this
/// process's memory.
pub fn decompress(packed: &[u8], max_bytes: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        return Err(Error::new(ErrorKind::InvalidData, "unpacks to too much"));
    }
    Ok(bytes)
}
