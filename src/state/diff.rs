//! Typed changes between two sets of objects: computing, applying, comparing and displaying them.

use std::{collections::BTreeMap, str::FromStr};

use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::state::objects::Objects;

/// The kind of an object.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A customer.
    Customer,
    /// A model.
    Model,
    /// A version.
    Version,
    /// A failure domain.
    FailureDomain,
    /// A rule.
    Rule,
    /// A plain service.
    Service,
    /// An upstream.
    Upstream,
    /// An operator.
    Operator,
    /// A session key.
    SessionKey,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Customer,
        Self::Model,
        Self::Version,
        Self::FailureDomain,
        Self::Rule,
        Self::Service,
        Self::Upstream,
        Self::Operator,
        Self::SessionKey,
    ];

    /// The field of [`Objects`] that holds the objects of this kind.
    pub fn field(self) -> &'static str {
        match self {
            Self::Customer => "customers",
            Self::Model => "models",
            Self::Version => "versions",
            Self::FailureDomain => "failure_domains",
            Self::Rule => "rules",
            Self::Service => "services",
            Self::Upstream => "upstreams",
            Self::Operator => "operators",
            Self::SessionKey => "session_keys",
        }
    }
}

impl FromStr for ObjectKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| format!("{text:?} is not an object kind"))
    }
}

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct ObjectId {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: CompactString,
}

impl FromStr for ObjectId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| format!("{text:?} is not KIND/NAME"))?;
        Ok(Self {
            kind: kind.parse()?,
            name: name.into(),
        })
    }
}

/// A change to one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Writes the object, whether or not it exists.
    Put {
        /// The object.
        id: ObjectId,
        /// The complete object as JSON.
        json: String,
    },
    /// Removes the object.
    Remove {
        /// The object.
        id: ObjectId,
    },
}

impl Change {
    /// Returns the id of the changed object.
    pub fn id(&self) -> &ObjectId {
        match self {
            Self::Put { id, .. } | Self::Remove { id } => id,
        }
    }
}

/// A change that cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{id}: {reason}")]
pub struct ChangeError {
    /// The object.
    pub id: ObjectId,
    /// Why its JSON cannot be parsed.
    pub reason: String,
}

impl Objects {
    /// Applies changes in order; after an error the set is only partially changed and must be
    /// discarded.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), ChangeError> {
        for change in changes {
            match change {
                Change::Put { id, json } => self.put(id, json)?,
                Change::Remove { id } => self.remove(id),
            }
        }
        Ok(())
    }

    /// Returns the object as JSON, if it exists.
    pub fn json(&self, id: &ObjectId) -> Option<String> {
        let name = &id.name;
        match id.kind {
            ObjectKind::Customer => json_of(&self.customers, name),
            ObjectKind::Model => json_of(&self.models, name),
            ObjectKind::Version => json_of(&self.versions, name),
            ObjectKind::FailureDomain => json_of(&self.failure_domains, name),
            ObjectKind::Rule => json_of(&self.rules, name),
            ObjectKind::Service => json_of(&self.services, name),
            ObjectKind::Upstream => json_of(&self.upstreams, name),
            ObjectKind::Operator => json_of(&self.operators, name),
            ObjectKind::SessionKey => json_of(&self.session_keys, name),
        }
    }

    /// Returns the changes that turn `self` into `to`, ordered by kind and name.
    pub fn diff(&self, to: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        let out = &mut changes;
        diff_kind(ObjectKind::Customer, &self.customers, &to.customers, out);
        diff_kind(ObjectKind::Model, &self.models, &to.models, out);
        diff_kind(ObjectKind::Version, &self.versions, &to.versions, out);
        diff_kind(
            ObjectKind::FailureDomain,
            &self.failure_domains,
            &to.failure_domains,
            out,
        );
        diff_kind(ObjectKind::Rule, &self.rules, &to.rules, out);
        diff_kind(ObjectKind::Service, &self.services, &to.services, out);
        diff_kind(ObjectKind::Upstream, &self.upstreams, &to.upstreams, out);
        diff_kind(ObjectKind::Operator, &self.operators, &to.operators, out);
        diff_kind(
            ObjectKind::SessionKey,
            &self.session_keys,
            &to.session_keys,
            out,
        );
        changes
    }

    /// Returns the changes that turn an empty set into this one.
    pub fn puts(&self) -> Vec<Change> {
        Self::default().diff(self)
    }

    fn put(&mut self, id: &ObjectId, json: &str) -> Result<(), ChangeError> {
        match id.kind {
            ObjectKind::Customer => parse_into(&mut self.customers, id, json),
            ObjectKind::Model => parse_into(&mut self.models, id, json),
            ObjectKind::Version => parse_into(&mut self.versions, id, json),
            ObjectKind::FailureDomain => parse_into(&mut self.failure_domains, id, json),
            ObjectKind::Rule => parse_into(&mut self.rules, id, json),
            ObjectKind::Service => parse_into(&mut self.services, id, json),
            ObjectKind::Upstream => parse_into(&mut self.upstreams, id, json),
            ObjectKind::Operator => parse_into(&mut self.operators, id, json),
            ObjectKind::SessionKey => parse_into(&mut self.session_keys, id, json),
        }
    }

    fn remove(&mut self, id: &ObjectId) {
        let name = &id.name;
        match id.kind {
            ObjectKind::Customer => drop(self.customers.remove(name)),
            ObjectKind::Model => drop(self.models.remove(name)),
            ObjectKind::Version => drop(self.versions.remove(name)),
            ObjectKind::FailureDomain => drop(self.failure_domains.remove(name)),
            ObjectKind::Rule => drop(self.rules.remove(name)),
            ObjectKind::Service => drop(self.services.remove(name)),
            ObjectKind::Upstream => drop(self.upstreams.remove(name)),
            ObjectKind::Operator => drop(self.operators.remove(name)),
            ObjectKind::SessionKey => drop(self.session_keys.remove(name)),
        }
    }
}

fn json_of<T: Serialize>(map: &BTreeMap<CompactString, T>, name: &str) -> Option<String> {
    serde_json::to_string(map.get(name)?).ok()
}

fn parse_into<T: DeserializeOwned>(
    map: &mut BTreeMap<CompactString, T>,
    id: &ObjectId,
    json: &str,
) -> Result<(), ChangeError> {
    let json = &mut serde_json::Deserializer::from_str(json);
    let object = serde_path_to_error::deserialize(json).map_err(|e| ChangeError {
        id: id.clone(),
        reason: e.to_string(),
    })?;
    map.insert(id.name.clone(), object);
    Ok(())
}

fn diff_kind<T: PartialEq + Serialize>(
    kind: ObjectKind,
    from: &BTreeMap<CompactString, T>,
    to: &BTreeMap<CompactString, T>,
    changes: &mut Vec<Change>,
) {
    let id = |name: &CompactString| ObjectId {
        kind,
        name: name.clone(),
    };
    let removed = from.keys().filter(|name| !to.contains_key(*name));
    let mut found: Vec<Change> = removed
        .map(|name| Change::Remove { id: id(name) })
        .collect();
    for (name, object) in to {
        if from.get(name) == Some(object) {
            continue;
        }
        if let Ok(json) = serde_json::to_string(object) {
            found.push(Change::Put { id: id(name), json });
        }
    }
    found.sort_by(|a, b| a.id().cmp(b.id()));
    changes.append(&mut found);
}

/// Returns the objects that both lists change, in order.
pub fn overlapping_objects(a: &[Change], b: &[Change]) -> Vec<ObjectId> {
    let mut both: Vec<ObjectId> = a
        .iter()
        .map(Change::id)
        .filter(|id| b.iter().any(|other| other.id() == *id))
        .cloned()
        .collect();
    both.sort();
    both.dedup();
    both
}

/// Whether an object is added, changed or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// The object is added.
    #[display("+")]
    Added,
    /// The object changes.
    #[display("~")]
    Changed,
    /// The object is removed.
    #[display("-")]
    Removed,
}

/// The difference of one object for display, without secrets and key hashes.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{kind} {id}{}", fields.iter().map(|f| format!("\n    {f}")).collect::<String>())]
pub struct Difference {
    /// The kind of the change.
    pub kind: DifferenceKind,
    /// The object.
    pub id: ObjectId,
    /// The fields that change.
    pub fields: Vec<FieldDifference>,
}

/// The difference of one field; the values are JSON.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{field}: {from} -> {to}")]
pub struct FieldDifference {
    /// The field.
    pub field: String,
    /// Its value before; `none` if it did not exist.
    pub from: String,
    /// Its value after.
    pub to: String,
}

/// Returns the differences that `changes` make to `from`, for display.
pub fn differences(from: &Objects, changes: &[Change]) -> Vec<Difference> {
    changes
        .iter()
        .filter_map(|change| difference(from, change))
        .collect()
}

fn difference(from: &Objects, change: &Change) -> Option<Difference> {
    let id = change.id().clone();
    let before = from.json(&id);
    let (kind, fields) = match (change, before) {
        (Change::Remove { .. }, None) => return None,
        (Change::Remove { .. }, Some(_)) => (DifferenceKind::Removed, Vec::new()),
        (Change::Put { json, .. }, None) => (DifferenceKind::Added, field_differences("{}", json)),
        (Change::Put { json, .. }, Some(before)) if before == *json => return None,
        (Change::Put { json, .. }, Some(before)) => {
            (DifferenceKind::Changed, field_differences(&before, json))
        }
    };
    Some(Difference { kind, id, fields })
}

fn field_differences(before: &str, after: &str) -> Vec<FieldDifference> {
    let parse =
        |json: &str| serde_json::from_str::<BTreeMap<String, Value>>(json).unwrap_or_default();
    let before = parse(before);
    let changed = parse(after)
        .into_iter()
        .filter(|(field, to)| before.get(field) != Some(to));
    changed
        .map(|(field, to)| FieldDifference {
            from: display_value(&field, before.get(&field)),
            to: display_value(&field, Some(&to)),
            field,
        })
        .collect()
}

fn display_value(field: &str, value: Option<&Value>) -> String {
    match (field, value) {
        (_, None) => "none".into(),
        ("secret", Some(_)) => "(secret)".into(),
        ("keys", Some(Value::Array(keys))) => format!("({} keys)", keys.len()),
        (_, Some(value)) => value.to_string(),
    }
}
