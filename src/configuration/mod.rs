//! Configuration that operators edit while the system runs: the plans list (the plan and keys of
//! each customer), the limits list (the limits of each plan) and announced changes to the fleet.

mod account;
mod announcement;
mod check;
pub mod difference;
mod limits;
pub mod list_text;
pub mod store;
mod wire;

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

pub use self::{
    account::Account,
    announcement::{Announcement, Change, Subject},
    check::{LIMITS_LIST, PLANS_LIST},
    difference::Difference,
    wire::{Lists, RawAnnouncement, RawSubject},
};
use crate::id;

/// A validated configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version in the platform's table; 0 for one that isn't stored.
    pub version: id::Version,
    /// Customers by the hash of a key; a customer with two keys is there twice.
    pub customers: HashMap<SmolStr, Customer>,
    /// Limits by plan.
    pub limits: HashMap<id::Plan, Limits>,
    /// Announced changes to the fleet.
    pub announcements: Vec<Announcement>,
}

/// Customer that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the account.
    pub name: id::Customer,
    /// Plan of the account.
    pub plan: id::Plan,
}

/// Limits and latency targets of a plan on the shared fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Share of engine time, relative to the weights of the other plans.
    pub weight: f64,
    /// Maximum requests per second across all hosts.
    pub requests_per_second: f64,
    /// Maximum open requests across all hosts.
    pub concurrent: u32,
    /// Maximum tokens per second, prompt and output, across all hosts.
    pub tokens_per_second: f64,
    /// Models and services that the plan may use; empty means all.
    pub allowed: Vec<SmolStr>,
    /// Scheduling priority at the engines; higher values go first.
    pub priority: i32,
    /// Time within which the first token is due.
    pub first_token: Duration,
    /// Longest mean time between tokens at which a response is in time.
    pub between_tokens: Duration,
    /// Maximum queued requests per host.
    pub queue: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            weight: 1.0,
            requests_per_second: 1_000.0,
            concurrent: 1_000,
            tokens_per_second: 1_000_000.0,
            allowed: Vec::new(),
            priority: 0,
            first_token: Duration::from_millis(570),
            between_tokens: Duration::from_millis(48),
            queue: 1_000,
        }
    }
}

impl Limits {
    /// Returns whether the plan may use a model or service.
    pub fn allows(&self, name: &str) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|it| it == name)
    }
}
