//! The command `hibiscusyoke`.

fn main() {}
