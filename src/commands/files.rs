//! Configuration files: one set of objects in one or more files.

use std::{collections::BTreeMap, path::PathBuf};

use compact_str::CompactString;
use serde_json::Value;

use crate::state::{
    check::Fault,
    diff::{Change, ChangeError, ObjectId, ObjectKind},
    document::{Document, DocumentError},
    objects::Objects,
};

/// Objects as written in a file, before defaults are filled in.
type RawObjects = BTreeMap<String, BTreeMap<CompactString, Value>>;

/// A set of objects with the files that define them.
#[derive(Debug, Default)]
pub struct ConfigurationFiles {
    documents: Vec<Document>,
    /// The objects, with defaults filled in.
    pub objects: Objects,
    /// The objects as written, as changes to publish.
    pub changes: Vec<Change>,
    document_indices: BTreeMap<ObjectId, usize>,
}

impl ConfigurationFiles {
    /// Reads all files and stops at the first error.
    pub fn open(paths: &[PathBuf]) -> Result<Self, DocumentError> {
        let mut files = Self::default();
        for path in paths {
            files.add(Document::open(path)?)?;
        }
        Ok(files)
    }

    /// Formats a fault with its file, line and key.
    pub fn describe_fault(&self, fault: &Fault) -> String {
        match self.document_indices.get(&fault.id) {
            Some(index) => self.documents[*index]
                .error_at_key(&key_path(fault), fault.reason.clone())
                .to_string(),
            None => fault.to_string(),
        }
    }

    fn add(&mut self, document: Document) -> Result<(), DocumentError> {
        // Parsing typed objects reports errors; the raw objects hold only the keys in the file.
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
                let reason = "is also defined in another file";
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
