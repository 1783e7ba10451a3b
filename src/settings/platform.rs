//! Section `platform`: access to the platform's services.

use std::{net::SocketAddr, time::Duration};

use super::{Field, Section, Slot};

/// Access to the platform's services.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Timeout of one call to the platform.
    pub timeout: Duration,
    /// Interval between refreshes of the configuration.
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
        Field::optional("timeout", "Timeout of one call to the platform.", |it| {
            Slot::Time(&mut it.timeout)
        }),
        Field::optional("refresh", "Interval between refreshes of the configuration.", |it| {
            Slot::Time(&mut it.refresh)
        }),
    ];
}
