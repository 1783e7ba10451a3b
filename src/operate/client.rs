//! Client of the operators' interface, used by the command line.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

use super::wire::{
    AnnounceRequest, Attribution, Configuration, Counters, Edit, EditOutcome, Fleet, History,
    Progress, Refusal, ReleaseOutcome, Requests,
};
use crate::id;

/// Timeout of one HTTP call, including the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum attempts of a call that is safe to repeat.
const MAX_ATTEMPTS: u32 = 3;

/// Failure of a call to the operators' port.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The host could not be reached, or the connection failed before the response was complete.
    #[error("no response from {address}: {message}; name another host with --host")]
    Unreachable {
        /// Address of the operators' port.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The key is missing or wrong.
    #[error("{0}")]
    Denied(String),
    /// The host refused the call.
    #[error("{message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Why the call was refused and how to correct it.
        message: String,
    },
    /// The response cannot be parsed; the host may run another version of the software.
    #[error(
        "cannot parse the response: {0}; use the `fuchsiaknot` command of the same version as the host"
    )]
    Malformed(String),
}

/// Client of the operators' port of one host.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    key: Option<String>,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client; `key`, if any, is sent as a bearer token with every call.
    pub fn new(address: SocketAddr, key: Option<String>) -> Client {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Client { address, key, agent: config.into() }
    }

    /// Returns the stored configuration.
    ///
    /// # Errors
    /// Fails when the host or the platform does not answer.
    pub fn configuration(&self) -> Result<Configuration, Error> {
        self.get("/v1/config")
    }

    /// Returns an earlier configuration.
    ///
    /// # Errors
    /// Fails when the host or the platform does not answer, or there is no such version.
    pub fn edition(&self, version: id::Version) -> Result<Configuration, Error> {
        self.get(&format!("/v1/config/{version}"))
    }

    /// Returns the last `count` edits, newest first.
    ///
    /// # Errors
    /// Fails when the host or the platform does not answer.
    pub fn history(&self, count: usize) -> Result<History, Error> {
        self.get(&format!("/v1/config/history?count={count}"))
    }

    /// Returns the rollout progress of a version.
    ///
    /// # Errors
    /// Fails when the host does not answer.
    pub fn progress(&self, version: id::Version) -> Result<Progress, Error> {
        self.get(&format!("/v1/config/in-force?version={version}"))
    }

    /// Stores an edit, with retries when the host does not answer; the edit's token makes them
    /// safe.
    ///
    /// # Errors
    /// Fails when the host does not answer; the edit may then have been stored.
    pub fn edit(&self, edit: &Edit) -> Result<EditOutcome, Error> {
        let mut result = self.post("/v1/config", edit);
        for _ in 1..MAX_ATTEMPTS {
            match result {
                Err(Error::Unreachable { .. }) => result = self.post("/v1/config", edit),
                _ => return result,
            }
        }
        result
    }

    /// Announces a change to the fleet.
    ///
    /// # Errors
    /// Fails when the host does not answer; the announcement may then have been stored.
    pub fn announce(&self, announce: &AnnounceRequest) -> Result<EditOutcome, Error> {
        self.post("/v1/announcements", announce)
    }

    /// Deletes the announcement with the given name.
    ///
    /// # Errors
    /// Fails when the host does not answer; the announcement may then have been deleted.
    pub fn withdraw(&self, id: &str) -> Result<EditOutcome, Error> {
        let request = ureq::http::Request::delete(self.url(&format!("/v1/announcements/{id}")));
        self.call(request, &[])
    }

    /// Releases a target that is held back because of an earlier lease holder's orders.
    ///
    /// # Errors
    /// Fails when the host does not answer; the release may then have been recorded.
    pub fn release(&self, target: &str, author: SmolStr) -> Result<ReleaseOutcome, Error> {
        self.post(&format!("/v1/release/{target}"), &Attribution { author })
    }

    /// Returns the state of the fleet as the host sees it.
    ///
    /// # Errors
    /// Fails when the host does not answer.
    pub fn fleet(&self) -> Result<Fleet, Error> {
        self.get("/v1/fleet")
    }

    /// Returns the open requests of the host.
    ///
    /// # Errors
    /// Fails when the host does not answer.
    pub fn requests(&self) -> Result<Requests, Error> {
        self.get("/v1/requests")
    }

    /// Returns the counters of the host.
    ///
    /// # Errors
    /// Fails when the host does not answer.
    pub fn counters(&self) -> Result<Counters, Error> {
        self.get("/v1/counters")
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.call(ureq::http::Request::get(self.url(path)), &[])
    }

    fn post<A: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<A, Error> {
        let body = serde_json::to_vec(body).map_err(|err| Error::Malformed(err.to_string()))?;
        self.call(ureq::http::Request::post(self.url(path)), &body)
    }

    fn call<A: DeserializeOwned>(
        &self,
        request: ureq::http::request::Builder,
        body: &[u8],
    ) -> Result<A, Error> {
        let unreachable = |message: String| Error::Unreachable { address: self.address, message };
        let mut request = request.header("Content-Type", "application/json");
        if let Some(key) = &self.key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        let request = request.body(body).map_err(|err| unreachable(err.to_string()))?;
        let mut response = self.agent.run(request).map_err(|err| unreachable(err.to_string()))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_string()
            .map_err(|err| unreachable(err.to_string()))?;
        parse_answer(status, &text)
    }
}

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Parses a response body.
///
/// An edit or release that was not carried out has an error status too, but its body is an outcome
/// rather than a [`Refusal`].
fn parse_answer<A: DeserializeOwned>(status: u16, text: &str) -> Result<A, Error> {
    let malformed = |err: serde_json::Error| Error::Malformed(err.to_string());
    if status < 400 {
        return serde_json::from_str(text).map_err(malformed);
    }
    if let Ok(Refusal { message }) = serde_json::from_str(text) {
        return match status {
            401 => Err(Error::Denied(message)),
            _ => Err(Error::Refused { status, message }),
        };
    }
    serde_json::from_str(text).map_err(malformed)
}
