//! Retries, bounded by verdict, budget and deadline, and the resumption of streams.
//!
//! A failed attempt is retried only if its verdict is *not run* or the request is repeatable. A
//! repeatable stream resumes on another target at the next token.

mod assembly;
mod attempts;
mod budget;
mod policy;

pub use self::{
    assembly::{Accepted, Assembly, Gap},
    attempts::{Attempts, Decision, Repeat},
    budget::Budget,
    policy::Policy,
};
