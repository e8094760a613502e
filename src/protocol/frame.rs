//! The encoding of frames between controllers, in rkyv's archive format.

use rkyv::rancor;
use rkyv::util::AlignedVec;
use thiserror::Error;

/// Bytes that are no frame of the expected type.
#[derive(Debug, Error)]
#[error("cannot decode {len} bytes as a {frame} frame")]
pub struct FrameError {
    /// The type that was expected.
    pub frame: &'static str,
    /// How many bytes there were.
    pub len: usize,
    /// What is wrong with them.
    #[source]
    pub source: rancor::Error,
}

/// Copies a frame to where it can be read: archives are aligned.
pub(super) fn aligned(bytes: &[u8]) -> AlignedVec<16> {
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

/// Gives types that derive rkyv's traits `encode` and `decode`.
macro_rules! frames {
    ($($name:ident),* $(,)?) => {$(
        impl $name {
            /// Encodes the frame. Nothing if that fails, which no receiver takes for a frame.
            pub fn encode(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self)
                    .map_or_else(|_| Vec::new(), |bytes| bytes.to_vec())
            }

            /// Decodes a frame, checking that all of it is valid.
            pub fn decode(bytes: &[u8]) -> Result<Self, $crate::protocol::frame::FrameError> {
                let aligned = $crate::protocol::frame::aligned(bytes);
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
