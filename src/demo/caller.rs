//! HTTP client with which the demo calls an entry host.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use ureq::Agent;

use super::{API_KEY, Error, MODEL, ORDER_BODY, SERVICE};
use crate::serve::{IDEMPOTENCY_KEY_HEADER, NOT_REPEATABLE_HEADER};

/// Timeout of one call, including its body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of tokens that a completion asks for.
const MAX_TOKENS: u32 = 24;
/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// HTTP client of one entry host.
#[derive(Debug)]
pub(super) struct Caller {
    address: SocketAddr,
    agent: Agent,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Caller {
    pub(super) fn new(address: SocketAddr) -> Caller {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Caller { address, agent: config.into() }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the callers' addresses of the entry hosts to use, best first.
    pub(super) fn ranked_hosts(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut answer = self.agent.get(self.url("/v1/hosts")).call()?;
        let hosts: Hosts = answer.body_mut().read_json()?;
        Ok(hosts.hosts.into_iter().map(|it| it.address).collect())
    }

    /// Returns whether the host is ready and lists the demo's model.
    pub(super) fn is_ready(&self) -> bool {
        let ready = self.agent.get(self.url("/health/ready")).call();
        let models =
            self.agent.get(self.url("/v1/models")).header("authorization", bearer_token()).call();
        let models = models.and_then(|mut it| it.body_mut().read_to_string());
        ready.is_ok_and(|it| it.status() == 200) && models.is_ok_and(|it| it.contains(MODEL))
    }

    /// Streams a chat completion, passes the text of each token to `on_token` and returns the
    /// number of tokens.
    ///
    /// # Errors
    /// Fails when the call fails, an event is not valid, or the stream ends without its end marker.
    pub(super) fn stream(&self, prompt: &str, on_token: impl Fn(&str)) -> Result<u32, Error> {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": MAX_TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = self.agent.post(self.url("/v1/chat/completions"));
        let answer = request.header("authorization", bearer_token()).send_json(body)?;
        let mut tokens = 0;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == END_MARKER {
                return Ok(tokens);
            }
            let chunk: Chunk = serde_json::from_str(data)
                .map_err(|_| Error::Step(format!("invalid event in the stream: {data}")))?;
            if let Some(text) = chunk.choices.first().and_then(|it| it.delta.content.as_deref()) {
                on_token(text);
                tokens += 1;
            }
        }
        Err(Error::Step("the stream ended without its end marker".to_owned()))
    }

    /// Places an order that must not run twice and returns the body of the service's answer.
    pub(super) fn place_order(&self, idempotency_key: &str) -> Result<String, Error> {
        let request = self.agent.post(self.url(&format!("/v1/services/{SERVICE}/orders")));
        let request = request.header("authorization", bearer_token());
        let request = request
            .header(NOT_REPEATABLE_HEADER, "true")
            .header(IDEMPOTENCY_KEY_HEADER, idempotency_key);
        let mut answer = request.content_type("application/json").send(ORDER_BODY)?;
        let text = answer.body_mut().read_to_string()?;
        if answer.status() != 200 {
            return Err(Error::Step(format!(
                "the order was answered with status {}: {text}",
                answer.status()
            )));
        }
        Ok(text)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn bearer_token() -> String {
    format!("Bearer {API_KEY}")
}
