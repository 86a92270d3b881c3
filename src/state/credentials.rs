//! Hashing of bearer keys, of which only the hashes are stored.

use sha2::{Digest, Sha256};

use crate::state::objects::KeyHash;

/// Returns the hash of a bearer key as it appears in the configuration.
pub fn hash_key(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    let mut hash = KeyHash::with_capacity(2 * digest.len());
    for byte in digest {
        hash.push(hex_digit(byte >> 4));
        hash.push(hex_digit(byte & 0xf));
    }
    hash
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}
