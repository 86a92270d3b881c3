//! Signed prefixes that bind an idempotency key to the daemon incarnation that may execute it.
//!
//! A prefix also contains the daemon's uptime when it was issued, in seconds. The daemon can
//! therefore evict completed claims without mistaking an old key for a new one.

use std::time::Duration;

use derive_more::Display;

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    protocol::mac::{MacKey, decode_base64, encode_base64},
};

/// Maximum length of an idempotency key in characters.
pub const MAX_KEY_CHARS: usize = 255;

/// Identifies home keys; the digit is the format version.
const FORMAT_PREFIX: &str = "h1-";

/// Length of the truncated authentication code; 96 bits.
const CODE_BYTES: usize = 12;

/// Length of the incarnation and the issue time, which precede the daemon's name.
const FIXED_BYTES: usize = size_of::<Incarnation>() + size_of::<u32>();

const PURPOSE: &str = "home-key";

/// The only daemon incarnation that may execute requests whose keys have a given prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Home {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The daemon's uptime when it issued the prefix, in whole seconds.
    pub uptime_at_issue: Duration,
}

/// A signed prefix; a caller's key is `<prefix>.<suffix>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
pub struct HomePrefix(String);

/// The kind of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyKind {
    /// The key begins with a prefix issued by this fleet.
    Home(Home),
    /// Any other key, including one with a forged prefix.
    Other,
}

impl HomePrefix {
    /// Issues a prefix for a daemon incarnation whose uptime is `age`.
    pub fn issue(
        key: &MacKey,
        daemon: &DaemonName,
        incarnation: Incarnation,
        age: Duration,
    ) -> Self {
        let seconds = u32::try_from(age.as_secs()).unwrap_or(u32::MAX);
        let mut content = Vec::with_capacity(FIXED_BYTES + daemon.len() + CODE_BYTES);
        content.extend_from_slice(&incarnation.to_be_bytes());
        content.extend_from_slice(&seconds.to_be_bytes());
        content.extend_from_slice(daemon.as_bytes());
        let code = key.sign(PURPOSE, &content);
        content.extend_from_slice(&code[..CODE_BYTES]);
        Self(format!("{FORMAT_PREFIX}{}", encode_base64(&content)))
    }

    /// Returns the key with the given caller-chosen suffix.
    pub fn key(&self, suffix: &str) -> String {
        format!("{}.{suffix}", self.0)
    }
}

/// Parses and verifies an idempotency key.
pub fn parse(key: &MacKey, text: &str) -> KeyKind {
    parse_home(key, text).map_or(KeyKind::Other, KeyKind::Home)
}

fn parse_home(key: &MacKey, text: &str) -> Option<Home> {
    let (prefix, suffix) = text.split_once('.')?;
    if suffix.is_empty() {
        return None;
    }
    let signed = decode_base64(prefix.strip_prefix(FORMAT_PREFIX)?)?;
    let (content, code) = signed.split_at_checked(signed.len().checked_sub(CODE_BYTES)?)?;
    if !key.verify(PURPOSE, content, code) {
        return None;
    }
    let (incarnation, rest) = content.split_first_chunk()?;
    let (seconds, daemon) = rest.split_first_chunk()?;
    Some(Home {
        daemon: std::str::from_utf8(daemon).ok()?.into(),
        incarnation: Incarnation::from_be_bytes(*incarnation),
        uptime_at_issue: Duration::from_secs(u32::from_be_bytes(*seconds).into()),
    })
}
