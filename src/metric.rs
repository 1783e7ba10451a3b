//! Counters, gauges and durations, sent to statsd; the process also keeps the counters for the
//! operators' interface.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
    time::Duration,
};

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use smol_str::SmolStr;

use crate::verdict::Reason;
pub use crate::verdict::RetryReason;

/// Prefix of every metric's name.
const PREFIX: &str = "fuchsiaknot";

/// Records metrics; clones share their counters.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counters: Arc<Mutex<BTreeMap<SmolStr, i64>>>,
}

impl Metrics {
    /// Creates metrics that are not sent; only the counters are kept.
    pub fn local() -> Metrics {
        Metrics::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Creates metrics that are sent to a statsd server over UDP.
    ///
    /// # Errors
    /// Fails when no UDP socket can be opened.
    pub fn statsd(server: SocketAddr) -> cadence::MetricResult<Metrics> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
        Ok(Metrics::with_client(StatsdClient::from_sink(PREFIX, sink)))
    }

    fn with_client(client: StatsdClient) -> Metrics {
        Metrics { client: Arc::new(client), counters: Arc::default() }
    }

    /// Adds `n` to the counter `name`.
    pub fn add(&self, name: &str, n: i64) {
        let _ = self.client.count(name, n);
        let mut counters = self.counters.lock().expect("counter lock poisoned");
        match counters.get_mut(name) {
            Some(value) => *value += n,
            None => {
                counters.insert(SmolStr::new(name), n);
            }
        }
    }

    /// Counts a refused request under `refused.<reason>`.
    pub fn count_refusal(&self, reason: Reason) {
        self.add(&format!("refused.{}", reason.code()), 1);
    }

    /// Counts a retry under `retried.<reason>`.
    pub fn count_retry(&self, reason: RetryReason) {
        self.add(&format!("retried.{}", reason.code()), 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// Returns all counters by name.
    pub fn counters(&self) -> BTreeMap<SmolStr, i64> {
        self.counters.lock().expect("counter lock poisoned").clone()
    }
}
