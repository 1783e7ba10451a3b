//! How much work each target takes while it keeps the objectives of its requests.
//!
//! [`pause`] decides, without I/O; [`report`] carries measurements to the dispatcher.

pub mod pause;
pub mod report;

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use fuchsiaknot_core::{clock::Moment, id};
use slotmap::SecondaryMap;

use crate::{concurrency::pause::Limit, targets::registry::Key};

/// Late pauses at an engine, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Those during which the engine prefilled a prompt.
    pub beside_prompts: u32,
    /// All others.
    pub other: u32,
    /// The longest.
    pub longest: Duration,
}

/// Limits of the targets, as this host knows them.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Limits by service; a service whose streams kept their objective has none.
    pauses: HashMap<id::Service, Limit>,
    /// Time at which a prompt was last placed beside the streams of an engine.
    last_prompts: SecondaryMap<Key, Moment>,
    /// Engines whose streams had long pauses lately, until when no prompt is placed beside them.
    slow_until: SecondaryMap<Key, Moment>,
    /// Time of the last late pause that this host saw itself.
    last_late: Option<Moment>,
    /// Late pauses of all hosts since the last call of [`Tracker::take_worst`].
    totals: SecondaryMap<Key, Total>,
    /// Long pauses that this host has not reported yet.
    unreported: SecondaryMap<Key, pause::Late>,
}

impl Tracker {
    /// Returns the limit on prompt work beside the streams of a service, if it has one.
    pub fn pause_limit(&self, service: &id::Service) -> Option<&Limit> {
        self.pauses.get(service)
    }

    /// Records that a prompt was placed on an engine that generates.
    pub fn record_prompt(&mut self, key: Key, now: Moment) {
        self.last_prompts.insert(key, now);
    }

    /// Records pauses between events at the engines of a service, late or not.
    pub fn record_pauses(&mut self, service: &id::Service, count: u32) {
        if let Some(limit) = self.pauses.get_mut(service) {
            limit.record_pauses(count);
        }
    }

    /// Returns whether an engine is in a slow moment.
    pub fn is_slow(&self, key: Key, now: Moment) -> bool {
        self.slow_until.get(key).is_some_and(|it| now < *it)
    }

    /// Records long pauses at an engine of a service, late or not; returns whether a prompt that the engine
    /// prefilled meanwhile may be their cause.
    pub fn record_late(
        &mut self,
        service: &id::Service,
        key: Key,
        late: pause::Late,
        now: Moment,
    ) -> bool {
        self.slow_until.insert(key, now + pause::SLOW_MOMENT);
        if late.count == 0 {
            return false;
        }
        let begin = now.saturating_sub(late.longest + pause::ATTRIBUTION_MARGIN);
        let is_beside_prompt = self.last_prompts.get(key).is_some_and(|it| begin <= *it);
        if let Some(entry) = self.totals.entry(key) {
            let total = entry.or_default();
            total.longest = total.longest.max(late.longest);
            match is_beside_prompt {
                true => total.beside_prompts += late.count,
                false => total.other += late.count,
            }
        }
        match self.pauses.get_mut(service) {
            Some(limit) => limit.record_late(late, is_beside_prompt),
            None if is_beside_prompt => {
                self.pauses.insert(service.clone(), Limit::new(late, now));
            }
            None => {}
        }
        is_beside_prompt
    }

    /// Updates the limits; returns those that changed noticeably.
    pub fn update(&mut self, now: Moment) -> Vec<(id::Service, pause::Change)> {
        let changes = self.pauses.iter_mut().filter_map(|(service, limit)| {
            let change = limit.update(now)?;
            Some((service.clone(), change))
        });
        changes.collect()
    }

    /// Returns the engines with the most late pauses since the last call, at most `count`.
    pub fn take_worst(&mut self, count: usize) -> Vec<(Key, Total)> {
        let mut totals: Vec<(Key, Total)> = self.totals.drain().collect();
        totals.sort_by_key(|(_, it)| Reverse(it.beside_prompts + it.other));
        totals.truncate(count);
        totals
    }

    /// Adds a pause to this host's next report if it was long; returns whether it is the first one
    /// there.
    ///
    /// A pause that was not late is reported only if others were.
    fn observe(&mut self, key: Key, longest: Duration, objective: Duration, now: Moment) -> bool {
        if longest <= objective.mul_f64(pause::LONG_SHARE) {
            return false;
        }
        let is_late = objective < longest;
        if is_late {
            self.last_late = Some(now);
        }
        if self.last_late.is_none_or(|it| it + pause::LATE_MEMORY < now) {
            return false;
        }
        let late = pause::Late { count: u32::from(is_late), longest, objective };
        let is_first = self.unreported.is_empty();
        if let Some(entry) = self.unreported.entry(key) {
            let sum = entry.or_insert(pause::Late { count: 0, ..late });
            *sum = sum.plus(late);
        }
        is_first
    }

    fn take_unreported(&mut self) -> Vec<(Key, pause::Late)> {
        self.unreported.drain().collect()
    }

    /// Removes a target.
    pub fn forget(&mut self, key: Key) {
        self.last_prompts.remove(key);
        self.slow_until.remove(key);
        self.totals.remove(key);
        self.unreported.remove(key);
    }
}
