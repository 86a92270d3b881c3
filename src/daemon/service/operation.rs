//! Classifies the operations of a service as idempotent or non-idempotent.

use crate::state::objects::Service;

/// Whether the configuration marks an operation as non-idempotent, to be executed at most once.
///
/// Paths are normalized before the comparison, so that no alternative spelling is classified as
/// idempotent.
pub fn is_non_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let path = normalize_path(path);
    service.non_idempotent.iter().any(|operation| {
        operation.method.eq_ignore_ascii_case(method)
            && path.starts_with(&normalize_path(&operation.path))
    })
}

/// Strips the query, decodes the path, resolves empty and dot segments, and converts to lower case.
fn normalize_path(path: &str) -> String {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = percent_decode(path);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    segments.join("/").to_lowercase()
}

/// Applies percent-decoding until no escape sequence is left.
fn percent_decode(path: &str) -> String {
    let mut decoded = path.as_bytes().to_vec();
    loop {
        let next = percent_decode_once(&decoded);
        if next == decoded {
            return String::from_utf8_lossy(&decoded).into_owned();
        }
        decoded = next;
    }
}

fn percent_decode_once(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((&first, after)) = rest.split_first() {
        let escaped = (first == b'%').then(|| after.first_chunk()).flatten();
        match escaped.and_then(hex_byte) {
            Some(byte) => {
                decoded.push(byte);
                rest = &after[2..];
            }
            None => {
                decoded.push(first);
                rest = after;
            }
        }
    }
    decoded
}

fn hex_byte(digits: &[u8; 2]) -> Option<u8> {
    let digit = |d: u8| char::from(d).to_digit(16);
    u8::try_from(digit(digits[0])? << 4 | digit(digits[1])?).ok()
}
