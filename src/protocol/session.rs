//! Session tokens: the properties of a session, signed with a key from the configuration.
//!
//! Any daemon with the configuration can verify a token, so sessions need no storage.

use std::collections::BTreeMap;

use bincode::config::{Configuration, Limit, standard};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::mac::{MacKey, decode_base64, encode_base64},
    state::{
        objects::{CustomerName, SessionKey, VersionName},
        snapshot::Generation,
    },
};

/// Identifies a session.
pub type SessionId = CompactString;

/// Maximum length of a token in characters.
pub const MAX_TOKEN_CHARS: usize = 2_048;

/// Maximum length of a token's encoded content in bytes.
const MAX_CONTENT_BYTES: usize = 1_024;

const PURPOSE: &str = "session";

const CODEC: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_CONTENT_BYTES>,
> = standard().with_limit::<MAX_CONTENT_BYTES>();

/// The properties of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Id of the session.
    pub id: SessionId,
    /// Customer that opened the session.
    pub customer: CustomerName,
    /// Version that serves the session.
    pub version: VersionName,
    /// Configuration generation in force when the session was opened.
    pub generation: Generation,
}

/// An error that occurred while sealing or opening a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum SessionError {
    /// The configuration has no session key.
    #[error("the configuration has no session key")]
    NoKey,
    /// The signing session key is not at least 16 bytes in hexadecimal.
    #[error("the signing session key is not at least 16 bytes in hexadecimal")]
    BadKey,
    /// The session's names are too long for a token.
    #[error("the session's names are too long for a token")]
    TooLong,
    /// The text is not a token.
    #[error("the text is not a session token")]
    Malformed,
    /// The token's authentication code matches no session key.
    #[error("the session token was not issued by this fleet or was altered")]
    Tampered,
}

/// Signs a session with the last session key in name order.
pub fn seal(
    session: &Session,
    keys: &BTreeMap<CompactString, SessionKey>,
) -> Result<String, SessionError> {
    let (_, key) = keys.last_key_value().ok_or(SessionError::NoKey)?;
    let key = MacKey::from_hex(&key.secret).ok_or(SessionError::BadKey)?;
    let content =
        bincode::serde::encode_to_vec(session, CODEC).map_err(|_| SessionError::TooLong)?;
    let code = key.sign(PURPOSE, &content);
    let token = format!("{}.{}", encode_base64(&content), encode_base64(&code));
    if token.len() > MAX_TOKEN_CHARS {
        return Err(SessionError::TooLong);
    }
    Ok(token)
}

/// Verifies and decodes a token signed with any of the session keys.
pub fn open(
    keys: &BTreeMap<CompactString, SessionKey>,
    token: &str,
) -> Result<Session, SessionError> {
    if keys.is_empty() {
        return Err(SessionError::NoKey);
    }
    if token.len() > MAX_TOKEN_CHARS {
        return Err(SessionError::Malformed);
    }
    let (content, code) = token.split_once('.').ok_or(SessionError::Malformed)?;
    let content = decode_base64(content).ok_or(SessionError::Malformed)?;
    let code = decode_base64(code).ok_or(SessionError::Malformed)?;
    if !verified_by_any(keys, &content, &code) {
        return Err(SessionError::Tampered);
    }
    let (session, length) = bincode::serde::decode_from_slice(&content, CODEC)
        .map_err(|_: bincode::error::DecodeError| SessionError::Malformed)?;
    if length != content.len() {
        return Err(SessionError::Malformed);
    }
    Ok(session)
}

fn verified_by_any(
    keys: &BTreeMap<CompactString, SessionKey>,
    content: &[u8],
    code: &[u8],
) -> bool {
    const CODE_BYTES: usize = 32;
    code.len() == CODE_BYTES
        && keys
            .values()
            .rev()
            .filter_map(|key| MacKey::from_hex(&key.secret))
            .any(|key| key.verify(PURPOSE, content, code))
}
