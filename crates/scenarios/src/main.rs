//! Runs scenario files.

fn main() {}
