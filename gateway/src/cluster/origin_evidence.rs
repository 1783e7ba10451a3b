//! What shows where a stream without a record began.
//!
//! The host must show that the service has had one software version, and the route one service, in all
//! the time in which the stream may have begun. Its own picture may be old: until the store has shown,
//! after the caller came, that nothing newer exists, the origin is not known.

use std::collections::BTreeSet;

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

use crate::cluster::stream_origin::{Knowledge, Origin};

/// What a host, or several together, know of the versions and services that may have begun a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Versions of the service.
    pub knowledge: Knowledge,
    /// Services to which the route has led while the stream may have begun, as far as known.
    pub services: BTreeSet<id::Service>,
    /// Whether these are all services.
    pub knows_routes: bool,
    /// Newest configuration, if the store has shown since the caller came that there is no newer one,
    /// nor a newer list of targets; `None` if it has not.
    pub newest_configuration: Option<id::Version>,
}

impl Evidence {
    /// Adds what another host knows.
    pub fn merge(&mut self, other: Evidence) {
        self.knowledge.merge(other.knowledge);
        self.services.extend(other.services);
        self.knows_routes |= other.knows_routes;
        self.newest_configuration = self.newest_configuration.max(other.newest_configuration);
    }

    /// Returns whether versions and services were followed for as long as a stream may last.
    pub fn knows_all(&self) -> bool {
        self.knows_routes && self.knowledge.is_complete
    }

    /// Returns where the stream of a service began, at a host with the configuration `in_force`; `None`
    /// if that is not shown.
    pub fn into_origin(self, service: &id::Service, in_force: id::Version) -> Option<Origin> {
        if self.knowledge.record.is_some() {
            return self.knowledge.record;
        }
        let is_current = self.newest_configuration.is_some_and(|it| it <= in_force);
        let is_sole = self.knows_routes && self.services.iter().eq([service]);
        (is_current && is_sole).then(|| self.knowledge.into_origin(Some(service)))?
    }
}
