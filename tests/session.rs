//! Tests that session tokens and home keys are accepted only if issued by this fleet and unaltered.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use hibiscusyoke::{
    protocol::{
        home_key::{Home, HomePrefix, KeyKind, parse},
        mac::MacKey,
        session::{Session, SessionError, open, seal},
    },
    state::objects::SessionKey,
};

const OLD: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const NEW: &str = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeffe0e1e2e3e4e5e6e7e8e9eaebecedeeef";

fn keys(secrets: &[(&str, &str)]) -> BTreeMap<CompactString, SessionKey> {
    let key = |secret: &str| SessionKey {
        secret: secret.into(),
    };
    secrets.iter().map(|(n, s)| ((*n).into(), key(s))).collect()
}

fn session() -> Session {
    Session {
        id: "s-1".into(),
        customer: "gate-clerks".into(),
        version: "bales-2".into(),
        generation: 7,
    }
}

fn fleet_key() -> MacKey {
    MacKey::from_hex(OLD).expect("a key of 32 bytes")
}

#[test]
fn open_returns_the_sealed_session() {
    let keys = keys(&[("a", OLD)]);
    let token = seal(&session(), &keys).unwrap();
    assert_eq!(open(&keys, &token), Ok(session()));
}

#[test]
fn open_accepts_any_configured_key_and_seal_uses_the_last() {
    let old = keys(&[("a", OLD)]);
    let both = keys(&[("a", OLD), ("b", NEW)]);
    let new = keys(&[("b", NEW)]);
    let sealed_old = seal(&session(), &old).unwrap();
    let sealed_both = seal(&session(), &both).unwrap();
    assert_eq!(open(&both, &sealed_old), Ok(session()));
    assert_eq!(open(&new, &sealed_both), Ok(session()));
    assert_eq!(open(&new, &sealed_old), Err(SessionError::Tampered));
}

#[test]
fn open_rejects_every_altered_character() {
    let keys = keys(&[("a", OLD)]);
    let token = seal(&session(), &keys).unwrap();
    for at in 0..token.len() {
        let mut altered = token.clone().into_bytes();
        altered[at] = if altered[at] == b'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(altered).unwrap();
        assert!(open(&keys, &altered).is_err(), "character {at}");
    }
}

#[test]
fn open_rejects_a_truncated_code() {
    let keys = keys(&[("a", OLD)]);
    let token = seal(&session(), &keys).unwrap();
    let (content, code) = token.split_once('.').unwrap();
    for length in [0, 4, 8, 40] {
        let short = format!("{content}.{}", &code[..length]);
        assert_eq!(open(&keys, &short), Err(SessionError::Tampered));
    }
}

#[test]
fn seal_without_a_valid_key_fails() {
    assert_eq!(seal(&session(), &keys(&[])), Err(SessionError::NoKey));
    let short = keys(&[("a", "00ff")]);
    assert_eq!(seal(&session(), &short), Err(SessionError::BadKey));
}

#[test]
fn parse_returns_the_issuing_incarnation() {
    let age = Duration::from_secs(61);
    let prefix = HomePrefix::issue(&fleet_key(), &"entry-a1".into(), 0xfeed, age);
    let home = Home {
        daemon: "entry-a1".into(),
        incarnation: 0xfeed,
        uptime_at_issue: age,
    };
    let key = prefix.key("intake-17.bale.3");
    assert!(key.is_ascii() && key.len() < 80, "{key}");
    assert_eq!(parse(&fleet_key(), &key), KeyKind::Home(home));
}

#[test]
fn parse_classifies_forged_or_incomplete_prefixes_as_other() {
    let prefix = HomePrefix::issue(&fleet_key(), &"entry-a1".into(), 1, Duration::ZERO);
    let other_fleet = MacKey::from_hex(NEW).unwrap();
    assert_eq!(parse(&other_fleet, &prefix.key("x")), KeyKind::Other);
    for at in 0..prefix.to_string().len() {
        let mut altered = prefix.key("x").into_bytes();
        altered[at] = if altered[at] == b'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(altered).unwrap();
        assert_eq!(
            parse(&fleet_key(), &altered),
            KeyKind::Other,
            "character {at}"
        );
    }
    for text in [
        "",
        ".",
        "h1-",
        "h1-.x",
        "plain",
        &prefix.to_string(),
        &prefix.key(""),
    ] {
        assert_eq!(parse(&fleet_key(), text), KeyKind::Other, "{text}");
    }
}
