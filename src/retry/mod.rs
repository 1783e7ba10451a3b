//! Retries by verdict, budget and deadline, and the resumption of streams.
//!
//! A failed attempt is made again only while its verdict is *not run*, or when the request is
//! repeatable. A repeatable stream goes on at the next token elsewhere.

mod assembly;
mod budget;
mod policy;
mod tries;

pub use self::{
    assembly::{Accepted, Assembly, Gap},
    budget::Budget,
    policy::Policy,
    tries::{Decision, Repeat, Tries},
};
