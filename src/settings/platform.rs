//! Section `platform`.

use std::{net::SocketAddr, time::Duration};

use super::{Field, Section, Slot};

/// The platform's services.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Time allowed for one call.
    pub timeout: Duration,
    /// Time between two refreshes.
    pub refresh: Duration,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            address: SocketAddr::from(([127, 0, 0, 1], 8090)),
            timeout: Duration::from_secs(2),
            refresh: Duration::from_secs(1),
        }
    }
}

impl Section for Platform {
    const NAME: &'static str = "platform";
    const FIELDS: &'static [Field<Platform>] = &[
        Field::optional("address", "Address of the platform's HTTP interface.", |it| {
            Slot::Address(&mut it.address)
        }),
        Field::optional("timeout", "Time allowed for one call to the platform.", |it| {
            Slot::Time(&mut it.timeout)
        }),
        Field::optional("refresh", "Time between two refreshes of the configuration.", |it| {
            Slot::Time(&mut it.refresh)
        }),
    ];
}
