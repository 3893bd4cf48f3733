//! Assembly of entry hosts, agents and data-centre owners.
