//! Encoding and decoding of frames between controllers, which use rkyv's archive format.

use rkyv::rancor;
use rkyv::util::AlignedVec;
use thiserror::Error;

/// The error for bytes that are not a valid frame of the expected type.
#[derive(Debug, Error)]
#[error("cannot decode {len} bytes as a {frame} frame")]
pub struct FrameError {
    /// The name of the expected frame type.
    pub frame: &'static str,
    /// The number of bytes received.
    pub len: usize,
    /// Why the bytes are invalid.
    #[source]
    pub source: rancor::Error,
}

/// Copies the bytes of a frame to an aligned buffer, since rkyv reads only aligned archives.
pub(super) fn copy_aligned(bytes: &[u8]) -> AlignedVec<16> {
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

/// Implements `encode` and `decode` for types that derive rkyv's traits.
macro_rules! frames {
    ($($name:ident),* $(,)?) => {$(
        impl $name {
            /// Encodes the frame. If that fails, the result is empty, which receivers reject.
            pub fn encode(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self)
                    .map_or_else(|_| Vec::new(), |bytes| bytes.to_vec())
            }

            /// Decodes a frame and validates all of its content.
            pub fn decode(bytes: &[u8]) -> Result<Self, $crate::protocol::frame::FrameError> {
                let aligned = $crate::protocol::frame::copy_aligned(bytes);
                rkyv::from_bytes::<Self, rkyv::rancor::Error>(&aligned).map_err(|source| {
                    $crate::protocol::frame::FrameError {
                        frame: stringify!($name),
                        len: bytes.len(),
                        source,
                    }
                })
            }
        }
    )*};
}

pub(super) use frames;
