//! Simulated platform and scenario runner.

pub mod deployment;
pub mod dev;
pub mod measures;
pub mod platform;
pub mod runner;
pub mod script;
