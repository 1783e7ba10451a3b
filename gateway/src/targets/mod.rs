//! What this host knows of the targets.

pub mod availability;
pub mod health;
pub mod notice;
pub mod poison;
pub mod poison_inquiry;
pub mod poison_part;
pub(crate) mod poison_reports;
pub mod rate_limit;
pub mod reachability;
pub mod refusal;
pub mod registry;
pub mod target;
pub mod tombstone;
