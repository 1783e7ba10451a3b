//! Runs and times one stream.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use ureq::Agent;

use super::Error;
use crate::target::Generation;

/// Prompt of each stream.
const PROMPT: &str = "How much flake ice is in stock";
/// Timeout of one HTTP call, including its streamed body.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Line of the event that ends a stream.
const END_MARKER_LINE: &str = "data: [DONE]";

/// Latencies of one stream, from just before the request is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Latency {
    /// Time to the first token.
    pub(super) first_token: Duration,
    /// Time to the end marker.
    pub(super) total: Duration,
}

/// Server that streams are sent to: an engine or an entry host.
#[derive(Debug)]
pub(super) struct Endpoint {
    url: String,
    /// URL that a caller fetches only to open its connection.
    connect_url: String,
    authorization: Option<String>,
    body: Body,
}

#[derive(Debug)]
enum Body {
    Engine(Generation),
    Host(String),
}

impl Endpoint {
    /// Returns the endpoint that calls an engine directly.
    pub(super) fn direct(engine: SocketAddr, model: &str, tokens: u32) -> Endpoint {
        let generation = Generation {
            request_id: SmolStr::default(),
            model: SmolStr::new(model),
            adapter: None,
            prompt: PROMPT.to_owned(),
            max_tokens: tokens,
            resume_at: 0,
            priority: 0,
            kv: None,
        };
        Endpoint {
            url: format!("http://{engine}/v1/completions"),
            connect_url: format!("http://{engine}/report"),
            authorization: None,
            body: Body::Engine(generation),
        }
    }

    /// Returns the endpoint that calls an entry host.
    pub(super) fn host(host: SocketAddr, model: &str, tokens: u32, key: &str) -> Endpoint {
        let body = serde_json::json!({
            "model": model, "prompt": PROMPT, "max_tokens": tokens, "stream": true,
        });
        Endpoint {
            url: format!("http://{host}/v1/completions"),
            connect_url: format!("http://{host}/health/live"),
            authorization: Some(format!("Bearer {key}")),
            body: Body::Host(body.to_string()),
        }
    }

    /// Creates a caller with its own connection.
    pub(super) fn caller(&self) -> Caller<'_> {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Caller { endpoint: self, agent: config.into() }
    }

    fn body(&self) -> Result<String, Error> {
        match &self.body {
            Body::Host(it) => Ok(it.clone()),
            Body::Engine(it) => {
                let request_id = smol_str::format_smolstr!("{:016x}", rand::random::<u64>());
                let generation = Generation { request_id, ..it.clone() };
                serde_json::to_string(&generation).map_err(|err| Error::Stream(err.to_string()))
            }
        }
    }
}

/// HTTP client of one endpoint.
pub(super) struct Caller<'a> {
    endpoint: &'a Endpoint,
    agent: Agent,
}

impl Caller<'_> {
    /// Opens the connection, so that streams are measured without connection setup.
    pub(super) fn connect(&self) -> Result<(), Error> {
        let answer = self.agent.get(&self.endpoint.connect_url).call().map_err(stream_error)?;
        answer.into_body().read_to_string().map_err(stream_error)?;
        Ok(())
    }

    /// Runs one stream to its end marker and returns its latencies.
    ///
    /// # Errors
    /// Fails when the call fails or the stream ends without its end marker.
    pub(super) fn stream(&self) -> Result<Latency, Error> {
        let body = self.endpoint.body()?;
        let started = Instant::now();
        let mut request = self.agent.post(&self.endpoint.url).content_type("application/json");
        if let Some(authorization) = &self.endpoint.authorization {
            request = request.header("authorization", authorization);
        }
        let answer = request.send(body).map_err(stream_error)?;
        let mut first_token = None;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line.map_err(|err| Error::Stream(err.to_string()))?;
            if !line.starts_with("data:") {
                continue;
            }
            let first_token = *first_token.get_or_insert_with(|| started.elapsed());
            if line == END_MARKER_LINE {
                return Ok(Latency { first_token, total: started.elapsed() });
            }
        }
        Err(Error::Stream("the stream ended without its end marker".to_owned()))
    }
}

fn stream_error(err: ureq::Error) -> Error {
    Error::Stream(err.to_string())
}
