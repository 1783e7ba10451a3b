//! Services to which a request may have gone lately: those of the configuration in force and of former
//! ones.

use std::{
    collections::{BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use fuchsiaknot_core::{clock::Moment, id};

use crate::{
    cluster::{continuity::Continuity, stream_origin::STREAM_LIFETIME},
    configuration::{Configuration, Routes},
};

/// Time for which a former configuration is kept. Beyond the lifetime of a stream, it bounds the time
/// for which another host may have gone on by that configuration.
pub const ROUTE_MEMORY: Duration = STREAM_LIFETIME.saturating_mul(2);

/// Former configurations.
#[derive(Debug, Default)]
pub struct RouteHistory {
    /// Routes of former configurations, and the times at which they were replaced.
    former: VecDeque<(Moment, Rc<Configuration>)>,
    continuity: Continuity,
}

impl RouteHistory {
    /// Records that a configuration was replaced.
    pub fn record_former(&mut self, configuration: Rc<Configuration>, now: Moment) {
        self.former.push_back((now, configuration));
    }

    /// Records that the store confirmed the configuration `age` ago.
    pub fn observe(&mut self, age: Duration, now: Moment) {
        self.continuity.observe(age, now);
        while self.former.front().is_some_and(|(at, _)| *at + ROUTE_MEMORY <= now) {
            self.former.pop_front();
        }
    }

    /// Records that the store came back from a copy.
    pub fn interrupt(&mut self) {
        self.continuity.interrupt();
    }

    /// Returns whether all configurations are known that were in force while a stream may have begun.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.continuity.covers(STREAM_LIFETIME, now)
    }

    /// Returns the services to which a request may have gone, given the routes in force.
    pub fn services(&self, current: &Routes, host: &str, path: &str) -> BTreeSet<id::Service> {
        let former = self.former.iter().map(|(_, it)| &it.routes);
        let routes = std::iter::once(current).chain(former).filter_map(|it| it.find(host, path));
        routes.flat_map(|it| it.traffic_split.iter().map(|(service, _)| service.clone())).collect()
    }

    /// Returns whether any configuration was replaced lately.
    pub fn has_former(&self) -> bool {
        !self.former.is_empty()
    }
}
