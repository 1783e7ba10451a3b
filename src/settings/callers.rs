//! Section `callers`: limits and timeouts of the callers' port.

use std::time::Duration;

use super::{Field, Section, Slot};

/// Limits and timeouts of the callers' port.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Timeout for receiving a request's header.
    pub header_time: Duration,
    /// Maximum size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Timeout for receiving a request's body.
    pub body_time: Duration,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may stay open without a request.
    pub idle_time: Duration,
    /// Time allowed for a request that doesn't set its own limit.
    pub request_time: Duration,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers {
            connections: 4_096,
            header_time: Duration::from_secs(5),
            header_bytes: 32 << 10,
            body_time: Duration::from_secs(20),
            body_bytes: 4 << 20,
            idle_time: Duration::from_secs(60),
            request_time: Duration::from_secs(120),
        }
    }
}

impl Section for Callers {
    const NAME: &'static str = "callers";
    const FIELDS: &'static [Field<Callers>] = &[
        Field::optional("connections", "Maximum number of open connections.", |it| {
            Slot::Count(&mut it.connections)
        }),
        Field::optional("header_time", "Timeout for receiving a request's header.", |it| {
            Slot::Time(&mut it.header_time)
        }),
        Field::optional("header_bytes", "Maximum size of a request's header.", |it| {
            Slot::Size(&mut it.header_bytes)
        }),
        Field::optional("body_time", "Timeout for receiving a request's body.", |it| {
            Slot::Time(&mut it.body_time)
        }),
        Field::optional("body_bytes", "Maximum size of a request's body.", |it| {
            Slot::Size(&mut it.body_bytes)
        }),
        Field::optional(
            "idle_time",
            "Maximum time that a connection may stay open without a request.",
            |it| Slot::Time(&mut it.idle_time),
        ),
        Field::optional(
            "request_time",
            "Time allowed for a request that doesn't set its own limit.",
            |it| Slot::Time(&mut it.request_time),
        ),
    ];
}
