//! Words that the product and its request path share: time, identifiers and verdicts.

pub mod clock;
pub mod id;
pub mod verdict;
