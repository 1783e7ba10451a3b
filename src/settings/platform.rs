//! Section `platform`.

use std::{net::SocketAddr, time::Duration};

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
