//! The object store: stores and returns entire objects with `PUT` and `GET` on [`PATH`] plus the
//! name.

/// Path prefix of objects, followed by the object's name.
pub const PATH: &str = "/objects/";
