//! Routing of calls, slots of backend servers and claims.
