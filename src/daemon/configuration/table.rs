//! Reads the configuration's rows from the table.

use platform_api::table::Row;

use crate::{
    coordination::configuration::rows::{
        self, CHANGE_PREFIX, HEAD_KEY, OBJECT_PREFIX, RowError, change_key,
    },
    state::{objects::Objects, record::Record, snapshot::Generation},
    transport::table::{TableClient, TableError},
};

/// Error of a configuration read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The table could not be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The table's rows could not be parsed.
    #[error(transparent)]
    Rows(#[from] RowError),
}

/// Returns the generation of the table's head.
pub(super) async fn read_head(table: &TableClient) -> Result<Generation, ReadError> {
    let rows: Vec<Row> = table.read(vec![HEAD_KEY.into()]).await?;
    Ok(rows::parse_head(&rows)?.generation)
}

/// Returns the records after generation `after`, in order.
pub(super) async fn read_records(
    table: &TableClient,
    after: Generation,
) -> Result<Vec<Record>, ReadError> {
    let rows = table.scan_after(CHANGE_PREFIX, &change_key(after)).await?;
    Ok(rows::parse_records(&rows)?)
}

/// Returns all objects and their generation.
pub(super) async fn read_objects(table: &TableClient) -> Result<(Generation, Objects), ReadError> {
    let before = read_head(table).await?;
    let objects = table.scan(OBJECT_PREFIX).await?;
    let after = read_head(table).await?;
    let records = if after > before {
        read_records(table, before).await?
    } else {
        Vec::new()
    };
    Ok((
        after,
        rows::assemble_objects(before, &objects, &records, after)?,
    ))
}
