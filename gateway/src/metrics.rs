//! Prometheus metrics of the request path.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use fuchsiaknot_core::verdict::Reason;

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Metrics of one host.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered, by status.
    pub answered: IntCounterVec,
    /// Requests that this host refused or gave up, by reason.
    pub refused: IntCounterVec,
    /// Requests sent to a target, by outcome.
    pub attempts: IntCounterVec,
    /// Retries, by reason.
    pub retried: IntCounterVec,
    /// Calls that reached a target beyond the first of their request, by kind.
    pub further_calls: IntCounterVec,
    /// Notices of targets that want no new requests, by kind.
    pub target_notices: IntCounterVec,
    /// Requests whose caller disconnected.
    pub callers_gone: IntCounter,
    /// Connections opened to targets.
    pub connections_opened: IntCounter,
    /// Connections opened to other hosts.
    pub peer_connections: IntCounter,
    /// Requests that one host sends through another, by this host's role.
    pub peer_requests: IntCounterVec,
    /// Requests beyond their account's share, by the dispatcher's decision.
    pub excess_requests: IntCounterVec,
    /// Whether this host is cut off from all targets.
    pub cut_off: IntGauge,
    /// Datagrams from other hosts that this one cannot read.
    pub unreadable_messages: IntCounter,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Streams whose origin this host has written to the store.
    pub archived_streams: IntCounter,
    /// Checkpoints that this host has written to the store.
    pub checkpoint_writes: IntCounter,
    /// Streams without a record that callers took up, by whether their origin could be shown.
    pub origins_shown: IntCounterVec,
    /// Duration of the stages of a request, in seconds: waiting for placement, until the first
    /// event, between two events, and the whole request.
    pub latency: HistogramVec,
    /// Duration of calls to the store, in seconds, by table; includes long polls.
    pub store_call_time: HistogramVec,
    /// Time since a table was last confirmed by the store, in milliseconds, by table.
    pub table_age: IntGaugeVec,
    /// Known targets of the scaled services, by service, data centre and kind; shown by the host that
    /// holds the duty.
    pub scaled_targets: IntGaugeVec,
    /// Targets that the demand needs, by service and purpose; shown by the host that holds the duty.
    pub needed_targets: IntGaugeVec,
    /// Log lines dropped since the start.
    pub dropped_lines: IntGauge,
    /// Bytes of bodies in memory beyond those that each may have, by direction.
    pub body_bytes: IntGaugeVec,
    /// Callers that were cut for the memory that they held.
    pub evicted_callers: IntGauge,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Era of the store: how often it came back from an earlier copy.
    pub store_era: IntGauge,
    /// Whether this host holds the duties.
    pub duty_held: IntGauge,
    /// Fencing token of the duties' holder, as far as this host knows.
    pub duty_epoch: IntGauge,
    /// Usage reports sent to the platform, by outcome.
    pub usage_reports: IntCounterVec,
    /// Last window whose usage report the platform accepted from this host.
    pub usage_window: IntGauge,
    /// Windows whose usage this host passed over as the holder of the duties.
    pub usage_missed: IntCounter,
    /// Number of known targets.
    pub target_count: IntGauge,
    /// Number of hosts that are up, including this one.
    pub host_count: IntGauge,
    /// Requests that are refused since they crash targets.
    pub recognised_requests: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails when two metrics share a name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new_custom(Some("fuchsiaknot".to_owned()), None)?;
        let counters = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let histograms = |name: &str, help: &str, label| -> prometheus::Result<HistogramVec> {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histograms = HistogramVec::new(options, &[label])?;
            registry.register(Box::new(histograms.clone()))?;
            Ok(histograms)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntGaugeVec> {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok(gauges)
        };
        let table_age =
            Opts::new("belief_age_milliseconds", "Time since a belief was last confirmed.");
        let table_age = IntGaugeVec::new(table_age, &["matter"])?;
        registry.register(Box::new(table_age.clone()))?;
        let body_bytes = Opts::new("body_bytes", "Memory that bodies share, by direction.");
        let body_bytes = IntGaugeVec::new(body_bytes, &["direction"])?;
        registry.register(Box::new(body_bytes.clone()))?;
        let metrics = Metrics {
            body_bytes,
            answered: counters("answered_total", "Requests answered, by status.", "status")?,
            refused: counters("refused_total", "Requests refused, by reason.", "reason")?,
            attempts: counters("attempts_total", "Requests sent, by outcome.", "outcome")?,
            retried: counters("retried_total", "Further attempts, by reason.", "reason")?,
            further_calls: counters(
                "further_calls_total",
                "Calls to targets beyond the first of their request, by kind.",
                "kind",
            )?,
            target_notices: counters(
                "target_notices_total",
                "Targets that said that they are leaving or asked for a pause.",
                "notice",
            )?,
            callers_gone: counter("callers_gone_total", "Requests whose caller went away.")?,
            connections_opened: counter("connections_total", "Connections opened to targets.")?,
            peer_connections: counter(
                "peer_connections_total",
                "Connections opened to other hosts.",
            )?,
            peer_requests: counters(
                "peer_requests_total",
                "Requests that one host sends through another, by this host's role.",
                "role",
            )?,
            excess_requests: counters(
                "excess_requests_total",
                "Requests beyond their account's share that this host decided as the dispatcher.",
                "decision",
            )?,
            cut_off: gauge("cut_off", "Whether this host reaches no target.")?,
            unreadable_messages: counter(
                "unreadable_messages_total",
                "Datagrams from other hosts that this one cannot read.",
            )?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the store, by outcome.",
                "outcome",
            )?,
            archived_streams: counter(
                "archived_streams_total",
                "Streams whose origin was written to the store.",
            )?,
            checkpoint_writes: counter(
                "checkpoint_writes_total",
                "Checkpoints written to the store.",
            )?,
            origins_shown: counters(
                "origins_shown_total",
                "Streams without a record that callers took up, by outcome.",
                "outcome",
            )?,
            latency: histograms("latency_seconds", "Time by stage of a request.", "stage")?,
            store_call_time: histograms(
                "store_call_seconds",
                "Time of calls to the store.",
                "matter",
            )?,
            table_age,
            scaled_targets: gauges(
                "scaled_targets",
                "Known targets of scaled services.",
                &["service", "data_centre", "kind"],
            )?,
            needed_targets: gauges(
                "needed_targets",
                "Targets that the demand on scaled services needs.",
                &["service", "purpose"],
            )?,
            dropped_lines: gauge("log_lines_dropped", "Log lines dropped since the start.")?,
            evicted_callers: gauge("evicted_callers", "Callers cut for the memory they held.")?,
            configuration_version: gauge("configuration_version", "Configuration in force.")?,
            store_era: gauge("store_era", "Times that the store came back from a copy.")?,
            duty_held: gauge("duty_held", "Whether this host holds the duties.")?,
            duty_epoch: gauge("duty_epoch", "Fencing token of the duties' holder.")?,
            usage_reports: counters(
                "usage_reports_total",
                "Usage reports sent to the platform, by outcome.",
                "outcome",
            )?,
            usage_window: gauge("usage_window", "Last window whose report was accepted.")?,
            usage_missed: counter("usage_missed_total", "Windows without a usage report.")?,
            target_count: gauge("targets", "Targets known.")?,
            host_count: gauge("hosts", "Hosts that are there.")?,
            recognised_requests: gauge(
                "recognised_requests",
                "Requests that are refused since they crash targets.",
            )?,
            registry,
        };
        for direction in ["requests", "responses"] {
            metrics.body_bytes.with_label_values(&[direction]);
        }
        for reason in Reason::ALL {
            metrics.refused.with_label_values(&[reason.code()]);
        }
        Ok(metrics)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails when a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
