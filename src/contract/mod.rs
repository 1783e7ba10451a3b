//! The operators' two lists: plans of customers, and limits of each plan.

mod account;
mod announcement;
mod check;
pub mod difference;
mod limits;
pub mod store;
pub mod text;
mod wire;

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;

pub use self::{
    account::Account,
    announcement::{Announcement, Change, Subject},
    check::{LIMITS, PLANS},
    difference::Difference,
    wire::{Lists, Notice, RawSubject},
};
use crate::id;

/// A checked configuration, as it is in force.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Contract {
    /// Version in the platform's table.
    pub version: id::Version,
    /// Customers by the hash of their key.
    pub customers: HashMap<SmolStr, Customer>,
    /// Limits by plan.
    pub limits: HashMap<id::Plan, Limits>,
    /// Announced changes to the fleet.
    pub announcements: Vec<Announcement>,
}

/// A customer's account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the account.
    pub name: id::Customer,
    /// Plan that the account is on.
    pub plan: id::Plan,
}

/// What a plan may use of the shared fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Share of engine time relative to the other plans'.
    pub weight: f64,
    /// Most requests a second over all hosts.
    pub requests_per_second: f64,
    /// Most requests open at once over all hosts.
    pub concurrent: u32,
    /// Most tokens a second, prompt and output, over all hosts.
    pub tokens_per_second: f64,
    /// Models and services that the plan may use; empty means all.
    pub allowed: Vec<SmolStr>,
    /// Priority at the engines; higher goes first.
    pub priority: i32,
    /// Time within which the first token is due.
    pub first_token: Duration,
    /// Mean time between tokens that is still in time.
    pub between_tokens: Duration,
    /// Requests that may wait on one host.
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
