//! Syntax rules for names, keys and hashes.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The error message for an invalid name.
pub const NAME_REQUIREMENT: &str = "must be 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.', \
     and begin with a letter or digit";

/// Number of hexadecimal digits of a SHA-256 hash.
pub const KEY_HASH_DIGITS: usize = 64;

/// Whether `text` is a valid name for a daemon or an object; names appear in table keys and log
/// lines.
pub fn is_valid_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Whether `text` consists of complete bytes in hexadecimal.
pub fn is_hex(text: &str) -> bool {
    text.len().is_multiple_of(2) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Whether `text` is a SHA-256 hash in lowercase hexadecimal.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_DIGITS && is_hex(text) && !text.bytes().any(|b| b.is_ascii_uppercase())
}
