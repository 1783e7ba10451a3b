//! Section `peers`.

use std::time::Duration;

use super::{Fault, Field, Flaw, Place, Section, Slot};

/// Links to the other entry hosts.
#[derive(Clone)]
pub struct Peers {
    /// Key that every host of the deployment shares.
    pub key: String,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as gone.
    pub silence: Duration,
    /// Time allowed for one call.
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
            "Secret that every host of the deployment shares, at least 16 characters.",
            |it| Slot::Secret(&mut it.key),
        ),
        Field::optional("heartbeat", "Time between two heartbeats.", |it| {
            Slot::Time(&mut it.heartbeat)
        }),
        Field::optional("silence", "Silence after which a peer counts as gone.", |it| {
            Slot::Time(&mut it.silence)
        }),
        Field::optional("timeout", "Time allowed for one call to a peer.", |it| {
            Slot::Time(&mut it.timeout)
        }),
    ];

    fn check(&self, place: &Place, faults: &mut Vec<Fault>) {
        if self.silence <= self.heartbeat {
            faults.push(place.key("silence").fault(Flaw::NotLongerThan("heartbeat")));
        }
    }
}
