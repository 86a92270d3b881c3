//! Changes requested by operators, resolved against the current configuration.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::state::{
    check::Fault,
    diff::{Change, ObjectId, ObjectKind},
    objects::{Objects, ServiceState, VersionState},
};

/// The field that holds whether an object is in service.
const STATE_FIELD: &str = "state";

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Writes and removes objects.
    Objects {
        /// The changes; an object that is written without a state keeps its current one.
        changes: Vec<Change>,
        /// Whether objects that `changes` does not mention are removed.
        prune: bool,
    },
    /// Takes a failure domain out of service, or puts it back.
    FailureDomain {
        /// Its name.
        name: CompactString,
        /// Its new state.
        state: ServiceState,
    },
    /// Takes an upstream out of service, or puts it back.
    Upstream {
        /// Its name.
        name: CompactString,
        /// Its new state.
        state: ServiceState,
    },
    /// Withdraws, drains or enables a version.
    Version {
        /// Its name.
        name: CompactString,
        /// Its new state.
        state: VersionState,
    },
}

impl Edit {
    /// Returns `objects` with this edit applied, or all faults of the edit.
    pub fn resolve(&self, objects: &Objects) -> Result<Objects, Vec<Fault>> {
        match self {
            Self::Objects { changes, prune } => apply_changes(objects, changes, *prune),
            Self::FailureDomain { name, state } => {
                set_state(objects, ObjectKind::FailureDomain, name, &state.to_string())
            }
            Self::Upstream { name, state } => {
                set_state(objects, ObjectKind::Upstream, name, &state.to_string())
            }
            Self::Version { name, state } => {
                set_state(objects, ObjectKind::Version, name, &state.to_string())
            }
        }
    }

    /// Whether the edit writes complete objects rather than a single state.
    pub fn writes_objects(&self) -> bool {
        matches!(self, Self::Objects { .. })
    }
}

fn apply_changes(
    objects: &Objects,
    changes: &[Change],
    prune: bool,
) -> Result<Objects, Vec<Fault>> {
    let mut edited = objects.clone();
    let mut faults = Vec::new();
    for change in changes {
        let change = keep_current_state(objects, change);
        if let Err(e) = edited.apply(&[change]) {
            faults.push(Fault {
                id: e.id,
                field: CompactString::default(),
                reason: e.reason,
            });
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    if prune {
        remove_unlisted(&mut edited, changes);
    }
    Ok(edited)
}

fn remove_unlisted(objects: &mut Objects, changes: &[Change]) {
    let listed: BTreeSet<&ObjectId> = changes.iter().map(Change::id).collect();
    let unlisted: Vec<Change> = objects
        .puts()
        .into_iter()
        .filter(|change| !listed.contains(change.id()))
        .map(|change| Change::Remove {
            id: change.id().clone(),
        })
        .collect();
    // Cannot fail, since removals parse no JSON.
    let _ = objects.apply(&unlisted);
}

/// Adds the state of the object that is replaced to an object written without one.
fn keep_current_state(objects: &Objects, change: &Change) -> Change {
    let Change::Put { id, json } = change else {
        return change.clone();
    };
    match with_current_state(json, objects.json(id).as_deref()) {
        Some(json) => Change::Put {
            id: id.clone(),
            json,
        },
        None => change.clone(),
    }
}

fn with_current_state(json: &str, current: Option<&str>) -> Option<String> {
    let current: Map<String, Value> = serde_json::from_str(current?).ok()?;
    let mut object: Map<String, Value> = serde_json::from_str(json).ok()?;
    let state = current.get(STATE_FIELD)?;
    if object.contains_key(STATE_FIELD) {
        return None;
    }
    object.insert(STATE_FIELD.into(), state.clone());
    serde_json::to_string(&object).ok()
}

fn set_state(
    objects: &Objects,
    kind: ObjectKind,
    name: &CompactString,
    state: &str,
) -> Result<Objects, Vec<Fault>> {
    let id = ObjectId {
        kind,
        name: name.clone(),
    };
    let fault = |reason: String| {
        vec![Fault {
            id: id.clone(),
            field: STATE_FIELD.into(),
            reason,
        }]
    };
    let json = objects
        .json(&id)
        .ok_or_else(|| fault(format!("there is no {kind} {name:?}")))?;
    let mut object: Map<String, Value> =
        serde_json::from_str(&json).map_err(|e| fault(e.to_string()))?;
    object.insert(STATE_FIELD.into(), state.into());
    let mut edited = objects.clone();
    let json = Value::Object(object).to_string();
    let put = Change::Put {
        id: id.clone(),
        json,
    };
    edited.apply(&[put]).map_err(|e| fault(e.reason))?;
    Ok(edited)
}
