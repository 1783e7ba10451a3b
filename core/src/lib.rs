//! Types shared by the product and the gateway: time, identifiers, leases and verdicts.

pub mod clock;
pub mod id;
pub mod lease;
pub mod verdict;
