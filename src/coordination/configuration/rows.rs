//! The rows of the table in which the configuration is kept.

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
/// The prefix of the rows that hold a [`Record`] each.
pub const CHANGE_PREFIX: &str = "config/change/";
/// The prefix of the rows that hold an object each.
pub const OBJECT_PREFIX: &str = "config/object/";
/// The prefix of the rows that hold the generation of each publish id.
const PUBLISH_PREFIX: &str = "config/publish/";

/// The number of generations whose records and publish ids are kept.
pub const RETAINED_GENERATIONS: Generation = 1_024;
/// The number of outdated generations removed at once.
const MAX_PRUNED_GENERATIONS: Generation = 8;

/// The newest generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Its number.
    pub generation: Generation,
    /// The publication that made it.
    pub publish_id: PublishId,
}

/// A head together with the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadRow {
    /// The generation; 0 when nothing has been published.
    pub generation: Generation,
    /// The version of the row; [`ABSENT`] when nothing has been published.
    pub version: RowVersion,
}

/// A row that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// Its value is not what its key promises.
    #[error("row {key}: {reason}")]
    Value {
        /// The row.
        key: Key,
        /// What is wrong.
        reason: String,
    },
    /// Its object cannot be read.
    #[error(transparent)]
    Object(#[from] ChangeError),
    /// The rows read do not add up to one generation, because some have been pruned meanwhile.
    #[error("the records after generation {after} are gone")]
    Gap {
        /// The generation after which a record is missing.
        after: Generation,
    },
}

/// The key of the record of one generation.
pub fn change_key(generation: Generation) -> Key {
    format!("{CHANGE_PREFIX}{generation:020}").into()
}

/// The key that tells whether a publish id has taken effect.
pub fn publish_key(id: &str) -> Key {
    format!("{PUBLISH_PREFIX}{id}").into()
}

/// The key of one object.
pub fn object_key(id: &ObjectId) -> Key {
    format!("{OBJECT_PREFIX}{id}").into()
}

/// The head among `rows`, or the head of a table in which nothing has been published.
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

/// The generation that publish id `id` made, if its row is among `rows`.
pub fn find_published_generation(rows: &[Row], id: &str) -> Result<Option<Generation>, RowError> {
    let key = publish_key(id);
    rows.iter()
        .find(|row| row.key == key)
        .map(parse_value)
        .transpose()
}

/// The records in rows of [`CHANGE_PREFIX`].
pub fn parse_records(rows: &[Row]) -> Result<Vec<Record>, RowError> {
    rows.iter().map(parse_value).collect()
}

/// The commit that makes `record` the newest generation, on condition that the head still has
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

/// The whole set at `head`, from object rows read page by page since the table was at `before` and
/// the records that were committed meanwhile.
///
/// Every object that changed meanwhile is named by a record, so that applying the records makes
/// the pages one view.
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

/// The keys of records that a publication of `generation` makes outdated.
pub fn outdated_keys(generation: Generation) -> Vec<Key> {
    let newest = generation.saturating_sub(RETAINED_GENERATIONS);
    let oldest = newest.saturating_sub(MAX_PRUNED_GENERATIONS);
    (oldest + 1..=newest).map(change_key).collect()
}

/// The commit that removes outdated records and their publish ids.
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
