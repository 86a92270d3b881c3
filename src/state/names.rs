//! What names, keys and hashes may look like.

/// The greatest length of a name.
pub const MAX_NAME_BYTES: usize = 64;

/// What a name must look like.
pub const NAME_REQUIREMENT: &str = "must be 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.', \
                               and begin with a letter or digit";

/// The length of a SHA-256 in hexadecimal.
pub const KEY_HASH_DIGITS: usize = 64;

/// Whether `text` may name a daemon or an object; names are parts of table keys and log lines.
pub fn is_valid_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Whether `text` is whole bytes in hexadecimal.
pub fn is_hex(text: &str) -> bool {
    text.len().is_multiple_of(2) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Whether `text` is a SHA-256 in lowercase hexadecimal.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_DIGITS && is_hex(text) && !text.bytes().any(|b| b.is_ascii_uppercase())
}
