//! Compares diff, apply and check with simple reference implementations, on random sets from fixed
//! seeds.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusyoke::state::{
    check::check,
    diff::{Change, ObjectId, ObjectKind, differences, overlapping_objects},
    objects::{Objects, Offer},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_xoshiro::Xoroshiro128PlusPlus;
use serde_json::{Value, json};

use crate::objects::small_set;

const SEEDS: std::ops::Range<u64> = 0..300;

/// Existing, missing and invalid names.
const NAMES: [&str; 7] = ["small", "large", "draft", "padana-a", "gate", "none", "a/b"];

/// Returns a random set with some dangling references and invalid values.
fn random_set(rng: &mut Xoroshiro128PlusPlus) -> Objects {
    let mut set: Value = serde_json::to_value(small_set()).unwrap();
    for _ in 0..rng.random_range(0..6) {
        mutate(&mut set, rng);
    }
    serde_json::from_value(set).unwrap()
}

fn mutate(set: &mut Value, rng: &mut Xoroshiro128PlusPlus) {
    let name = *NAMES.choose(rng).unwrap();
    let version = json!({
        "model": name, "cost": 1, "prior_quality": rng.random_range(-1.0..2.0),
        "rollout": { "replaces": NAMES.choose(rng).unwrap(), "exposure": rng.random_range(0..2) },
    });
    let engine = json!({ "engine": {
        "versions": [name], "warm": rng.random_range(0..4), "cold": rng.random_range(0..4),
    } });
    let upstream = json!({
        "address": format!("127.0.0.1:{}", 9000 + rng.random_range(0..4)),
        "failure_domain": name, "offer": engine,
    });
    let rule = json!({ "versions": [name], "quality": 0.5, "deadline_ms": rng.random_range(0..2) });
    let customer = json!({ "keys": [], "versions": [name, "large"], "rules": ["gate", name] });
    let candidates = [
        ("versions", version),
        ("upstreams", upstream),
        ("rules", rule),
        ("customers", customer),
    ];
    let (field, object) = candidates.choose(rng).unwrap();
    let objects = set[*field].as_object_mut().unwrap();
    if rng.random_bool(0.3) {
        objects.remove(name);
    } else {
        objects.insert(name.into(), object.clone());
    }
}

/// Returns all objects as JSON, by kind and name.
fn objects_by_id(objects: &Objects) -> BTreeMap<ObjectId, Value> {
    let set = serde_json::to_value(objects).unwrap();
    let mut all = BTreeMap::new();
    for kind in ObjectKind::ALL {
        for (name, object) in set[kind.field()].as_object().unwrap() {
            let name = name.as_str().into();
            all.insert(ObjectId { kind, name }, object.clone());
        }
    }
    all
}

#[test]
fn diff_matches_reference() {
    for seed in SEEDS {
        let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
        let (from, to) = (random_set(&mut rng), random_set(&mut rng));
        let changes = from.diff(&to);
        let (before, after) = (objects_by_id(&from), objects_by_id(&to));
        let ids: BTreeSet<&ObjectId> = before.keys().chain(after.keys()).collect();
        let changed = ids
            .into_iter()
            .filter(|id| before.get(*id) != after.get(*id));
        let expected: Vec<&ObjectId> = changed.collect();
        let found: Vec<&ObjectId> = changes.iter().map(Change::id).collect();
        assert_eq!(found, expected, "seed {seed}");
        let mut applied = from.clone();
        applied.apply(&changes).unwrap();
        assert_eq!(applied, to, "seed {seed}");
        assert_eq!(
            differences(&from, &changes).len(),
            changes.len(),
            "seed {seed}"
        );
    }
}

#[test]
fn merge_of_disjoint_changes_commutes() {
    let mut disjoint = 0;
    for seed in SEEDS {
        let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
        let base = random_set(&mut rng);
        let a = base.diff(&random_set(&mut rng));
        let b = base.diff(&random_set(&mut rng));
        let (mut ab, mut ba) = (base.clone(), base);
        ab.apply(&a).and_then(|()| ab.apply(&b)).unwrap();
        ba.apply(&b).and_then(|()| ba.apply(&a)).unwrap();
        let both = overlapping_objects(&a, &b);
        let shared = a
            .iter()
            .filter(|x| b.iter().any(|y| y.id() == x.id()))
            .count();
        assert_eq!(both.len(), shared, "seed {seed}");
        if both.is_empty() {
            assert_eq!(ab, ba, "seed {seed}");
            disjoint += 1;
        }
    }
    assert!(disjoint > 0, "no seed produced disjoint changes");
}

/// Finds the expected faults by checking one reference or value at a time.
fn expected_faults(objects: &Objects) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut add_if = |bad: bool, id: String, field: String| {
        if bad {
            found.insert(format!("{id}: {field}"));
        }
    };
    let is_valid_name = |name: &str| !name.contains('/');
    for id in objects_by_id(objects).keys() {
        add_if(!is_valid_name(&id.name), id.to_string(), "name".into());
    }
    for (name, v) in &objects.versions {
        let id = format!("version/{name}");
        add_if(
            !objects.models.contains_key(&v.model),
            id.clone(),
            "model".into(),
        );
        let is_fraction = v.prior_quality >= 0.0 && v.prior_quality <= 1.0;
        add_if(!is_fraction, id.clone(), "prior_quality".into());
        let Some(rollout) = &v.rollout else { continue };
        add_if(rollout.exposure == 0, id.clone(), "rollout.exposure".into());
        let old = objects.versions.get(&rollout.replaces);
        let other = old.is_none_or(|old| old.model != v.model);
        let mut at = rollout.replaces.clone();
        let mut cycle = false;
        for _ in 0..20 {
            cycle |= at == *name;
            match objects.versions.get(&at).and_then(|v| v.rollout.clone()) {
                Some(next) => at = next.replaces,
                None => break,
            }
        }
        add_if(other || cycle, id, "rollout.replaces".into());
    }
    for (name, r) in &objects.rules {
        let id = format!("rule/{name}");
        add_if(r.deadline_ms == 0, id.clone(), "deadline_ms".into());
        for (i, v) in r.versions.iter().enumerate() {
            let at = format!("versions.{i}");
            add_if(!objects.versions.contains_key(v), id.clone(), at);
        }
    }
    for (name, c) in &objects.customers {
        let id = format!("customer/{name}");
        for (i, v) in c.versions.iter().enumerate() {
            let twice = c.versions[..i].contains(v);
            let missing = !objects.versions.contains_key(v);
            add_if(twice || missing, id.clone(), format!("versions.{i}"));
        }
        for (i, r) in c.rules.iter().enumerate() {
            let rule = objects.rules.get(r);
            let unusable = rule.is_none_or(|r| !r.versions.iter().any(|v| c.versions.contains(v)));
            let twice = c.rules[..i].contains(r);
            add_if(twice || unusable, id.clone(), format!("rules.{i}"));
        }
    }
    for (name, u) in &objects.upstreams {
        let id = format!("upstream/{name}");
        let unknown_domain = !objects.failure_domains.contains_key(&u.failure_domain);
        add_if(unknown_domain, id.clone(), "failure_domain".into());
        let earlier = objects
            .upstreams
            .iter()
            .take_while(|(other, _)| *other != name);
        let shared = earlier
            .into_iter()
            .any(|(_, other)| other.address == u.address);
        add_if(shared, id.clone(), "address".into());
        let Offer::Engine {
            versions,
            warm,
            cold,
            ..
        } = &u.offer
        else {
            continue;
        };
        for (i, v) in versions.iter().enumerate() {
            let at = format!("offer.engine.versions.{i}");
            add_if(!objects.versions.contains_key(v), id.clone(), at);
        }
        add_if(*warm == 0, id.clone(), "offer.engine.warm".into());
        add_if(*cold == 0 || cold > warm, id, "offer.engine.cold".into());
    }
    found
}

#[test]
fn check_matches_reference() {
    let mut faulty = 0;
    for seed in SEEDS {
        let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
        let objects = random_set(&mut rng);
        let faults = check(&objects);
        let found: BTreeSet<String> = faults
            .iter()
            .map(|f| format!("{}: {}", f.id, f.field))
            .collect();
        assert_eq!(found, expected_faults(&objects), "seed {seed}");
        faulty += u32::from(!faults.is_empty());
    }
    assert!(faulty > 0, "no seed produced a fault");
}
