//! Short HTTP calls; answers of any status are returned.

use std::net::SocketAddr;

use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, http::Response};

use super::HANG_GUARD;

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body, as text.
    pub(crate) body: String,
    head: ureq::http::response::Parts,
}

impl Answer {
    /// Returns a header field, or nothing where it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.headers.get(name).map_or("", |it| it.to_str().unwrap())
    }

    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|it| panic!("{it}: {self:?}"))
    }
}

impl From<Response<ureq::Body>> for Answer {
    fn from(response: Response<ureq::Body>) -> Answer {
        let (head, mut body) = response.into_parts();
        let body = body.read_to_string().unwrap();
        Answer { status: head.status.as_u16(), body, head }
    }
}

/// Returns an agent that hands out answers of any status.
pub(crate) fn agent() -> Agent {
    let config = Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(HANG_GUARD)).build().into()
}

/// Sends a `GET`.
pub(crate) fn get(address: SocketAddr, path: &str) -> Answer {
    agent().get(format!("http://{address}{path}")).call().unwrap().into()
}

/// Sends a `POST` with a JSON body.
pub(crate) fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Answer {
    agent().post(format!("http://{address}{path}")).send_json(body).unwrap().into()
}
