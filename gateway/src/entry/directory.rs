//! Responses of the auxiliary ports: readiness, the directory of host addresses, and metrics.

use std::{rc::Rc, time::Duration};

use hyper::{Response, StatusCode, header};

use crate::{
    context::Context,
    entry::response::{self, Body},
    logging::Log,
};

/// Longest TTL of a directory response; short, so that callers soon leave a host that shuts down.
const MAX_TTL: Duration = Duration::from_secs(2);

/// Format of the directory's queries and responses.
pub trait Directory {
    /// Returns the data centre in the caller's query string.
    fn data_centre(&self, query: &str) -> Option<String>;

    /// Returns the body of a response with the addresses and their TTL.
    fn response_body(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Vec<u8>;
}

/// Returns the addresses that a caller may use.
pub fn resolve<D: Directory>(context: &Context, directory: &D, query: &str) -> Response<Body> {
    let data_centre = directory.data_centre(query).unwrap_or_default();
    let addresses = context.state().membership.caller_addresses(&data_centre, context.is_ready());
    if addresses.is_empty() {
        return response::local(StatusCode::SERVICE_UNAVAILABLE, "no host is ready", None);
    }
    let ttl = MAX_TTL.min(context.bounds().directory_time);
    let mut response = Response::new(Body::whole(directory.response_body(&addresses, ttl)));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns whether this host accepts callers.
pub fn ready(context: &Context) -> Response<Body> {
    if context.is_ready() {
        return Response::new(Body::whole("ready\n"));
    }
    response::local(StatusCode::SERVICE_UNAVAILABLE, "not ready\n", None)
}

/// Returns the metrics in the Prometheus text format.
pub fn metrics(context: &Rc<Context>) -> Response<Body> {
    let (configuration, targets) = {
        let state = context.state();
        (state.configuration_age_ms(), state.targets_age_ms())
    };
    for (table, age) in [("configuration", configuration), ("targets", targets)] {
        let gauge = context.metrics.table_age.with_label_values(&[table]);
        gauge.set(i64::try_from(age).unwrap_or(i64::MAX));
    }
    for (direction, memory) in
        [("requests", &context.request_memory), ("responses", &context.body_memory)]
    {
        let gauge = context.metrics.body_bytes.with_label_values(&[direction]);
        gauge.set(i64::try_from(memory.used()).unwrap_or(i64::MAX));
    }
    let evicted = context.body_memory.evicted();
    context.metrics.evicted_callers.set(i64::try_from(evicted).unwrap_or(i64::MAX));
    if let Some(age) = context.proven_age_ms() {
        let gauge = context.metrics.table_age.with_label_values(&["keys"]);
        gauge.set(i64::try_from(age).unwrap_or(i64::MAX));
    }
    let dropped = context.log.as_ref().map_or(0, Log::dropped_lines);
    context.metrics.dropped_lines.set(i64::try_from(dropped).unwrap_or(i64::MAX));
    match context.metrics.text() {
        Ok(text) => Response::new(Body::whole(text)),
        Err(err) => {
            tracing::error!(code = 8005, %err, "cannot encode the metrics");
            response::local(StatusCode::INTERNAL_SERVER_ERROR, "metrics unavailable\n", None)
        }
    }
}
