//! The table rows that store the configuration.

use platform_api::table::{ABSENT, CommitRequest, Condition, Key, Row, RowVersion, Write};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::state::{
    diff::{Change, ChangeError, ObjectId},
    objects::Objects,
    record::{PublishId, Record},
    snapshot::Generation,
};

/// The key of [`Head`].
pub const HEAD_KEY: &str = "config/head";
/// The key prefix of rows that each hold a [`Record`].
pub const CHANGE_PREFIX: &str = "config/change/";
/// The key prefix of rows that each hold an object.
pub const OBJECT_PREFIX: &str = "config/object/";
/// The key prefix of rows that each hold the generation created under a publish id.
const PUBLISH_PREFIX: &str = "config/publish/";

/// Number of generations whose records and publish ids are retained.
pub const RETAINED_GENERATIONS: Generation = 1_024;
/// Maximum number of outdated generations removed by one publication.
const MAX_PRUNED_GENERATIONS: Generation = 8;

/// The newest generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The number of the generation.
    pub generation: Generation,
    /// The publication that created it.
    pub publish_id: PublishId,
}

/// The generation from the head row, with the version of that row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadRow {
    /// The generation; 0 if nothing has been published.
    pub generation: Generation,
    /// The version of the row; [`ABSENT`] if nothing has been published.
    pub version: RowVersion,
}

/// An error while reading configuration rows.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The key or the value of a row is invalid.
    #[error("row {key}: {reason}")]
    Value {
        /// The key of the row.
        key: Key,
        /// Why it is invalid.
        reason: String,
    },
    /// The object in a row cannot be parsed.
    #[error(transparent)]
    Object(#[from] ChangeError),
    /// Records are missing between the rows read, because they have been pruned in the meantime.
    #[error("the records after generation {after} have been pruned")]
    Gap {
        /// The generation after which the first record is missing.
        after: Generation,
    },
}

/// Returns the key of the record of a generation.
pub fn change_key(generation: Generation) -> Key {
    format!("{CHANGE_PREFIX}{generation:020}").into()
}

/// Returns the key of the row that exists once the publish id has taken effect.
pub fn publish_key(id: &str) -> Key {
    format!("{PUBLISH_PREFIX}{id}").into()
}

/// Returns the key of an object.
pub fn object_key(id: &ObjectId) -> Key {
    format!("{OBJECT_PREFIX}{id}").into()
}

/// Finds the head in `rows`; returns generation 0 if nothing has been published.
pub fn parse_head(rows: &[Row]) -> Result<HeadRow, RowError> {
    let Some(row) = rows.iter().find(|row| row.key == HEAD_KEY) else {
        return Ok(HeadRow {
            generation: 0,
            version: ABSENT,
        });
    };
    let head: Head = parse_value(row)?;
    Ok(HeadRow {
        generation: head.generation,
        version: row.version,
    })
}

/// Finds the generation that was created under publish id `id`, if its row is in `rows`.
pub fn find_published_generation(rows: &[Row], id: &str) -> Result<Option<Generation>, RowError> {
    let key = publish_key(id);
    rows.iter()
        .find(|row| row.key == key)
        .map(parse_value)
        .transpose()
}

/// Parses rows under [`CHANGE_PREFIX`].
pub fn parse_records(rows: &[Row]) -> Result<Vec<Record>, RowError> {
    rows.iter().map(parse_value).collect()
}

/// Returns the commit that makes `record` the newest generation, provided that the head still has
/// `version` and the publish id has not taken effect.
pub fn publish_commit(record: &Record, version: RowVersion) -> CommitRequest {
    let head = Head {
        generation: record.generation,
        publish_id: record.publish_id.clone(),
    };
    let mut writes = vec![
        row_write(HEAD_KEY.into(), &head),
        row_write(change_key(record.generation), record),
        row_write(publish_key(&record.publish_id), &record.generation),
    ];
    writes.extend(record.changes.iter().map(|change| Write {
        key: object_key(change.id()),
        value: match change {
            Change::Put { json, .. } => Some(json.clone()),
            Change::Remove { .. } => None,
        },
    }));
    CommitRequest {
        conditions: vec![
            Condition {
                key: HEAD_KEY.into(),
                version,
            },
            Condition {
                key: publish_key(&record.publish_id),
                version: ABSENT,
            },
        ],
        writes,
    }
}

/// Builds the complete set at generation `head` from object rows, read in pages since the table was
/// at generation `before`, and the records that were committed in the meantime.
///
/// Every object that changed during the read is listed in a record, so applying the records turns
/// the pages into a consistent snapshot.
pub fn assemble_objects(
    before: Generation,
    rows: &[Row],
    records: &[Record],
    head: Generation,
) -> Result<Objects, RowError> {
    let mut objects = Objects::default();
    for row in rows {
        let change = Change::Put {
            id: object_id(row)?,
            json: row.value.clone(),
        };
        objects.apply(&[change])?;
    }
    let mut applied = before;
    for record in records {
        if record.generation <= applied || record.generation > head {
            continue;
        }
        if record.generation != applied + 1 {
            return Err(RowError::Gap { after: applied });
        }
        objects.apply(&record.changes)?;
        applied = record.generation;
    }
    if applied == head {
        Ok(objects)
    } else {
        Err(RowError::Gap { after: applied })
    }
}

/// Returns the keys of the records that become outdated when `generation` is published.
pub fn outdated_keys(generation: Generation) -> Vec<Key> {
    let newest = generation.saturating_sub(RETAINED_GENERATIONS);
    let oldest = newest.saturating_sub(MAX_PRUNED_GENERATIONS);
    (oldest + 1..=newest).map(change_key).collect()
}

/// Returns the commit that removes outdated records and their publish ids.
pub fn prune_commit(rows: &[Row]) -> Result<CommitRequest, RowError> {
    let records = parse_records(rows)?;
    let keys = records.iter().flat_map(|record| {
        [
            change_key(record.generation),
            publish_key(&record.publish_id),
        ]
    });
    Ok(CommitRequest {
        conditions: Vec::new(),
        writes: keys.map(|key| Write { key, value: None }).collect(),
    })
}

fn object_id(row: &Row) -> Result<ObjectId, RowError> {
    let name = row.key.strip_prefix(OBJECT_PREFIX).unwrap_or(&row.key);
    name.parse().map_err(|reason| RowError::Value {
        key: row.key.clone(),
        reason,
    })
}

fn parse_value<T: DeserializeOwned>(row: &Row) -> Result<T, RowError> {
    serde_json::from_str(&row.value).map_err(|e| RowError::Value {
        key: row.key.clone(),
        reason: e.to_string(),
    })
}

fn row_write<T: Serialize>(key: Key, value: &T) -> Write {
    Write {
        key,
        value: serde_json::to_string(value).ok(),
    }
}
