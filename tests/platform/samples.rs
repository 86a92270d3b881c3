//! Checks that each sample row decodes to the text or the error in its `.expected` file.

use std::{fmt::Write as _, fs, path::Path};

use platform::{configuration::Configuration, orders::Order, table::Row, upstream::Registration};

fn check_samples(family: &str, decode: impl Fn(&[u8]) -> String) {
    let folder = Path::new("tests/platform/samples").join(family);
    let mut cases = 0;
    for entry in fs::read_dir(folder).expect("a folder of samples") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|e| e == "json") {
            let bytes = fs::read(&path).expect("a sample");
            let expected = fs::read_to_string(path.with_extension("expected")).expect("its text");
            assert_eq!(decode(&bytes), expected.trim_end(), "{}", path.display());
            cases += 1;
        }
    }
    assert!(cases > 1, "samples of {family}");
}

#[test]
fn configuration_samples() {
    check_samples("configuration", |bytes| {
        Configuration::decode(bytes).map_or_else(|e| e.to_string(), |c| describe(&c))
    });
}

#[test]
fn upstream_samples() {
    check_samples("upstream", |bytes| match Registration::decode(bytes) {
        Ok(r) => format!(
            "{} {} at {} in {}, {} slots, {:?}, cold {:?}, started {:?}",
            r.service,
            r.version,
            r.address,
            r.domain,
            r.slots,
            r.state,
            r.cold_remaining,
            r.started_ms
        ),
        Err(e) => e.to_string(),
    });
}

#[test]
fn rollout_samples() {
    check_samples("rollout", |bytes| {
        match Order::decode(&Row::new("rollout/pool", bytes.to_vec())) {
            Ok(Order::Rollout(r)) => {
                format!("{} to {} within {:?}", r.service, r.target, r.max_duration)
            }
            Ok(other) => format!("{other:?}"),
            Err(e) => e.to_string(),
        }
    });
}

#[test]
fn evacuation_and_its_end() {
    let mut row = Row::new("evacuate/padana-a", b"{}".to_vec());
    assert_eq!(
        Order::decode(&row).expect("valid"),
        Order::Evacuate("padana-a".into())
    );
    row.value = None;
    assert_eq!(
        Order::decode(&row).expect("valid"),
        Order::Restore("padana-a".into())
    );
}

fn describe(c: &Configuration) -> String {
    let mut text = format!("generation {}", c.generation);
    for r in &c.routes {
        let split: Vec<String> = r
            .split
            .iter()
            .map(|t| format!("{}:{}", t.service, t.weight))
            .collect();
        write!(
            text,
            "; {} {}{} {:?} timeout {:?} objective {:?} pause {:?} priority {} models {} to {} attempts {} resumable {}",
            r.name, r.host, r.prefix, r.kind, r.timeout, r.latency_objective, r.event_gap_objective, r.priority,
            r.models.join(","), split.join(","), r.max_attempts, r.resumable
        )
        .expect("writing to a string");
    }
    for s in &c.services {
        let slots = s.engine.as_ref().map_or(0, |e| e.slots);
        write!(
            text,
            "; {} cold {:?} at {} slots {slots}",
            s.name, s.cold_time, s.cold_rate
        )
        .expect("writing to a string");
    }
    for t in &c.customers {
        write!(
            text,
            "; {} {} keys priority {:?}",
            t.name,
            t.keys.len(),
            t.priority
        )
        .expect("writing to a string");
    }
    text
}
