//! Frames between the system's own processes: a length, then one `prost` message.

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, Stream, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes; longer ones end the link.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A link that carries frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The link failed, or the frame was over the limit.
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// The frame's bytes are not the message.
    #[error("frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The other side closed the link.
    #[error("closed")]
    Closed,
}

/// Puts frames on a byte stream.
pub fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Frames<S> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Writes one message.
///
/// # Errors
/// `Io` when the link failed or the message is over the limit.
pub async fn send<S, M>(link: &mut S, msg: &M) -> Result<(), FrameError>
where
    S: SinkExt<Bytes, Error = std::io::Error> + Unpin,
    M: Message,
{
    link.send(msg.encode_to_vec().into()).await?;
    Ok(())
}

/// Reads one message.
///
/// # Errors
/// `Closed` at the end of the link, `Decode` for bytes that are not the message.
pub async fn recv<S, M>(link: &mut S) -> Result<M, FrameError>
where
    S: Stream<Item = Result<BytesMut, std::io::Error>> + Unpin,
    M: Message + Default,
{
    let frame = link.next().await.ok_or(FrameError::Closed)??;
    decode(&frame)
}

/// Reads one message from a frame's bytes.
///
/// # Errors
/// `Decode` for bytes that are not the message.
pub fn decode<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
    Ok(M::decode(frame)?)
}

/// Proves knowledge of the shared key: HMAC-SHA-256 over the other side's nonce and a name.
pub fn mac(key: &[u8], nonce: &[u8], process: &str) -> Vec<u8> {
    // HMAC takes a key of any length, so this cannot fail.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
        return Vec::new();
    };
    mac.update(nonce);
    mac.update(process.as_bytes());
    mac.finalize().into_bytes().to_vec()
}
