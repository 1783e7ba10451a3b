//! Heartbeats of a stand-in target to the platform's host list.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use crate::{
    id, settings,
    store::{self, HostList, Kind, Machine, State},
    timer::Timer,
};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Entry of a stand-in target in the platform's host list.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Address of the platform; `None` sends no heartbeats, so that the target is not listed.
    pub platform: Option<SocketAddr>,
    /// Name of the target.
    pub name: id::Target,
    /// Data centre of the target.
    pub data_centre: id::DataCentre,
    /// Random id of the process; an engine draws a new one when it restarts after a crash.
    pub incarnation: id::Incarnation,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing {
            platform: None,
            name: SmolStr::new_static("target-1"),
            data_centre: SmolStr::new_static("local"),
            incarnation: rand::random(),
        }
    }
}

/// Part of a heartbeat that can change between two of them.
pub(super) struct Instance {
    pub(super) kind: Kind,
    pub(super) address: SocketAddr,
    pub(super) incarnation: id::Incarnation,
}

/// Starts to send heartbeats, but none while `instance` returns `None`.
///
/// Dropping the returned timer stops the heartbeats.
pub(super) fn start(
    listing: &Listing,
    mut instance: impl FnMut() -> Option<Instance> + Send + 'static,
) -> Timer {
    let timer = Timer::new();
    let Some(platform) = listing.platform else {
        return timer;
    };
    let settings =
        settings::Platform { address: platform, timeout: HEARTBEAT_TIMEOUT, ..Default::default() };
    let client = store::Client::new(&settings);
    let listing = listing.clone();
    timer.every("presence", HEARTBEAT_INTERVAL, move |_| {
        let Some(instance) = instance() else {
            return;
        };
        let machine = Machine {
            name: listing.name.clone(),
            kind: instance.kind,
            data_centre: listing.data_centre.clone(),
            address: instance.address,
            peer_address: None,
            incarnation: instance.incarnation,
            state: State::Live,
        };
        if let Err(err) = client.report(&machine) {
            log::debug!("cannot send a heartbeat to the host list: {err}");
        }
    });
    timer
}
