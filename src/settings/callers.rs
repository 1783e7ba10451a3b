//! Section `callers`.

use std::time::Duration;

use super::{Field, Section, Slot};

/// Bounds of the callers' port.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Connections open at once.
    pub connections: usize,
    /// Time for a request's header to arrive.
    pub header_time: Duration,
    /// Size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Time for a request's body to arrive.
    pub body_time: Duration,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time that a connection may stay open without a request.
    pub idle_time: Duration,
    /// Time allowed for a request that names none.
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
        Field::optional("connections", "Connections open at once.", |it| {
            Slot::Count(&mut it.connections)
        }),
        Field::optional("header_time", "Time for a request's header to arrive.", |it| {
            Slot::Time(&mut it.header_time)
        }),
        Field::optional("header_bytes", "Largest header of a request.", |it| {
            Slot::Size(&mut it.header_bytes)
        }),
        Field::optional("body_time", "Time for a request's body to arrive.", |it| {
            Slot::Time(&mut it.body_time)
        }),
        Field::optional("body_bytes", "Largest body of a request.", |it| {
            Slot::Size(&mut it.body_bytes)
        }),
        Field::optional(
            "idle_time",
            "Time that a connection may stay open without a request.",
            |it| Slot::Time(&mut it.idle_time),
        ),
        Field::optional("request_time", "Time allowed for a request that names none.", |it| {
            Slot::Time(&mut it.request_time)
        }),
    ];
}
