//! Section `peers`: links to the other entry hosts.

use std::time::Duration;

use super::{Fault, FaultKind, Field, Location, Section, Slot};

/// Links to the other entry hosts.
#[derive(Clone)]
pub struct Peers {
    /// Secret shared by all hosts of the deployment.
    pub key: String,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a peer is considered gone.
    pub silence: Duration,
    /// Timeout of one call to a peer.
    pub timeout: Duration,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers {
            key: String::new(),
            heartbeat: Duration::from_secs(1),
            silence: Duration::from_secs(3),
            timeout: Duration::from_secs(1),
        }
    }
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("heartbeat", &self.heartbeat)
            .field("silence", &self.silence)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl Section for Peers {
    const NAME: &'static str = "peers";
    const FIELDS: &'static [Field<Peers>] = &[
        Field::required(
            "key",
            "Secret shared by all hosts of the deployment, at least 16 characters.",
            |it| Slot::Secret(&mut it.key),
        ),
        Field::optional("heartbeat", "Interval between heartbeats.", |it| {
            Slot::Time(&mut it.heartbeat)
        }),
        Field::optional(
            "silence",
            "Time without a heartbeat after which a peer is considered gone.",
            |it| Slot::Time(&mut it.silence),
        ),
        Field::optional("timeout", "Timeout of one call to a peer.", |it| {
            Slot::Time(&mut it.timeout)
        }),
    ];

    fn check(&self, location: &Location, faults: &mut Vec<Fault>) {
        if self.silence <= self.heartbeat {
            faults.push(location.key("silence").fault(FaultKind::NotLongerThan("heartbeat")));
        }
    }
}
