//! The object store: whole objects by name, `PUT` and `GET` on [`PATH`] followed by the name.

/// The path prefix under which objects are kept.
pub const PATH: &str = "/objects/";
