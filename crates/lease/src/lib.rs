//! Ownership of duties by lease rows with fencing epochs.
