//! Membership datagrams: an encoded message followed by a truncated authentication code.

use crate::{
    coordination::membership::Message,
    protocol::{
        codec::{self, CodecError},
        fleet_key::FleetKey,
    },
};

/// Maximum length of a datagram, below the smallest common path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const TAG_BYTES: usize = 16;
const LABEL: &[u8] = b"hibiscusyoke gossip 1";

/// An error that occurred while sealing or opening a datagram.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The message cannot be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The datagram would be longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is too long")]
    TooLong(usize),
    /// The authentication code was not made with the fleet key.
    #[error("invalid authentication code")]
    Unauthenticated,
}

/// Encodes and signs a message.
pub fn seal(key: &FleetKey, message: &Message) -> Result<Vec<u8>, GossipError> {
    let mut datagram = codec::encode(message)?;
    let tag = key.tag(&[LABEL, &datagram]);
    datagram.extend_from_slice(&tag[..TAG_BYTES]);
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(GossipError::TooLong(datagram.len()));
    }
    Ok(datagram)
}

/// Verifies and decodes a datagram.
pub fn open(key: &FleetKey, datagram: &[u8]) -> Result<Message, GossipError> {
    let Some(split) = datagram.len().checked_sub(TAG_BYTES) else {
        return Err(GossipError::Unauthenticated);
    };
    let (message, tag) = datagram.split_at(split);
    if !key.verifies(&[LABEL, message], tag) {
        return Err(GossipError::Unauthenticated);
    }
    Ok(codec::decode(message)?)
}
