//! Validates a complete set of objects; a set with faults is never published.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::state::{
    diff::{ObjectId, ObjectKind},
    names::{NAME_REQUIREMENT, is_hex, is_key_hash, is_valid_name},
    objects::{
        Customer, Objects, Offer, Operation, Operator, Rollout, Rule, Service, SessionKey,
        Upstream, Version,
    },
};

/// Maximum deadline; one day, so that overnight jobs can run for that long.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Number of hexadecimal digits of a session key.
const SESSION_KEY_DIGITS: usize = 64;

/// A fault in one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{id}: {field}{}{reason}", if field.is_empty() { "" } else { ": " })]
pub struct Fault {
    /// The object.
    pub id: ObjectId,
    /// The dot-separated path of the field.
    pub field: CompactString,
    /// The reason.
    pub reason: String,
}

/// Checks the complete set and returns all faults, ordered by object and field.
pub fn check(objects: &Objects) -> Vec<Fault> {
    let mut faults = Vec::new();
    let out = &mut faults;
    check_each(
        ObjectKind::Customer,
        &objects.customers,
        out,
        |checker, c| {
            check_customer(objects, checker, c);
        },
    );
    check_each(ObjectKind::Model, &objects.models, out, |_, _| ());
    check_each(ObjectKind::Version, &objects.versions, out, |checker, v| {
        check_version(objects, checker, v);
    });
    check_each(
        ObjectKind::FailureDomain,
        &objects.failure_domains,
        out,
        |checker, d| {
            checker.require(is_valid_name(&d.region), "region", NAME_REQUIREMENT);
        },
    );
    check_each(ObjectKind::Rule, &objects.rules, out, |checker, r| {
        check_rule(objects, checker, r);
    });
    check_each(ObjectKind::Service, &objects.services, out, check_service);
    check_each(
        ObjectKind::Upstream,
        &objects.upstreams,
        out,
        |checker, u| {
            check_upstream(objects, checker, u);
        },
    );
    check_each(
        ObjectKind::Operator,
        &objects.operators,
        out,
        check_operator,
    );
    check_each(
        ObjectKind::SessionKey,
        &objects.session_keys,
        out,
        check_session_key,
    );
    check_duplicate_keys(objects, out);
    check_duplicate_addresses(objects, out);
    faults.sort();
    faults
}

/// Checks the name of each object in `map` and runs `check` on the object.
fn check_each<T>(
    kind: ObjectKind,
    map: &BTreeMap<CompactString, T>,
    faults: &mut Vec<Fault>,
    check: impl Fn(&mut ObjectChecker<'_>, &T),
) {
    for (name, object) in map {
        let mut object_checker = ObjectChecker {
            id: ObjectId {
                kind,
                name: name.clone(),
            },
            faults,
        };
        object_checker.require(is_valid_name(name), "name", NAME_REQUIREMENT);
        check(&mut object_checker, object);
    }
}

/// Collects the faults of one object.
struct ObjectChecker<'a> {
    id: ObjectId,
    faults: &'a mut Vec<Fault>,
}

impl ObjectChecker<'_> {
    fn add_fault(&mut self, field: impl Into<CompactString>, reason: impl Into<String>) {
        self.faults.push(Fault {
            id: self.id.clone(),
            field: field.into(),
            reason: reason.into(),
        });
    }

    fn require(&mut self, holds: bool, field: &str, reason: &str) {
        if !holds {
            self.add_fault(field, reason);
        }
    }

    /// Checks that each name in a list occurs once and refers to an existing object.
    fn check_references<T>(
        &mut self,
        field: &str,
        kind: ObjectKind,
        names: &[CompactString],
        map: &BTreeMap<CompactString, T>,
    ) {
        for (i, name) in names.iter().enumerate() {
            let at = format!("{field}.{i}");
            if names.iter().take(i).any(|earlier| earlier == name) {
                self.add_fault(at, format!("{name:?} is listed twice"));
            } else {
                self.check_reference(&at, kind, name, map);
            }
        }
    }

    fn check_reference<T>(
        &mut self,
        field: &str,
        kind: ObjectKind,
        name: &CompactString,
        map: &BTreeMap<CompactString, T>,
    ) {
        if !map.contains_key(name) {
            self.add_fault(field, format!("there is no {kind} {name:?}"));
        }
    }

    fn check_fraction(&mut self, field: &str, value: f64) {
        self.require((0.0..=1.0).contains(&value), field, "must be from 0 to 1");
    }

    fn check_deadline(&mut self, value: u64) {
        let holds = (1..=MAX_DEADLINE_MS).contains(&value);
        self.require(holds, "deadline_ms", "must be from 1 to 86400000");
    }

    fn check_at_least_one(&mut self, field: &str, value: u32) {
        self.require(value > 0, field, "must be 1 or more");
    }
}

fn check_customer(objects: &Objects, checker: &mut ObjectChecker<'_>, customer: &Customer) {
    check_key_hashes(checker, &customer.keys);
    checker.check_references(
        "versions",
        ObjectKind::Version,
        &customer.versions,
        &objects.versions,
    );
    checker.check_references("rules", ObjectKind::Rule, &customer.rules, &objects.rules);
    checker.check_references(
        "services",
        ObjectKind::Service,
        &customer.services,
        &objects.services,
    );
    checker.check_at_least_one("weight", customer.weight);
    checker.check_at_least_one("queue", customer.queue);
    for (i, name) in customer.rules.iter().enumerate() {
        let Some(rule) = objects.rules.get(name) else {
            continue;
        };
        let allowed =
            rule.versions.is_empty() || rule.versions.iter().any(|v| customer.versions.contains(v));
        if !allowed {
            let reason =
                format!("none of the versions of rule {name:?} is allowed for the customer");
            checker.add_fault(format!("rules.{i}"), reason);
        }
    }
}

fn check_version(objects: &Objects, checker: &mut ObjectChecker<'_>, version: &Version) {
    checker.check_reference("model", ObjectKind::Model, &version.model, &objects.models);
    checker.check_fraction("prior_quality", version.prior_quality);
    if let Some(rollout) = &version.rollout {
        check_rollout(objects, checker, version, rollout);
    }
}

fn check_rollout(
    objects: &Objects,
    checker: &mut ObjectChecker<'_>,
    version: &Version,
    rollout: &Rollout,
) {
    const REPLACES: &str = "rollout.replaces";
    checker.check_at_least_one("rollout.exposure", rollout.exposure);
    let Some(old) = objects.versions.get(&rollout.replaces) else {
        return checker.check_reference(
            REPLACES,
            ObjectKind::Version,
            &rollout.replaces,
            &objects.versions,
        );
    };
    if rollout.replaces == checker.id.name {
        checker.add_fault(REPLACES, "a version cannot replace itself");
    } else if old.model != version.model {
        let reason = format!("is a version of another model, {:?}", old.model);
        checker.add_fault(REPLACES, reason);
    } else if has_replacement_cycle(objects, &checker.id.name) {
        checker.add_fault(REPLACES, "the versions replace one another in a cycle");
    }
}

fn has_replacement_cycle(objects: &Objects, start: &str) -> bool {
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

fn check_rule(objects: &Objects, checker: &mut ObjectChecker<'_>, rule: &Rule) {
    checker.require(
        !rule.versions.is_empty(),
        "versions",
        "must name at least one version",
    );
    checker.check_references(
        "versions",
        ObjectKind::Version,
        &rule.versions,
        &objects.versions,
    );
    checker.check_fraction("quality", rule.quality);
    checker.check_deadline(rule.deadline_ms);
}

fn check_service(checker: &mut ObjectChecker<'_>, service: &Service) {
    checker.check_deadline(service.deadline_ms);
    for (i, operation) in service.non_idempotent.iter().enumerate() {
        check_operation(checker, i, operation);
        if service
            .non_idempotent
            .iter()
            .take(i)
            .any(|earlier| earlier == operation)
        {
            checker.add_fault(format!("non_idempotent.{i}"), "is listed twice");
        }
    }
}

fn check_operation(checker: &mut ObjectChecker<'_>, i: usize, operation: &Operation) {
    let method = &operation.method;
    let is_uppercase = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    checker.require(
        is_uppercase,
        &format!("non_idempotent.{i}.method"),
        "must be an HTTP method in uppercase",
    );
    let relative = !operation.path.starts_with('/');
    checker.require(
        relative,
        &format!("non_idempotent.{i}.path"),
        "must not begin with a slash",
    );
}

fn check_upstream(objects: &Objects, checker: &mut ObjectChecker<'_>, upstream: &Upstream) {
    let (ip, port) = (upstream.address.ip(), upstream.address.port());
    checker.require(port != 0, "address", "must name a port other than 0");
    let single = !ip.is_unspecified() && !ip.is_multicast();
    checker.require(single, "address", "must be the address of one instance");
    let domains = &objects.failure_domains;
    checker.check_reference(
        "failure_domain",
        ObjectKind::FailureDomain,
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
            checker.require(
                !versions.is_empty(),
                "offer.engine.versions",
                "must name at least one version",
            );
            checker.check_references(
                "offer.engine.versions",
                ObjectKind::Version,
                versions,
                &objects.versions,
            );
            checker.check_at_least_one("offer.engine.warm", *warm);
            checker.check_at_least_one("offer.engine.cold", *cold);
            checker.require(
                cold <= warm,
                "offer.engine.cold",
                "must not be greater than warm",
            );
        }
        Offer::Service {
            service,
            concurrency,
        } => {
            checker.check_reference(
                "offer.service.service",
                ObjectKind::Service,
                service,
                &objects.services,
            );
            checker.check_at_least_one("offer.service.concurrency", *concurrency);
        }
    }
}

fn check_operator(checker: &mut ObjectChecker<'_>, operator: &Operator) {
    check_key_hashes(checker, &operator.keys);
}

fn check_session_key(checker: &mut ObjectChecker<'_>, key: &SessionKey) {
    let holds = key.secret.len() == SESSION_KEY_DIGITS && is_hex(&key.secret);
    checker.require(holds, "secret", "must be 32 bytes, 64 hexadecimal digits");
}

fn check_key_hashes(checker: &mut ObjectChecker<'_>, keys: &[CompactString]) {
    for (i, key) in keys.iter().enumerate() {
        let reason = "must be the SHA-256 of a key, 64 lowercase hexadecimal digits";
        checker.require(is_key_hash(key), &format!("keys.{i}"), reason);
    }
}

/// Checks that each key belongs to only one customer or operator, since a key identifies the sender
/// of a request.
fn check_duplicate_keys(objects: &Objects, faults: &mut Vec<Fault>) {
    let customers = objects
        .customers
        .iter()
        .map(|(n, c)| (ObjectKind::Customer, n, &c.keys));
    let operators = objects
        .operators
        .iter()
        .map(|(n, o)| (ObjectKind::Operator, n, &o.keys));
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
                    reason: format!("is also a key of {owner}"),
                });
            } else {
                owners.insert(key, id.clone());
            }
        }
    }
}

fn check_duplicate_addresses(objects: &Objects, faults: &mut Vec<Fault>) {
    let mut owners: BTreeMap<SocketAddr, &CompactString> = BTreeMap::new();
    for (name, upstream) in &objects.upstreams {
        if let Some(owner) = owners.get(&upstream.address) {
            faults.push(Fault {
                id: ObjectId {
                    kind: ObjectKind::Upstream,
                    name: name.clone(),
                },
                field: "address".into(),
                reason: format!("is also the address of upstream/{owner}"),
            });
        } else {
            owners.insert(upstream.address, name);
        }
    }
}
