//! Leases that give a host authority over a group.
