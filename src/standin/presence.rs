//! Reports a stand-in target to the platform's host list each second.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use crate::{
    id, settings,
    store::{self, HostList, Kind, Machine, State},
    timer::Timer,
};

/// Time between two reports.
const PERIOD: Duration = Duration::from_secs(1);
/// Time allowed for one report.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Where and as what a stand-in target is listed.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Address of the platform; without one the target is not listed.
    pub platform: Option<SocketAddr>,
    /// Name of the target.
    pub name: id::Target,
    /// Data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// Run of the process.
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

/// What may change about a listed target.
pub(super) struct Listed {
    pub(super) kind: Kind,
    pub(super) address: SocketAddr,
    pub(super) incarnation: id::Incarnation,
}

/// Starts to report the target for as long as it is up; dropping the result stops it.
pub(super) fn report(
    listing: &Listing,
    mut listed: impl FnMut() -> Option<Listed> + Send + 'static,
) -> Timer {
    let timer = Timer::new();
    let Some(platform) = listing.platform else {
        return timer;
    };
    let settings = settings::Platform { address: platform, timeout: TIMEOUT, ..Default::default() };
    let client = store::Client::new(&settings);
    let listing = listing.clone();
    timer.every("presence", PERIOD, move |_| {
        let Some(listed) = listed() else {
            return;
        };
        let machine = Machine {
            name: listing.name.clone(),
            kind: listed.kind,
            data_centre: listing.data_centre.clone(),
            address: listed.address,
            peer_address: None,
            incarnation: listed.incarnation,
            state: State::Live,
        };
        if let Err(err) = client.report(&machine) {
            log::debug!("cannot report to the host list: {err}");
        }
    });
    timer
}
