//! Types shared by the product and the gateway: time, identifiers and verdicts.

pub mod clock;
pub mod id;
pub mod verdict;
