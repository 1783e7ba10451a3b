//! Client of the operators' interface, for the command line.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

use super::wire::{
    Announce, Configuration, Counters, Edit, Edited, Fleet, History, Progress, Refused, Released,
    Requests, Signed,
};
use crate::id;

/// Time allowed for one call.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Tries of a call that may be repeated.
const TRIES: u32 = 3;

/// A call that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The host does not answer.
    #[error("no answer from {address}: {message}; name another host with --host")]
    Unreachable {
        /// Address of the operators' port.
        address: SocketAddr,
        /// What failed.
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
        /// What is wrong and what to do about it.
        message: String,
    },
    /// The answer cannot be understood; the host may run another version.
    #[error("the answer cannot be understood: {0}; use the command of the hosts' version")]
    Malformed(String),
}

/// Client of one host's operators' port.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    key: Option<String>,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client that presents `key`, if any.
    pub fn new(address: SocketAddr, key: Option<String>) -> Client {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIME))
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

    /// Returns the last edits.
    ///
    /// # Errors
    /// Fails when the host or the platform does not answer.
    pub fn history(&self, count: usize) -> Result<History, Error> {
        self.get(&format!("/v1/config/history?count={count}"))
    }

    /// Returns how far a version has come.
    ///
    /// # Errors
    /// Fails when the host does not answer.
    pub fn progress(&self, version: id::Version) -> Result<Progress, Error> {
        self.get(&format!("/v1/config/in-force?version={version}"))
    }

    /// Stores an edit; the token makes it safe to repeat after a lost answer.
    ///
    /// # Errors
    /// Fails when the host does not answer; the edit may then have been stored.
    pub fn edit(&self, edit: &Edit) -> Result<Edited, Error> {
        let mut result = self.post("/v1/config", edit);
        for _ in 1..TRIES {
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
    pub fn announce(&self, announce: &Announce) -> Result<Edited, Error> {
        self.post("/v1/announcements", announce)
    }

    /// Deletes an announced change.
    ///
    /// # Errors
    /// Fails when the host does not answer; the announcement may then be gone.
    pub fn withdraw(&self, id: &str) -> Result<Edited, Error> {
        let request = ureq::http::Request::delete(self.url(&format!("/v1/announcements/{id}")));
        self.call(request, &[])
    }

    /// Releases a target.
    ///
    /// # Errors
    /// Fails when the host does not answer; the release may then be recorded.
    pub fn release(&self, target: &str, author: SmolStr) -> Result<Released, Error> {
        self.post(&format!("/v1/release/{target}"), &Signed { author })
    }

    /// Returns the fleet.
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
            .limit(BODY_BYTES)
            .read_to_string()
            .map_err(|err| unreachable(err.to_string()))?;
        understand(status, &text)
    }
}

/// Largest answer, in bytes.
const BODY_BYTES: u64 = 64 << 20;

/// Returns the answer, or the refusal when the text is one.
fn understand<A: DeserializeOwned>(status: u16, text: &str) -> Result<A, Error> {
    let malformed = |err: serde_json::Error| Error::Malformed(err.to_string());
    if status < 400 {
        return serde_json::from_str(text).map_err(malformed);
    }
    if let Ok(Refused { message }) = serde_json::from_str(text) {
        return match status {
            401 => Err(Error::Denied(message)),
            _ => Err(Error::Refused { status, message }),
        };
    }
    serde_json::from_str(text).map_err(malformed)
}
