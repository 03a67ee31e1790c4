//! Splitting of a link's bytes into frames, whose bytes are counted.

use bytes::BytesMut;
use hollowford_connections::{Connection, NoRoom, Reservation};
use std::io;
use std::sync::Arc;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Size limit of a frame; a job's specification fits into it.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size limit of the first frame on a link that another process has opened.
const MAX_FIRST_FRAME_BYTES: usize = 4 << 10;
/// Size of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Frames up to this size fit into the buffer that each link has.
const BUFFERED_FRAME_BYTES: usize = 8 << 10;

/// Decodes frames. On a link that another process has opened, the first one is small, and larger
/// ones reserve their bytes before they come.
#[derive(Debug)]
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    /// The bytes kept for the largest frame so far; `None` on a link that this process has opened.
    reservation: Option<Reservation>,
    /// Whether the length of the next frame was read.
    is_in_frame: bool,
}

impl FrameDecoder {
    /// Returns a decoder for a link that this process has opened.
    pub fn new() -> FrameDecoder {
        FrameDecoder { codec: codec(MAX_FRAME_BYTES), reservation: None, is_in_frame: false }
    }

    /// Returns a decoder for a link that another process has opened.
    ///
    /// # Errors
    /// If there is no room.
    pub fn for_incoming(connection: &Arc<Connection>) -> Result<FrameDecoder, NoRoom> {
        let reservation = Some(connection.reserve(0)?);
        let codec = codec(MAX_FIRST_FRAME_BYTES);
        Ok(FrameDecoder { codec, reservation, is_in_frame: false })
    }

    /// Allows frames of every size, after the other process has introduced itself.
    pub fn allow_large_frames(&mut self) {
        self.codec.set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Reserves the bytes of the frame whose length has come.
    fn reserve(&mut self, src: &BytesMut) -> io::Result<()> {
        let Some(reservation) = &mut self.reservation else { return Ok(()) };
        let Some(length) = src.first_chunk::<LENGTH_BYTES>().filter(|_| !self.is_in_frame) else {
            return Ok(());
        };
        self.is_in_frame = true;
        let bytes = u32::from_be_bytes(*length) as usize;
        let is_decoded = bytes <= self.codec.max_frame_length();
        if is_decoded && bytes > BUFFERED_FRAME_BYTES.max(reservation.bytes()) {
            // The link's buffer keeps its size after the frame.
            reservation.resize(bytes).map_err(io::Error::other)?;
        }
        Ok(())
    }
}

fn codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec()
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.reserve(src)?;
        let frame = self.codec.decode(src)?;
        if frame.is_some() {
            self.is_in_frame = false;
        }
        Ok(frame)
    }
}
