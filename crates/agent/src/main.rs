//! Agent daemon.

fn main() {}
