//! Requests that began to run, by account and time window.

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::id;

/// Number of a time window.
pub type Window = u64;

/// Bounds of the usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub due_after: Duration,
}

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
