//! Keeps a panic in one step from ending the work on the others.

use std::{
    any::Any,
    panic::{self, AssertUnwindSafe},
};

/// Runs a step; returns the text of its panic if it panics.
pub fn isolate<T>(step: impl FnOnce() -> T) -> Result<T, String> {
    let result = panic::catch_unwind(AssertUnwindSafe(step));
    result.map_err(|cause| panic_text(&*cause).to_owned())
}

/// Returns the text of a panic.
pub fn panic_text(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("no text")
}
