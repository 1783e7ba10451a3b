//! Time that the requests of a route take.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

/// Number of the last requests of a route that count.
const WINDOW: usize = 64;
/// Largest number of routes; all are dropped when there are more, since configurations add and remove
/// routes.
const MAX_ROUTES: usize = 1024;

/// Durations of the last complete requests, by route.
#[derive(Debug, Default)]
pub struct Tracker {
    routes: HashMap<SmolStr, VecDeque<Duration>>,
}

impl Tracker {
    /// Records the time from the arrival of a request to the end of its response.
    pub fn record(&mut self, route: &SmolStr, duration: Duration) {
        if MAX_ROUTES <= self.routes.len() && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let durations = match self.routes.get_mut(route) {
            Some(durations) => durations,
            None => self.routes.entry(route.clone()).or_default(),
        };
        if WINDOW <= durations.len() {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// Returns the time within which the requests of a route usually end: the longest of the last
    /// ones. `None` if none has ended yet.
    pub fn usual(&self, route: &SmolStr) -> Option<Duration> {
        self.routes.get(route)?.iter().max().copied()
    }
}
