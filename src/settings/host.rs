//! Section `host`.

use std::{net::SocketAddr, time::Duration};

use crate::id;

/// This entry host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name, unique in the deployment.
    pub name: id::Host,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Address of the callers' port.
    pub callers_address: SocketAddr,
    /// Address of the operators' port.
    pub operators_address: SocketAddr,
    /// Address of the peers' port.
    pub peers_address: SocketAddr,
    /// Hash of the operators' key; without it the operators' port answers loopback only.
    pub operators_key_hash: Option<String>,
    /// Receiver of statsd metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Time after which a leaving host refuses new requests.
    pub leave_after: Duration,
    /// Age of the configuration after which a lone host admits nothing.
    pub configuration_bound: Duration,
}

impl Default for Host {
    fn default() -> Host {
        Host {
            name: id::Host::new_static("host-1"),
            data_centre: id::DataCentre::new_static("local"),
            callers_address: SocketAddr::from(([127, 0, 0, 1], 8080)),
            operators_address: SocketAddr::from(([127, 0, 0, 1], 8081)),
            peers_address: SocketAddr::from(([127, 0, 0, 1], 8082)),
            operators_key_hash: None,
            metrics_address: None,
            leave_after: Duration::from_secs(2),
            configuration_bound: Duration::from_secs(9),
        }
    }
}
