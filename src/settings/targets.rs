//! Section `targets`.

use std::time::Duration;

use super::{Field, Section, Slot};

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

impl Section for Targets {
    const NAME: &'static str = "targets";
    const FIELDS: &'static [Field<Targets>] = &[
        Field::optional("connect_time", "Time to open a connection to a target.", |it| {
            Slot::Time(&mut it.connect_time)
        }),
        Field::optional(
            "silence",
            "Silence on an open stream after which the connection is dropped.",
            |it| Slot::Time(&mut it.silence),
        ),
        Field::optional("report_every", "Time between two load reports of a target.", |it| {
            Slot::Time(&mut it.report_every)
        }),
        Field::optional(
            "send_window",
            "Longest time between the check of a lease and the arrival of an order's last byte.",
            |it| Slot::Time(&mut it.send_window),
        ),
    ];
}
