//! Requests that began to run, by account and time window.

use std::collections::BTreeMap;

use fuchsiaknot_core::id;

/// Number of a time window.
pub type Window = u64;

/// Requests of each account that began to run in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by account.
    pub counts: BTreeMap<id::Account, u64>,
}

/// State of the usage reports on this host.
#[derive(Debug, Default)]
pub struct State {}
