//! HTTP server of the operators' interface.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use rouille::{Request, Response};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    Access, Control, Editor, page,
    wire::{Counters, EditOutcome, Fleet, Host, Refusal, ReleaseOutcome, Requests},
};
use crate::{
    configuration::{Configuration, RawAnnouncement, store},
    host::{Membership, View},
    metric::Metrics,
    refresh::Refresher,
    store::{HostList, ObjectStore, Table},
};

/// Maximum size of a request body, in bytes; the lists of 48,000 client accounts fit.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Number of threads that answer calls.
const WORKER_THREADS: usize = 8;
/// Number of edits returned when the call does not give a count.
const DEFAULT_HISTORY_COUNT: usize = 20;

/// Request handler of the operators' port.
pub struct Service<T, O, L, C> {
    /// Rule that decides who may use the port.
    pub access: Access,
    /// Reads and edits the stored configuration.
    pub editor: Editor<T, O, L>,
    /// Source of the configuration in force on this host.
    pub refresh: Refresher<T, O>,
    /// This host's view of all entry hosts.
    pub membership: Membership<L>,
    /// Groups, targets and open requests of this host.
    pub control: C,
    /// Counters of this host.
    pub metrics: Metrics,
}

/// A running operators' port; stops listening when dropped.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

impl Port {
    /// Returns the address that the port listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        let _ = self.stop.send(());
    }
}

/// The operators' port could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {message}; free the address or change the settings")]
pub struct ListenError {
    address: SocketAddr,
    message: String,
}

/// Starts the operators' port.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn serve<T, O, L, C>(
    address: SocketAddr,
    service: Service<T, O, L, C>,
) -> Result<Port, ListenError>
where
    T: Table,
    O: ObjectStore,
    L: HostList,
    C: Control,
{
    let service = Arc::new(service);
    let server = rouille::Server::new(address, move |request| service.answer(request))
        .map_err(|err| ListenError { address, message: err.to_string() })?
        .pool_size(WORKER_THREADS);
    let address = server.server_addr();
    let (thread, stop) = server.stoppable();
    Ok(Port { address, stop, _thread: thread })
}

impl<T: Table, O: ObjectStore, L: HostList, C: Control> Service<T, O, L, C> {
    /// Answers one call.
    pub fn answer(&self, request: &Request) -> Response {
        let key = presented_key(request);
        if let Err(denied) = self.access.check(request.remote_addr().ip(), key.as_deref()) {
            return refusal(401, &denied.to_string())
                .with_unique_header("WWW-Authenticate", "Basic realm=\"fuchsiaknot\"");
        }
        // Guards against cross-site request forgery: a page of another site can make a browser post
        // a form, but not with this content type.
        let json =
            request.header("Content-Type").is_some_and(|it| it.starts_with("application/json"));
        if request.method() != "GET" && !json {
            return refusal(415, "send the body as application/json");
        }
        self.route(request)
    }

    fn route(&self, request: &Request) -> Response {
        let url = request.url();
        let path: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            ("GET", [""]) => Response::html(page::render(&self.fleet(), &self.counters())),
            ("GET", ["v1", "config"]) => result_response(self.editor.current()),
            ("GET", ["v1", "config", "history"]) => {
                let count = query_parameter(request, "count").unwrap_or(DEFAULT_HISTORY_COUNT);
                result_response(self.editor.history(count))
            }
            ("GET", ["v1", "config", "in-force"]) => match query_parameter(request, "version") {
                Some(version) => Response::json(&self.editor.progress(version)),
                None => refusal(400, "name the version, as in ?version=12"),
            },
            ("GET", ["v1", "config", version]) => match version.parse() {
                Ok(version) => result_response(self.editor.edition(version)),
                Err(_) => refusal(404, "no such version; use a number"),
            },
            ("POST", ["v1", "config"]) => {
                with_body(request, |edit| edit_response(&self.editor.edit(edit)))
            }
            ("POST", ["v1", "announcements"]) => {
                with_body(request, |it| edit_response(&self.editor.announce(&it)))
            }
            ("DELETE", ["v1", "announcements", id]) => {
                let author = request.get_param("author").unwrap_or_default();
                edit_response(&self.editor.withdraw(id, &author.into()))
            }
            ("POST", ["v1", "release", target]) => {
                with_body(request, |it: super::wire::Attribution| {
                    release_response(&self.control.release(target, &it.author))
                })
            }
            ("GET", ["v1", "fleet"]) => Response::json(&self.fleet()),
            ("GET", ["v1", "requests"]) => Response::json(&Requests {
                host: self.membership.own().host,
                requests: self.control.requests(),
            }),
            ("GET", ["v1", "counters"]) => Response::json(&self.counters()),
            _ => refusal(404, "no such path; see docs/operators.md"),
        }
    }

    fn counters(&self) -> Counters {
        Counters { host: self.membership.own().host, counters: self.metrics.counters() }
    }

    fn fleet(&self) -> Fleet {
        let configuration: Arc<Configuration> = self.refresh.configuration();
        let own = self.membership.own();
        let freshness = self.refresh.freshness();
        let mut hosts: Vec<Host> = self.membership.views().iter().map(Host::from).collect();
        let status = if self.membership.is_leaving() { "leaving" } else { "live" };
        hosts.push(Host {
            host: own.host.clone(),
            data_centre: own.data_centre,
            status: status.into(),
            version: Some(configuration.version),
            freshness,
            connections: self.membership.load().connections,
            silent_ms: None,
        });
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        Fleet {
            host: own.host,
            version: configuration.version,
            freshness,
            hosts,
            groups: self.control.groups(),
            targets: self.control.targets(),
            announcements: configuration.announcements.iter().map(RawAnnouncement::from).collect(),
        }
    }
}

impl From<&View> for Host {
    fn from(it: &View) -> Host {
        let millis = |it: std::time::Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        Host {
            host: it.member.host.clone(),
            data_centre: it.member.data_centre.clone(),
            status: it.status.as_str().into(),
            version: it.version,
            freshness: it.freshness,
            connections: it.load.connections,
            silent_ms: it.silent_for.map(millis),
        }
    }
}

/// Returns the operators' key: the bearer token, or the password of basic authentication, which
/// browsers use.
fn presented_key(request: &Request) -> Option<String> {
    let header = request.header("Authorization")?;
    if let Some(key) = header.strip_prefix("Bearer ") {
        return Some(key.trim().to_owned());
    }
    rouille::input::basic_http_auth(request).map(|it| it.password)
}

fn query_parameter<V: std::str::FromStr>(request: &Request, name: &str) -> Option<V> {
    request.get_param(name)?.parse().ok()
}

fn with_body<B: DeserializeOwned>(
    request: &Request,
    answer: impl FnOnce(B) -> Response,
) -> Response {
    let Some(data) = request.data() else { return refusal(400, "the body is missing") };
    let mut body = Vec::new();
    if data.take(MAX_BODY_BYTES + 1).read_to_end(&mut body).is_err() {
        return refusal(400, "the body ended early");
    }
    if MAX_BODY_BYTES < body.len() as u64 {
        return refusal(413, "the body is larger than 16 MiB");
    }
    match serde_json::from_slice(&body) {
        Ok(body) => answer(body),
        Err(err) => refusal(400, &format!("the body is not what this path takes: {err}")),
    }
}

fn edit_response(it: &EditOutcome) -> Response {
    let status = match it {
        EditOutcome::Stored { .. } => 200,
        EditOutcome::Conflict { .. } => 409,
        EditOutcome::Invalid { .. } => 422,
        EditOutcome::NotStored { .. } => 503,
        EditOutcome::Unknown { .. } => 504,
    };
    Response::json(it).with_status_code(status)
}

fn release_response(it: &ReleaseOutcome) -> Response {
    let status = match it {
        ReleaseOutcome::Recorded => 200,
        ReleaseOutcome::NothingToRelease => 404,
        ReleaseOutcome::Failed { .. } => 503,
    };
    Response::json(it).with_status_code(status)
}

fn result_response<V: Serialize>(result: Result<V, store::Error>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(store::Error::Unreadable(row)) => refusal(404, &format!("{row} cannot be read")),
        Err(err) => refusal(503, &format!("{err}")),
    }
}

fn refusal(status: u16, message: &str) -> Response {
    Response::json(&Refusal { message: message.to_owned() }).with_status_code(status)
}
