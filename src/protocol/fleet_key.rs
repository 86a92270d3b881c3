//! The key that all daemons of a fleet share, and the codes made with it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The length of a full code.
pub const TAG_BYTES: usize = 32;

/// A full message authentication code.
pub type Tag = [u8; TAG_BYTES];

/// The key that all daemons of a fleet share.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// The key with this text, as the settings have it.
    pub fn new(text: &str) -> Self {
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("HMAC takes keys of any length");
        Self(mac)
    }

    /// The authentication code of the parts, taken as one message.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Whether `tag` is the code of the parts or a prefix of it; takes the same time for any tag.
    pub fn verifies(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}
