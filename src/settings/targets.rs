//! Section `targets`.

use std::time::Duration;

/// Bounds of the calls to targets.
#[derive(Debug, Clone)]
pub struct Targets {
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Silence on an open stream after which the connection is dropped.
    pub silence: Duration,
    /// Time between two load reports.
    pub report_every: Duration,
    /// Longest time between the check of a lease and the arrival of an order's last byte.
    pub send_window: Duration,
}

impl Default for Targets {
    fn default() -> Targets {
        Targets {
            connect_time: Duration::from_millis(500),
            silence: Duration::from_secs(5),
            report_every: Duration::from_millis(500),
            send_window: Duration::from_secs(2),
        }
    }
}
