//! Command line for operators and callers.

fn main() {}
