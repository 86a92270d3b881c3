//! The check of a whole set of objects; a set with a fault is never published.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::state::{
    diff::{Kind, ObjectId},
    names::{NAME_REASON, is_hex, is_key_hash, is_name},
    objects::{
        Customer, Objects, Offer, Operation, Operator, Rollout, Rule, Service, SessionKey,
        Upstream, Version,
    },
};

/// The longest deadline, which lets an overnight job run a whole day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// The length of a session key in hexadecimal digits.
const SESSION_KEY_DIGITS: usize = 64;

/// One thing that is wrong with one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{id}: {field}{}{reason}", if field.is_empty() { "" } else { ": " })]
pub struct Fault {
    /// The object.
    pub id: ObjectId,
    /// The field's path, with dots between its parts.
    pub field: CompactString,
    /// What is wrong with it.
    pub reason: String,
}

/// Checks the whole set and lists every fault, ordered by object and field.
pub fn check(objects: &Objects) -> Vec<Fault> {
    let mut faults = Vec::new();
    let out = &mut faults;
    each(Kind::Customer, &objects.customers, out, |s, c| {
        customer(objects, s, c);
    });
    each(Kind::Model, &objects.models, out, |_, _| ());
    each(Kind::Version, &objects.versions, out, |s, v| {
        version(objects, s, v);
    });
    each(
        Kind::FailureDomain,
        &objects.failure_domains,
        out,
        |s, d| {
            s.must(is_name(&d.region), "region", NAME_REASON);
        },
    );
    each(Kind::Rule, &objects.rules, out, |s, r| rule(objects, s, r));
    each(Kind::Service, &objects.services, out, service);
    each(Kind::Upstream, &objects.upstreams, out, |s, u| {
        upstream(objects, s, u);
    });
    each(Kind::Operator, &objects.operators, out, operator);
    each(Kind::SessionKey, &objects.session_keys, out, session_key);
    duplicate_keys(objects, out);
    duplicate_addresses(objects, out);
    faults.sort();
    faults
}

/// Runs the check of one kind on each of its objects, and the check of its name.
fn each<T>(
    kind: Kind,
    map: &BTreeMap<CompactString, T>,
    faults: &mut Vec<Fault>,
    check: impl Fn(&mut Subject<'_>, &T),
) {
    for (name, object) in map {
        let mut subject = Subject {
            id: ObjectId {
                kind,
                name: name.clone(),
            },
            faults,
        };
        subject.must(is_name(name), "name", NAME_REASON);
        check(&mut subject, object);
    }
}

/// The object at hand, to which faults are added.
struct Subject<'a> {
    id: ObjectId,
    faults: &'a mut Vec<Fault>,
}

impl Subject<'_> {
    fn fault(&mut self, field: impl Into<CompactString>, reason: impl Into<String>) {
        self.faults.push(Fault {
            id: self.id.clone(),
            field: field.into(),
            reason: reason.into(),
        });
    }

    fn must(&mut self, holds: bool, field: &str, reason: &str) {
        if !holds {
            self.fault(field, reason);
        }
    }

    /// Every name in a list must stand once and name an object that exists.
    fn references<T>(
        &mut self,
        field: &str,
        kind: Kind,
        names: &[CompactString],
        map: &BTreeMap<CompactString, T>,
    ) {
        for (i, name) in names.iter().enumerate() {
            let at = format!("{field}.{i}");
            if names.iter().take(i).any(|earlier| earlier == name) {
                self.fault(at, format!("{name:?} stands twice"));
            } else {
                self.reference(&at, kind, name, map);
            }
        }
    }

    fn reference<T>(
        &mut self,
        field: &str,
        kind: Kind,
        name: &CompactString,
        map: &BTreeMap<CompactString, T>,
    ) {
        if !map.contains_key(name) {
            self.fault(field, format!("there is no {kind} {name:?}"));
        }
    }

    fn fraction(&mut self, field: &str, value: f64) {
        self.must((0.0..=1.0).contains(&value), field, "must be from 0 to 1");
    }

    fn deadline(&mut self, value: u64) {
        let holds = (1..=MAX_DEADLINE_MS).contains(&value);
        self.must(holds, "deadline_ms", "must be from 1 to 86400000");
    }

    fn at_least_one(&mut self, field: &str, value: u32) {
        self.must(value > 0, field, "must be 1 or more");
    }
}

fn customer(objects: &Objects, s: &mut Subject<'_>, customer: &Customer) {
    key_hashes(s, &customer.keys);
    s.references(
        "versions",
        Kind::Version,
        &customer.versions,
        &objects.versions,
    );
    s.references("rules", Kind::Rule, &customer.rules, &objects.rules);
    s.references(
        "services",
        Kind::Service,
        &customer.services,
        &objects.services,
    );
    s.at_least_one("weight", customer.weight);
    s.at_least_one("queue", customer.queue);
    for (i, name) in customer.rules.iter().enumerate() {
        let Some(rule) = objects.rules.get(name) else {
            continue;
        };
        let allowed =
            rule.versions.is_empty() || rule.versions.iter().any(|v| customer.versions.contains(v));
        if !allowed {
            let reason =
                format!("none of the versions of rule {name:?} is allowed to the customer");
            s.fault(format!("rules.{i}"), reason);
        }
    }
}

fn version(objects: &Objects, s: &mut Subject<'_>, version: &Version) {
    s.reference("model", Kind::Model, &version.model, &objects.models);
    s.fraction("prior_quality", version.prior_quality);
    if let Some(rollout) = &version.rollout {
        self::rollout(objects, s, version, rollout);
    }
}

fn rollout(objects: &Objects, s: &mut Subject<'_>, version: &Version, rollout: &Rollout) {
    const REPLACES: &str = "rollout.replaces";
    s.at_least_one("rollout.exposure", rollout.exposure);
    let Some(old) = objects.versions.get(&rollout.replaces) else {
        return s.reference(
            REPLACES,
            Kind::Version,
            &rollout.replaces,
            &objects.versions,
        );
    };
    if rollout.replaces == s.id.name {
        s.fault(REPLACES, "a version cannot replace itself");
    } else if old.model != version.model {
        let reason = format!("is a version of another model, {:?}", old.model);
        s.fault(REPLACES, reason);
    } else if replaces_in_a_circle(objects, &s.id.name) {
        s.fault(REPLACES, "the versions replace one another in a circle");
    }
}

fn replaces_in_a_circle(objects: &Objects, start: &str) -> bool {
    let mut at = start;
    for _ in 0..objects.versions.len() {
        let Some(rollout) = objects.versions.get(at).and_then(|v| v.rollout.as_ref()) else {
            return false;
        };
        at = &rollout.replaces;
        if at == start {
            return true;
        }
    }
    false
}

fn rule(objects: &Objects, s: &mut Subject<'_>, rule: &Rule) {
    s.must(
        !rule.versions.is_empty(),
        "versions",
        "must name at least one version",
    );
    s.references("versions", Kind::Version, &rule.versions, &objects.versions);
    s.fraction("quality", rule.quality);
    s.deadline(rule.deadline_ms);
}

fn service(s: &mut Subject<'_>, service: &Service) {
    s.deadline(service.deadline_ms);
    for (i, operation) in service.non_idempotent.iter().enumerate() {
        self::operation(s, i, operation);
        if service
            .non_idempotent
            .iter()
            .take(i)
            .any(|earlier| earlier == operation)
        {
            s.fault(format!("non_idempotent.{i}"), "stands twice");
        }
    }
}

fn operation(s: &mut Subject<'_>, i: usize, operation: &Operation) {
    let method = &operation.method;
    let capitals = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    s.must(
        capitals,
        &format!("non_idempotent.{i}.method"),
        "must be an HTTP method in capitals",
    );
    let relative = !operation.path.starts_with('/');
    s.must(
        relative,
        &format!("non_idempotent.{i}.path"),
        "must not begin with a slash",
    );
}

fn upstream(objects: &Objects, s: &mut Subject<'_>, upstream: &Upstream) {
    let (ip, port) = (upstream.address.ip(), upstream.address.port());
    s.must(port != 0, "address", "must name a port other than 0");
    let single = !ip.is_unspecified() && !ip.is_multicast();
    s.must(single, "address", "must be the address of one instance");
    let domains = &objects.failure_domains;
    s.reference(
        "failure_domain",
        Kind::FailureDomain,
        &upstream.failure_domain,
        domains,
    );
    match &upstream.offer {
        Offer::Engine {
            versions,
            warm,
            cold,
            ..
        } => {
            s.must(
                !versions.is_empty(),
                "offer.engine.versions",
                "must name at least one version",
            );
            s.references(
                "offer.engine.versions",
                Kind::Version,
                versions,
                &objects.versions,
            );
            s.at_least_one("offer.engine.warm", *warm);
            s.at_least_one("offer.engine.cold", *cold);
            s.must(
                cold <= warm,
                "offer.engine.cold",
                "must not be greater than warm",
            );
        }
        Offer::Service {
            service,
            concurrency,
        } => {
            s.reference(
                "offer.service.service",
                Kind::Service,
                service,
                &objects.services,
            );
            s.at_least_one("offer.service.concurrency", *concurrency);
        }
    }
}

fn operator(s: &mut Subject<'_>, operator: &Operator) {
    key_hashes(s, &operator.keys);
}

fn session_key(s: &mut Subject<'_>, key: &SessionKey) {
    let holds = key.secret.len() == SESSION_KEY_DIGITS && is_hex(&key.secret);
    s.must(holds, "secret", "must be 32 bytes, 64 hexadecimal digits");
}

fn key_hashes(s: &mut Subject<'_>, keys: &[CompactString]) {
    for (i, key) in keys.iter().enumerate() {
        let reason = "must be the SHA-256 of a key, 64 lowercase hexadecimal digits";
        s.must(is_key_hash(key), &format!("keys.{i}"), reason);
    }
}

/// One key must belong to one customer or operator, or nobody knows whose request it is.
fn duplicate_keys(objects: &Objects, faults: &mut Vec<Fault>) {
    let customers = objects
        .customers
        .iter()
        .map(|(n, c)| (Kind::Customer, n, &c.keys));
    let operators = objects
        .operators
        .iter()
        .map(|(n, o)| (Kind::Operator, n, &o.keys));
    let mut owners: BTreeMap<&CompactString, ObjectId> = BTreeMap::new();
    for (kind, name, keys) in customers.chain(operators) {
        let id = ObjectId {
            kind,
            name: name.clone(),
        };
        for (i, key) in keys.iter().enumerate() {
            if let Some(owner) = owners.get(key) {
                faults.push(Fault {
                    id: id.clone(),
                    field: format!("keys.{i}").into(),
                    reason: format!("is a key of {owner} too"),
                });
            } else {
                owners.insert(key, id.clone());
            }
        }
    }
}

fn duplicate_addresses(objects: &Objects, faults: &mut Vec<Fault>) {
    let mut owners: BTreeMap<SocketAddr, &CompactString> = BTreeMap::new();
    for (name, upstream) in &objects.upstreams {
        if let Some(owner) = owners.get(&upstream.address) {
            faults.push(Fault {
                id: ObjectId {
                    kind: Kind::Upstream,
                    name: name.clone(),
                },
                field: "address".into(),
                reason: format!("is the address of upstream/{owner} too"),
            });
        } else {
            owners.insert(upstream.address, name);
        }
    }
}
