//! The operators' port.

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
    wire::{Counters, Edited, Fleet, Host, Refused, Released, Requests},
};
use crate::{
    configuration::{Configuration, RawAnnouncement, store},
    host::{Membership, View},
    metric::Metrics,
    refresh::Refresher,
    store::{HostList, ObjectStore, Table},
};

/// Largest body of a call, in bytes; the lists of 48,000 accounts fit.
const BODY_BYTES: u64 = 16 << 20;
/// Threads that answer operators.
const THREADS: usize = 8;
/// Edits in an answer that names no number.
const HISTORY: usize = 20;

/// What the operators' port serves.
pub struct Service<T, O, L, C> {
    /// Who may use it.
    pub access: Access,
    /// Edits of the configuration.
    pub editor: Editor<T, O, L>,
    /// The configuration in force.
    pub refresh: Refresher<T, O>,
    /// The other entry hosts.
    pub membership: Membership<L>,
    /// The other parts of the host.
    pub control: C,
    /// The counters.
    pub metrics: Metrics,
}

/// A running operators' port; dropping it stops it.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

impl Port {
    /// Returns the address that it listens on.
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
pub struct Unavailable {
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
) -> Result<Port, Unavailable>
where
    T: Table,
    O: ObjectStore,
    L: HostList,
    C: Control,
{
    let service = Arc::new(service);
    let server = rouille::Server::new(address, move |request| service.answer(request))
        .map_err(|err| Unavailable { address, message: err.to_string() })?
        .pool_size(THREADS);
    let address = server.server_addr();
    let (thread, stop) = server.stoppable();
    Ok(Port { address, stop, _thread: thread })
}

impl<T: Table, O: ObjectStore, L: HostList, C: Control> Service<T, O, L, C> {
    /// Answers one call.
    pub fn answer(&self, request: &Request) -> Response {
        let key = presented_key(request);
        if let Err(denied) = self.access.check(request.remote_addr().ip(), key.as_deref()) {
            return refuse(401, &denied.to_string())
                .with_unique_header("WWW-Authenticate", "Basic realm=\"fuchsiaknot\"");
        }
        // A page of another site can make a browser send a simple form, but not this type.
        let json =
            request.header("Content-Type").is_some_and(|it| it.starts_with("application/json"));
        if request.method() != "GET" && !json {
            return refuse(415, "send the body as application/json");
        }
        self.route(request)
    }

    fn route(&self, request: &Request) -> Response {
        let url = request.url();
        let path: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            ("GET", [""]) => Response::html(page::render(&self.fleet(), &self.counters())),
            ("GET", ["v1", "config"]) => stored(self.editor.current()),
            ("GET", ["v1", "config", "history"]) => {
                let count = parameter(request, "count").unwrap_or(HISTORY);
                stored(self.editor.history(count))
            }
            ("GET", ["v1", "config", "in-force"]) => match parameter(request, "version") {
                Some(version) => Response::json(&self.editor.progress(version)),
                None => refuse(400, "name the version, as in ?version=12"),
            },
            ("GET", ["v1", "config", version]) => match version.parse() {
                Ok(version) => stored(self.editor.edition(version)),
                Err(_) => refuse(404, "no such version; use a number"),
            },
            ("POST", ["v1", "config"]) => {
                with_body(request, |edit| edited(&self.editor.edit(edit)))
            }
            ("POST", ["v1", "announcements"]) => {
                with_body(request, |it| edited(&self.editor.announce(&it)))
            }
            ("DELETE", ["v1", "announcements", id]) => {
                let author = request.get_param("author").unwrap_or_default();
                edited(&self.editor.withdraw(id, &author.into()))
            }
            ("POST", ["v1", "release", target]) => with_body(request, |it: super::wire::Signed| {
                released(&self.control.release(target, &it.author))
            }),
            ("GET", ["v1", "fleet"]) => Response::json(&self.fleet()),
            ("GET", ["v1", "requests"]) => Response::json(&Requests {
                host: self.membership.own().host,
                requests: self.control.requests(),
            }),
            ("GET", ["v1", "counters"]) => Response::json(&self.counters()),
            _ => refuse(404, "no such path; see docs/operators.md"),
        }
    }

    fn counters(&self) -> Counters {
        Counters { host: self.membership.own().host, counters: self.metrics.counters() }
    }

    fn fleet(&self) -> Fleet {
        let contract: Arc<Configuration> = self.refresh.configuration();
        let own = self.membership.own();
        let freshness = self.refresh.freshness();
        let mut hosts: Vec<Host> = self.membership.views().iter().map(Host::from).collect();
        let status = if self.membership.is_leaving() { "leaving" } else { "live" };
        hosts.push(Host {
            host: own.host.clone(),
            data_centre: own.data_centre,
            status: status.into(),
            version: Some(contract.version),
            freshness,
            connections: self.membership.load().connections,
            silent_ms: None,
        });
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        Fleet {
            host: own.host,
            version: contract.version,
            freshness,
            hosts,
            groups: self.control.groups(),
            targets: self.control.targets(),
            announcements: contract.announcements.iter().map(RawAnnouncement::from).collect(),
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

/// Returns the key of a bearer token, or the password that a browser was given.
fn presented_key(request: &Request) -> Option<String> {
    let header = request.header("Authorization")?;
    if let Some(key) = header.strip_prefix("Bearer ") {
        return Some(key.trim().to_owned());
    }
    rouille::input::basic_http_auth(request).map(|it| it.password)
}

fn parameter<V: std::str::FromStr>(request: &Request, name: &str) -> Option<V> {
    request.get_param(name)?.parse().ok()
}

fn with_body<B: DeserializeOwned>(
    request: &Request,
    answer: impl FnOnce(B) -> Response,
) -> Response {
    let Some(data) = request.data() else { return refuse(400, "the body is missing") };
    let mut body = Vec::new();
    if data.take(BODY_BYTES + 1).read_to_end(&mut body).is_err() {
        return refuse(400, "the body ended early");
    }
    if BODY_BYTES < body.len() as u64 {
        return refuse(413, "the body is larger than 16 MiB");
    }
    match serde_json::from_slice(&body) {
        Ok(body) => answer(body),
        Err(err) => refuse(400, &format!("the body is not what this path takes: {err}")),
    }
}

fn edited(it: &Edited) -> Response {
    let status = match it {
        Edited::Stored { .. } => 200,
        Edited::Conflict { .. } => 409,
        Edited::Invalid { .. } => 422,
        Edited::NotStored { .. } => 503,
        Edited::Unknown { .. } => 504,
    };
    Response::json(it).with_status_code(status)
}

fn released(it: &Released) -> Response {
    let status = match it {
        Released::Recorded => 200,
        Released::NothingToRelease => 404,
        Released::Failed { .. } => 503,
    };
    Response::json(it).with_status_code(status)
}

fn stored<V: Serialize>(result: Result<V, store::Error>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(store::Error::Unreadable(row)) => refuse(404, &format!("{row} cannot be read")),
        Err(err) => refuse(503, &format!("{err}")),
    }
}

fn refuse(status: u16, message: &str) -> Response {
    Response::json(&Refused { message: message.to_owned() }).with_status_code(status)
}
