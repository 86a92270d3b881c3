//! What operators ask to be changed, worked out against the set in force.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::state::{
    check::Fault,
    diff::{Change, ObjectId, ObjectKind},
    objects::{Objects, ServiceState, VersionState},
};

/// The field that says whether an object takes work.
const STATE_FIELD: &str = "state";

/// What an operator asks to be changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Objects are written and removed.
    Objects {
        /// The changes; a written object that gives no state keeps the one it has.
        changes: Vec<Change>,
        /// Whether all objects that are not written are removed.
        prune: bool,
    },
    /// A failure domain is taken out of service, or back in.
    FailureDomain {
        /// Which.
        name: CompactString,
        /// Its new state.
        state: ServiceState,
    },
    /// An upstream is taken out of service, or back in.
    Upstream {
        /// Which.
        name: CompactString,
        /// Its new state.
        state: ServiceState,
    },
    /// A version is withdrawn, drained or enabled.
    Version {
        /// Which.
        name: CompactString,
        /// Its new state.
        state: VersionState,
    },
}

impl Edit {
    /// The set that this edit makes of `objects`, or every fault of what was asked.
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

    /// Whether it writes whole objects rather than one state.
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
    // Removing parses nothing, so that it cannot fail.
    let _ = objects.apply(&unlisted);
}

/// A written object that gives no state gets the state of the object that it replaces.
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
