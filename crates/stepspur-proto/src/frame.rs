//! Frames: length-delimited protobuf messages with a maximum length.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

/// Length of a frame's length field, in bytes.
pub const LENGTH_FIELD_BYTES: usize = 4;

/// Default maximum length of a frame's body, in bytes: about 50,000 lines of a table.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 1 << 20;

/// Why the bytes of a stream are not valid frames. It ends only that stream.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The body is larger than the limit.
    #[error("a frame of {size} bytes is larger than {max}")]
    TooLarge {
        /// Length of the body, in bytes.
        size: usize,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// The stream ended inside a frame.
    #[error("the stream ended inside a frame, {received} bytes after its start")]
    Truncated {
        /// Number of bytes of the frame that were received.
        received: usize,
    },
    /// The body cannot be decoded as the expected message.
    #[error("not a message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The transport failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Encodes one message as a frame, including its length field.
///
/// # Errors
/// [`FrameError::TooLarge`] if the body is larger than `max_frame_bytes` bytes.
pub fn encode_frame(message: &impl Message, max_frame_bytes: usize) -> Result<Bytes, FrameError> {
    let size = message.encoded_len();
    if size > max_frame_bytes || u32::try_from(size).is_err() {
        return Err(FrameError::TooLarge { size, max: max_frame_bytes });
    }
    let mut out = BytesMut::with_capacity(LENGTH_FIELD_BYTES + size);
    out.put_u32(size as u32);
    message.encode(&mut out).map_err(|_| FrameError::TooLarge { size, max: max_frame_bytes })?;
    Ok(out.freeze())
}

/// Decodes the message in one complete frame, as encoded by [`encode_frame`].
///
/// # Errors
/// [`FrameError::Truncated`] if bytes are missing or left over, [`FrameError::Malformed`] if the body cannot
/// be decoded.
pub fn decode_frame<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
    let truncated = FrameError::Truncated { received: frame.len() };
    let Some((head, body)) = frame.split_first_chunk::<LENGTH_FIELD_BYTES>() else { return Err(truncated) };
    if u32::from_be_bytes(*head) as usize != body.len() {
        return Err(truncated);
    }
    Ok(M::decode(body)?)
}

/// The frame of which a decoder has received a part.
#[derive(Clone, Debug, Default)]
pub struct IncompleteFrame(Arc<AtomicUsize>);

impl IncompleteFrame {
    /// Body length of the frame in bytes; 0 if there is none, or its length is not received yet.
    pub fn body_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, body_bytes: usize) {
        self.0.store(body_bytes, Ordering::Relaxed);
    }
}

/// The codec of one side of a connection: decodes messages `In` and encodes messages `Out`.
#[derive(Debug)]
pub struct Frames<In, Out> {
    max_frame_bytes: usize,
    incomplete: IncompleteFrame,
    kinds: PhantomData<fn(In) -> Out>,
}

impl<In, Out> Frames<In, Out> {
    /// Creates a codec with a maximum body length of `max_frame_bytes` bytes in both directions.
    pub fn new(max_frame_bytes: usize) -> Self {
        Self { max_frame_bytes, incomplete: IncompleteFrame::default(), kinds: PhantomData }
    }

    /// Returns a handle that tells of which frame a part has been received.
    pub fn incomplete_frame(&self) -> IncompleteFrame {
        self.incomplete.clone()
    }

    /// Changes the maximum body length to `max_frame_bytes` bytes, for all later frames.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes;
    }
}

impl<In: Message + Default, Out> Decoder for Frames<In, Out> {
    type Item = In;
    type Error = FrameError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        let Some(head) = from.first_chunk::<LENGTH_FIELD_BYTES>() else { return Ok(None) };
        let size = u32::from_be_bytes(*head) as usize;
        // Checked before any memory is reserved for the body.
        if size > self.max_frame_bytes {
            return Err(FrameError::TooLarge { size, max: self.max_frame_bytes });
        }
        if from.len() < LENGTH_FIELD_BYTES + size {
            self.incomplete.set(size);
            from.reserve(LENGTH_FIELD_BYTES + size - from.len());
            return Ok(None);
        }
        self.incomplete.set(0);
        from.advance(LENGTH_FIELD_BYTES);
        Ok(Some(In::decode(from.split_to(size).freeze())?))
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        match self.decode(from)? {
            None if !from.is_empty() => Err(FrameError::Truncated { received: from.len() }),
            read => Ok(read),
        }
    }
}

impl<In, Out: Message> Encoder<Out> for Frames<In, Out> {
    type Error = FrameError;

    fn encode(&mut self, message: Out, into: &mut BytesMut) -> Result<(), FrameError> {
        into.extend_from_slice(&encode_frame(&message, self.max_frame_bytes)?);
        Ok(())
    }
}
