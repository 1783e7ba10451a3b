//! Section `targets`: timeouts of the calls to targets.

use std::time::Duration;

use super::{Field, Section, Slot};

/// Timeouts of the calls to targets, and the interval of load reports.
#[derive(Debug, Clone)]
pub struct Targets {
    /// Timeout for opening a connection to a target.
    pub connect_time: Duration,
    /// Time without data on an open stream after which the connection is closed.
    pub silence: Duration,
    /// Interval between load reports of a target.
    pub report_every: Duration,
    /// Maximum time from the check of a lease to the arrival of an order's last byte.
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

impl Section for Targets {
    const NAME: &'static str = "targets";
    const FIELDS: &'static [Field<Targets>] = &[
        Field::optional("connect_time", "Timeout for opening a connection to a target.", |it| {
            Slot::Time(&mut it.connect_time)
        }),
        Field::optional(
            "silence",
            "Time without data on an open stream after which the connection is closed.",
            |it| Slot::Time(&mut it.silence),
        ),
        Field::optional("report_every", "Interval between load reports of a target.", |it| {
            Slot::Time(&mut it.report_every)
        }),
        Field::optional(
            "send_window",
            "Maximum time from the check of a lease to the arrival of an order's last byte.",
            |it| Slot::Time(&mut it.send_window),
        ),
    ];
}
