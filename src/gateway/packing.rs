//! Compresses the changes of a table for other daemons: a configuration repeats the same keys for each
//! route, and many links are narrow.

use bytes::Bytes;
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress, uncompressed_size};
use thiserror::Error;

use crate::{
    protocol::codec::{self, CodecError},
    state::rows::RowChanges,
};

/// Maximum size of encoded changes in bytes.
const MAX_UNPACKED_BYTES: usize = 32 << 20;

/// Error when changes are unpacked.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes are not a valid compression.
    #[error("{0}")]
    Decompress(#[from] DecompressError),
    /// The changes are too large, in bytes.
    #[error("changes of {0} bytes")]
    TooLong(usize),
    /// The decompressed bytes are not changes.
    #[error("{0}")]
    Decode(#[from] CodecError),
}

/// Encodes and compresses changes.
pub fn pack(changes: &RowChanges) -> Result<Bytes, CodecError> {
    let encoded = codec::encode_within::<_, MAX_UNPACKED_BYTES>(changes)?;
    Ok(compress_prepend_size(&encoded).into())
}

/// Decompresses and decodes changes.
pub fn unpack(packed: &[u8]) -> Result<RowChanges, UnpackError> {
    let (length, compressed) = uncompressed_size(packed)?;
    if length > MAX_UNPACKED_BYTES {
        return Err(UnpackError::TooLong(length));
    }
    let encoded = decompress(compressed, length)?;
    Ok(codec::decode_within::<RowChanges, MAX_UNPACKED_BYTES>(
        &encoded,
    )?)
}
