//! The configuration that operators write: routes, services and limits on callers.

use std::{collections::HashMap, rc::Rc, time::Duration};

use smol_str::SmolStr;

use fuchsiaknot_core::id;

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Rises with every change, in uneven steps.
    pub version: id::Version,
    /// Where requests go.
    pub routes: Routes,
    /// What the services are, by name.
    pub services: HashMap<id::Service, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time within which a request's head must have arrived.
    pub header_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds for a host that knows no configuration yet.
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// As often as needed.
    Idempotent,
    /// Once at most.
    NonIdempotent,
    /// An event stream, which may go on at another target only when it is resumable.
    Stream {
        /// Whether another target may continue after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a run that may have begun can be followed by another.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// Requests of one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name in the configuration.
    pub name: SmolStr,
    /// Host that the caller names.
    pub host: SmolStr,
    /// Beginning of the path, from slash to slash.
    pub prefix: SmolStr,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, within which it is on time.
    pub latency_objective: Duration,
    /// Longest pause between events at which a stream is still on time.
    pub max_event_gap: Duration,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// Services that requests go to, with their weights.
    pub traffic_split: Vec<(id::Service, u32)>,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the service for a request; `draw` is uniform over all values.
    pub fn choose_service(&self, draw: u64) -> Option<&id::Service> {
        let total: u64 = self.traffic_split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.traffic_split.first().map(|(service, _)| service);
        }
        let mut left = draw % total;
        for (service, weight) in &self.traffic_split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// Routes by host, those with the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    by_host: HashMap<SmolStr, Vec<Rc<Route>>>,
}

impl Routes {
    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(normalized_host(host).as_str())?,
        };
        routes.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }
}

impl FromIterator<Route> for Routes {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> Routes {
        let mut by_host: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(normalized_host(&route.host)).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        Routes { by_host }
    }
}

/// Returns a host in lower case and without its port.
fn normalized_host(host: &str) -> SmolStr {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    SmolStr::new(name.to_ascii_lowercase())
}

/// One service: what runs its requests.
#[derive(Debug, Clone)]
pub struct Service {
    /// Path that answers whether a target is healthy.
    pub health_path: SmolStr,
    /// Connections that one target takes from all hosts together.
    pub max_connections: u32,
    /// What its engines are; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// What is known of a service's engines before they are measured.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit an engine's memory.
    pub kv_capacity_tokens: u64,
    /// Bytes of a token's cache entry.
    pub kv_bytes_per_token: u64,
    /// Rate of an engine's cache transfers, in Mbit/s.
    pub link_mbps: f64,
    /// Time for which a prefilled prompt waits to be fetched.
    pub handle_ttl: Duration,
}
