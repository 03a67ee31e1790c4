//! Frames on links between the scheduler's processes: a length followed by one `prost` message.

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, Stream, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a frame in bytes; a larger one closes the link.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A byte stream split into length-delimited frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Error of reading or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The link failed, or the frame exceeded [`MAX_FRAME_BYTES`].
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes of the frame are not a valid message.
    #[error("frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer closed the link.
    #[error("closed")]
    Closed,
}

/// Adds length-delimited framing to a byte stream.
pub fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Frames<S> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Sends one message in a frame.
///
/// # Errors
/// `Io` if the link failed or the message exceeds [`MAX_FRAME_BYTES`].
pub async fn send<S, M>(link: &mut S, msg: &M) -> Result<(), FrameError>
where
    S: SinkExt<Bytes, Error = std::io::Error> + Unpin,
    M: Message,
{
    link.send(msg.encode_to_vec().into()).await?;
    Ok(())
}

/// Receives one message.
///
/// # Errors
/// `Closed` if the peer closed the link, `Io` if the link failed or the frame exceeds
/// [`MAX_FRAME_BYTES`], `Decode` if the bytes are not a valid message.
pub async fn recv<S, M>(link: &mut S) -> Result<M, FrameError>
where
    S: Stream<Item = Result<BytesMut, std::io::Error>> + Unpin,
    M: Message + Default,
{
    let frame = link.next().await.ok_or(FrameError::Closed)??;
    decode(&frame)
}

/// Decodes a message from the bytes of a frame.
///
/// # Errors
/// `Decode` if the bytes are not a valid message.
pub fn decode<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
    Ok(M::decode(frame)?)
}

/// Returns the HMAC-SHA-256 of the peer's nonce and the id of a process, which proves knowledge of
/// the shared key.
pub fn mac(key: &[u8], nonce: &[u8], process: &str) -> Vec<u8> {
    // HMAC accepts keys of any length, so this can't fail.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
        return Vec::new();
    };
    mac.update(nonce);
    mac.update(process.as_bytes());
    mac.finalize().into_bytes().to_vec()
}
