//! Placement of gangs and guarantees in one data centre.
