//! Binary encoding of messages between daemons, with a size limit.

use serde::{Serialize, de::DeserializeOwned};

/// Maximum length of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// An error that occurred while encoding or decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a valid encoding of the type.
    #[error("decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message exceeds the size limit.
    #[error("message of {len} bytes exceeds the limit of {limit}")]
    TooLong {
        /// Length of the message in bytes.
        len: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The input continues after the value.
    #[error("{0} bytes after the message")]
    Trailing(usize),
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    encode_within::<T, MAX_MESSAGE_BYTES>(value)
}

/// Encodes a value to at most `LIMIT` bytes.
pub fn encode_within<T: Serialize, const LIMIT: usize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    check_length(bytes.len(), LIMIT)?;
    Ok(bytes)
}

/// Decodes a value that must occupy all of `bytes`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_within::<T, MAX_MESSAGE_BYTES>(bytes)
}

/// Decodes a value that must occupy all of `bytes`, which may be at most `LIMIT` bytes long.
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
