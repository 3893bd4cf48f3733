//! Platform stand-in and scenario runner.
