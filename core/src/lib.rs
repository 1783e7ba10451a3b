//! Types shared by the product and the gateway: time, identifiers, leases, shares and verdicts.

pub mod clock;
pub mod id;
pub mod lease;
pub mod share;
pub mod verdict;
