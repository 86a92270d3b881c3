//! The binary encoding of messages between daemons, with a limit on their size.

use serde::{Serialize, de::DeserializeOwned};

/// The greatest length of one encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not such a value.
    #[error("decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message is longer than the limit.
    #[error("message of {len} bytes is over the limit of {limit}")]
    TooLong {
        /// Its length.
        len: usize,
        /// The limit.
        limit: usize,
    },
    /// Bytes follow the value.
    #[error("{0} bytes after the message")]
    Trailing(usize),
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    check_length(bytes.len(), MAX_MESSAGE_BYTES)?;
    Ok(bytes)
}

/// Decodes a value that must fill `bytes` exactly.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_within::<T, MAX_MESSAGE_BYTES>(bytes)
}

/// Decodes a value that must fill `bytes` exactly, where no message is longer than `LIMIT` bytes.
pub fn decode_within<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<T, CodecError> {
    check_length(bytes.len(), LIMIT)?;
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (value, consumed) = bincode::serde::decode_from_slice(bytes, config)?;
    if consumed < bytes.len() {
        return Err(CodecError::Trailing(bytes.len() - consumed));
    }
    Ok(value)
}

fn check_length(len: usize, limit: usize) -> Result<(), CodecError> {
    if len > limit {
        return Err(CodecError::TooLong { len, limit });
    }
    Ok(())
}
