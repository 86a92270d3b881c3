//! The secret key shared by all daemons of a fleet, and message authentication codes (HMAC-SHA256).

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of an untruncated authentication code.
pub const TAG_BYTES: usize = 32;

/// An untruncated message authentication code.
pub type Tag = [u8; TAG_BYTES];

/// The secret key shared by all daemons of a fleet.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Creates the key from its text in the settings.
    pub fn new(text: &str) -> Self {
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("HMAC accepts keys of any length");
        Self(mac)
    }

    /// Returns the authentication code of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether `tag` is the code of the parts or a prefix of it; runs in constant time.
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
