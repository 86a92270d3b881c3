//! Configuration files: one set of objects in one or several files.

use std::{collections::BTreeMap, path::PathBuf};

use compact_str::CompactString;
use serde_json::Value;

use crate::state::{
    check::Fault,
    diff::{Change, ChangeError, ObjectId, ObjectKind},
    document::{Document, DocumentError},
    objects::Objects,
};

/// The objects of a file as they are written there, before defaults are filled in.
type RawObjects = BTreeMap<String, BTreeMap<CompactString, Value>>;

/// A set of objects and the places where they are written.
#[derive(Debug, Default)]
pub struct ConfigurationFiles {
    documents: Vec<Document>,
    /// The objects.
    pub objects: Objects,
    /// The objects as they are written.
    pub changes: Vec<Change>,
    document_indices: BTreeMap<ObjectId, usize>,
}

impl ConfigurationFiles {
    /// Reads all files; stops at the first file that cannot be read.
    pub fn open(paths: &[PathBuf]) -> Result<Self, DocumentError> {
        let mut files = Self::default();
        for path in paths {
            files.add(Document::open(path)?)?;
        }
        Ok(files)
    }

    /// Where a fault is and what it is.
    pub fn describe_fault(&self, fault: &Fault) -> String {
        match self.document_indices.get(&fault.id) {
            Some(index) => self.documents[*index]
                .error_at_key(&key_path(fault), fault.reason.clone())
                .to_string(),
            None => fault.to_string(),
        }
    }

    fn add(&mut self, document: Document) -> Result<(), DocumentError> {
        // The typed reading gives the errors, the raw one what is really written.
        document.parse::<Objects>()?;
        let raw: RawObjects = document.parse()?;
        let file_changes = changes(&raw);
        for change in &file_changes {
            let id = change.id();
            if self
                .document_indices
                .insert(id.clone(), self.documents.len())
                .is_some()
            {
                let reason = "stands in another file too";
                return Err(document.error_at_key(&[id.kind.field(), &id.name], reason));
            }
        }
        self.objects
            .apply(&file_changes)
            .map_err(|e| invalid_object(&document, &e))?;
        self.changes.extend(file_changes);
        self.documents.push(document);
        Ok(())
    }
}

fn changes(raw: &RawObjects) -> Vec<Change> {
    let mut changes = Vec::new();
    for kind in ObjectKind::ALL {
        for (name, object) in raw.get(kind.field()).into_iter().flatten() {
            let name = name.clone();
            changes.push(Change::Put {
                id: ObjectId { kind, name },
                json: object.to_string(),
            });
        }
    }
    changes
}

fn invalid_object(document: &Document, e: &ChangeError) -> DocumentError {
    document.error_at_key(&[e.id.kind.field(), &e.id.name], e.reason.clone())
}

fn key_path(fault: &Fault) -> Vec<&str> {
    let mut key_path = vec![fault.id.kind.field(), fault.id.name.as_str()];
    if fault.field != "name" {
        key_path.extend(fault.field.split('.').filter(|segment| !segment.is_empty()));
    }
    key_path
}
