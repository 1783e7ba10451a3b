//! Section `host`: identity, addresses and timing of this entry host.

use std::{net::SocketAddr, time::Duration};

use super::{Field, Section, Slot};
use crate::id;

/// Identity, addresses and timing of this entry host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name of the host, unique in the deployment.
    pub name: id::Host,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Address of the callers' port.
    pub callers_address: SocketAddr,
    /// Address of the operators' port.
    pub operators_address: SocketAddr,
    /// Address of the peers' port.
    pub peers_address: SocketAddr,
    /// Hash of the operators' key; without it, the operators' port accepts loopback clients only.
    pub operators_key_hash: Option<String>,
    /// Address that receives statsd metrics over UDP.
    pub metrics_address: Option<SocketAddr>,
    /// Time from the start of leaving until the host refuses new requests.
    pub leave_after: Duration,
    /// Maximum age of the configuration; beyond it, a host that does not hear a majority of the
    /// hosts admits no requests.
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
            configuration_bound: Duration::from_secs(8),
        }
    }
}

impl Section for Host {
    const NAME: &'static str = "host";
    const FIELDS: &'static [Field<Host>] = &[
        Field::required("name", "Name of this entry host, unique in the deployment.", |it| {
            Slot::Name(&mut it.name)
        }),
        Field::required("data_centre", "Data centre of this entry host.", |it| {
            Slot::Name(&mut it.data_centre)
        }),
        Field::optional("callers_address", "Address of the callers' port.", |it| {
            Slot::Address(&mut it.callers_address)
        }),
        Field::optional("operators_address", "Address of the operators' port.", |it| {
            Slot::Address(&mut it.operators_address)
        }),
        Field::optional("peers_address", "Address of the peers' port.", |it| {
            Slot::Address(&mut it.peers_address)
        }),
        Field::optional(
            "operators_key_hash",
            "Hash of the operators' key; without it, the operators' port accepts loopback clients only.",
            |it| Slot::OptionalKeyHash(&mut it.operators_key_hash),
        ),
        Field::optional(
            "metrics_address",
            "Address that receives statsd metrics over UDP.",
            |it| Slot::OptionalAddress(&mut it.metrics_address),
        ),
        Field::optional(
            "leave_after",
            "Time from the start of leaving until the host refuses new requests.",
            |it| Slot::Time(&mut it.leave_after),
        ),
        Field::optional(
            "configuration_bound",
            "Maximum age of the configuration at which a host without a majority of hosts admits requests.",
            |it| Slot::Time(&mut it.configuration_bound),
        ),
    ];
}
