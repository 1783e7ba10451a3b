//! Number of targets of each service and data centre.
//!
//! Every host counts the work that it places ([`demand`]). The host that holds the duty asks the
//! dispatcher for these counts ([`driver`]) and decides from them what to order ([`plan`]).

pub mod demand;
pub mod driver;
pub mod plan;

use std::{collections::BTreeMap, time::Duration};

use fuchsiaknot_core::id;

/// Bounds on the number of targets of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Smallest number in each data centre.
    pub min: u32,
    /// Largest number in each data centre.
    pub max: u32,
    /// Time from an order to the start of service.
    pub boot_time: Duration,
    /// Price of a target that may be withdrawn, as a share of the price of another one; `None` if
    /// there are none.
    pub withdrawable_price: Option<f64>,
    /// Price of a target by data centre.
    pub prices: BTreeMap<id::DataCentre, f64>,
}

/// An order for a number of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Service of the targets.
    pub service: id::Service,
    /// Data centre of the targets.
    pub data_centre: id::DataCentre,
    /// Number of targets of this kind that the data centre is to have.
    pub count: u32,
    /// Whether the order is for targets that may be withdrawn on short notice.
    pub withdrawable: bool,
}

/// State of the scaling on this host.
#[derive(Debug, Default)]
pub struct State {
    /// Work that this host placed.
    pub demand: demand::Tracker,
    /// Last reports that other hosts sent to this one while it holds the duty.
    pub reports: demand::Inbox,
}
