//! A caller of the demo.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use ureq::Agent;

use super::{Error, KEY, MODEL, ORDER, SERVICE};
use crate::serve::{IDEMPOTENCY_KEY_HEADER, NOT_REPEATABLE_HEADER};

/// Time allowed for one call.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Tokens asked for.
const MAX_TOKENS: u32 = 24;
/// Last event of a stream.
const DONE: &str = "[DONE]";

/// Calls one entry host.
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
            .timeout_global(Some(CALL_TIME))
            .http_status_as_error(false)
            .build();
        Caller { address, agent: config.into() }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks which hosts to use, the best first.
    pub(super) fn hosts(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut answer = self.agent.get(self.url("/v1/hosts")).call()?;
        let hosts: Hosts = answer.body_mut().read_json()?;
        Ok(hosts.hosts.into_iter().map(|it| it.address).collect())
    }

    /// Returns whether the host serves callers and knows its targets.
    pub(super) fn is_ready(&self) -> bool {
        let ready = self.agent.get(self.url("/health/ready")).call();
        let models =
            self.agent.get(self.url("/v1/models")).header("authorization", bearer()).call();
        let models = models.and_then(|mut it| it.body_mut().read_to_string());
        ready.is_ok_and(|it| it.status() == 200) && models.is_ok_and(|it| it.contains(MODEL))
    }

    /// Streams a chat completion, passes each token on and returns their number.
    pub(super) fn stream(&self, prompt: &str, token: impl Fn(&str)) -> Result<u32, Error> {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": MAX_TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = self.agent.post(self.url("/v1/chat/completions"));
        let answer = request.header("authorization", bearer()).send_json(body)?;
        let mut tokens = 0;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == DONE {
                return Ok(tokens);
            }
            let chunk: Chunk = serde_json::from_str(data)
                .map_err(|_| Error::Step(format!("the stream broke off: {data}")))?;
            if let Some(text) = chunk.choices.first().and_then(|it| it.delta.content.as_deref()) {
                token(text);
                tokens += 1;
            }
        }
        Err(Error::Step("the stream has no end mark".to_owned()))
    }

    /// Places an order that must not run twice and returns the service's answer.
    pub(super) fn place(&self, key: &str) -> Result<String, Error> {
        let request = self.agent.post(self.url(&format!("/v1/services/{SERVICE}/orders")));
        let request = request.header("authorization", bearer());
        let request =
            request.header(NOT_REPEATABLE_HEADER, "true").header(IDEMPOTENCY_KEY_HEADER, key);
        let mut answer = request.content_type("application/json").send(ORDER)?;
        let text = answer.body_mut().read_to_string()?;
        if answer.status() != 200 {
            return Err(Error::Step(format!("the order got status {}: {text}", answer.status())));
        }
        Ok(text)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn bearer() -> String {
    format!("Bearer {KEY}")
}
