//! Message authentication codes (HMAC-SHA256) and text encodings of keys and codes.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of a key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// A key for message authentication codes.
#[derive(Clone)]
pub struct MacKey(Hmac<Sha256>);

impl std::fmt::Debug for MacKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MacKey(..)")
    }
}

impl MacKey {
    /// Parses a hexadecimal key; returns `None` if it is not hexadecimal or is too short.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = decode_hex(text)?;
        if bytes.len() < MIN_KEY_BYTES {
            return None;
        }
        Hmac::new_from_slice(&bytes).ok().map(Self)
    }

    /// Returns the code of `data` for `purpose`; a code for one purpose is invalid for any other.
    pub fn sign(&self, purpose: &str, data: &[u8]) -> Vec<u8> {
        self.hmac_over(purpose, data)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns whether `code` is the code of `data` or a prefix of it; compares in constant time.
    pub fn verify(&self, purpose: &str, data: &[u8], code: &[u8]) -> bool {
        self.hmac_over(purpose, data)
            .verify_truncated_left(code)
            .is_ok()
    }

    fn hmac_over(&self, purpose: &str, data: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(data);
        mac
    }
}

/// Encodes bytes in URL-safe base64 without padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes URL-safe base64 without padding.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.as_bytes()
        .chunks_exact(2)
        .map(|pair| Some(nibble(pair[0])? << 4 | nibble(pair[1])?))
        .collect()
}

fn nibble(digit: u8) -> Option<u8> {
    char::from(digit)
        .to_digit(16)
        .and_then(|value| u8::try_from(value).ok())
}
