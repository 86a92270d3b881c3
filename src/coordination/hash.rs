//! A fast stable hash (FNV-1a with a finalizer) for rendezvous hashing and fingerprints, equal on all daemons.

const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Hashes bytes; the result is the same on every machine and in every build.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    mix(fnv1a(FNV_OFFSET, bytes))
}

/// Hashes a string; the result is the same on every machine and in every build.
pub fn hash_text(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Hashes two strings; the result depends on the boundary between them.
pub fn hash_pair(a: &str, b: &str) -> u64 {
    let state = fnv1a(FNV_OFFSET, a.as_bytes());
    let state = fnv1a(state ^ 0xff, b.as_bytes());
    mix(state)
}

/// Mixes the bits of a counter or a weak hash.
pub fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(state, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME))
}
