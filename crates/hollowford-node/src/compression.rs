//! DEFLATE compression of messages. Messages between processes are repetitive, and the bandwidth of
//! members' links is limited.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

/// Compresses bytes.
///
/// # Errors
/// Returns the encoder's errors, which don't occur with a buffer in memory.
pub fn compress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Returns the bytes that [`compress`] was given.
///
/// # Errors
/// Returns an error if the bytes can't be decompressed or if the result exceeds `max_bytes`, so
/// that a faulty peer can't exhaust this process's memory.
pub fn decompress(compressed: &[u8], max_bytes: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        return Err(Error::new(ErrorKind::InvalidData, "decompressed size exceeds the limit"));
    }
    Ok(bytes)
}
