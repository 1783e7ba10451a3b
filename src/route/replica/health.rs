//! Health of a target: a circuit breaker, and the mean response time of a service's replica.

use std::time::Duration;

use crate::{clock::Moment, cost::Average, route::Config};

/// Doublings after which the ejection time no longer grows.
const MAX_DOUBLINGS: u32 = 16;
/// Number of response times from which their mean is used to compare replicas.
const MIN_RESPONSES: u32 = 8;

/// Circuit breaker of one target, and its mean response time.
///
/// After a failure the target is ejected: it gets no requests for a time that doubles with each
/// consecutive failure. Afterwards a single request is sent as a probe; a complete answer ends the
/// ejection.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    /// End of the ejection time; stays set until a complete answer arrives.
    ejected_until: Option<Moment>,
    /// Whether the one request that is allowed after the ejection time is in flight.
    probe_in_flight: bool,
    /// Mean response time in seconds, of plain services only.
    mean_time: Option<Average>,
}

impl Health {
    /// Returns whether a request may be sent: the target isn't ejected, or the ejection time is
    /// over and no probe is in flight.
    pub(crate) fn usable(&self, now: Moment) -> bool {
        self.ejected_until.is_none_or(|it| it <= now && !self.probe_in_flight)
    }

    /// Records that a request was sent; after an ejection, this request is the probe.
    pub(crate) fn record_sent(&mut self) {
        self.probe_in_flight = self.ejected_until.is_some();
    }

    /// Records a failure and ejects the target, for longer with each consecutive failure.
    pub(crate) fn record_failure(&mut self, config: &Config, now: Moment) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let ejection_time =
            config.base_ejection_time.saturating_mul(1 << doublings).min(config.max_ejection_time);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.eject(now + ejection_time);
    }

    /// Ejects the target without counting a failure.
    pub(crate) fn eject(&mut self, until: Moment) {
        self.ejected_until = Some(until);
        self.probe_in_flight = false;
    }

    /// Records a complete answer, which ends an ejection and resets the count of failures.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.probe_in_flight = false;
    }

    /// Records that a request ended, whatever its outcome, so that the next one may be a probe.
    pub(crate) fn end_probe(&mut self) {
        self.probe_in_flight = false;
    }

    /// Adds the response time of a request to a service's replica.
    pub(crate) fn record_response_time(&mut self, time: Duration, config: &Config) {
        let time = time.as_secs_f64();
        let average = self.mean_time.get_or_insert_with(|| Average::new(time.max(1e-6)));
        average.observe(time, config.cost.gain.max(0.2), config.cost.outlier_factor);
    }

    /// Returns the mean response time, in seconds, once enough requests have been answered.
    pub(crate) fn mean_time(&self) -> Option<f64> {
        self.mean_time.filter(|it| MIN_RESPONSES <= it.count()).map(|it| it.value())
    }

    /// Forgets the response times, so that a replica that was ejected as too slow isn't ejected
    /// again for its old ones.
    pub(crate) fn reset_mean_time(&mut self) {
        self.mean_time = None;
    }
}
