//! Authentication of operators by bearer key.

use http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use crate::{
    settings::Settings,
    state::objects::{KeyHash, Objects, OperatorName},
};

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 512;
/// Name of the operator configured by [`Settings::bootstrap_operator`].
const BOOTSTRAP: &str = "bootstrap";

/// Returns the operator whose bearer key is in the headers.
///
/// Compares all configured hashes, each in constant time, so that the duration reveals nothing
/// about them.
pub(super) fn operator(
    headers: &HeaderMap,
    settings: &Settings,
    objects: &Objects,
) -> Option<OperatorName> {
    let hash = hash(bearer(headers)?);
    if objects.operators.is_empty() {
        let bootstrap = settings.bootstrap_operator.as_ref()?;
        return bool::from(hashes_match(bootstrap, &hash)).then(|| BOOTSTRAP.into());
    }
    let mut matched = None;
    for (name, operator) in &objects.operators {
        for key in &operator.keys {
            if bool::from(hashes_match(key, &hash)) {
                matched = Some(name.clone());
            }
        }
    }
    matched
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    (scheme.eq_ignore_ascii_case("bearer") && is_valid).then_some(key)
}

fn hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn hashes_match(configured: &KeyHash, hash: &str) -> Choice {
    configured.as_bytes().ct_eq(hash.as_bytes())
}
