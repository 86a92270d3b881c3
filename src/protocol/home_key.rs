//! Signed prefixes of idempotency keys, which bind a key to the daemon incarnation that may run it.
//!
//! A prefix also says when it was issued, in seconds of its daemon's own life, so that the daemon
//! can forget ended claims without ever taking an old key for a new one.

use std::time::Duration;

use derive_more::Display;

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    protocol::mac::{MacKey, decode_base64, encode_base64},
};

/// The greatest length of an idempotency key in characters.
pub const MAX_KEY_CHARS: usize = 255;

/// Marks home keys; the digit is the version of the format.
const FORMAT_PREFIX: &str = "h1-";

/// The length of the truncated code; 96 bits.
const CODE_BYTES: usize = 12;

/// The length of the incarnation and the issue time before the daemon's name.
const FIXED_BYTES: usize = size_of::<Incarnation>() + size_of::<u32>();

const PURPOSE: &str = "home-key";

/// The daemon incarnation that alone may run the requests under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Home {
    /// The daemon.
    pub daemon: DaemonName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// How long after its start the daemon issued the prefix, in whole seconds.
    pub uptime_at_issue: Duration,
}

/// A prefix; a caller's key is `<prefix>.<its own part>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
pub struct HomePrefix(String);

/// What an idempotency key is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyKind {
    /// It begins with a prefix that the fleet has issued.
    Home(Home),
    /// Anything else, a forged prefix included.
    Other,
}

impl HomePrefix {
    /// Signs a prefix for a daemon incarnation, `age` after its start.
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

    /// The key with the caller's own part.
    pub fn key(&self, suffix: &str) -> String {
        format!("{}.{suffix}", self.0)
    }
}

/// Reads what an idempotency key is bound to.
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
