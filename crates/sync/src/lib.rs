//! Distribution of configuration and owner rows, and membership.
