//! One measured stream.

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
/// Time allowed for one stream.
const CALL_TIME: Duration = Duration::from_secs(60);
/// Last event of a stream.
const DONE: &str = "data: [DONE]";

/// When the parts of one answer arrived, from the start of the call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    /// First token.
    pub(super) first: Duration,
    /// End mark.
    pub(super) whole: Duration,
}

/// Where streams are sent.
#[derive(Debug)]
pub(super) struct Route {
    url: String,
    health: String,
    authorization: Option<String>,
    body: Body,
}

#[derive(Debug)]
enum Body {
    Engine(Generation),
    Host(String),
}

impl Route {
    /// Straight to an engine.
    pub(super) fn direct(engine: SocketAddr, model: &str, tokens: u32) -> Route {
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
        Route {
            url: format!("http://{engine}/v1/completions"),
            health: format!("http://{engine}/report"),
            authorization: None,
            body: Body::Engine(generation),
        }
    }

    /// Through an entry host.
    pub(super) fn host(host: SocketAddr, model: &str, tokens: u32, key: &str) -> Route {
        let body = serde_json::json!({
            "model": model, "prompt": PROMPT, "max_tokens": tokens, "stream": true,
        });
        Route {
            url: format!("http://{host}/v1/completions"),
            health: format!("http://{host}/health/live"),
            authorization: Some(format!("Bearer {key}")),
            body: Body::Host(body.to_string()),
        }
    }

    /// Creates a caller with a connection of its own.
    pub(super) fn caller(&self) -> Caller<'_> {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIME))
            .http_status_as_error(false)
            .build();
        Caller { route: self, agent: config.into() }
    }

    fn body(&self) -> Result<String, Error> {
        match &self.body {
            Body::Host(it) => Ok(it.clone()),
            Body::Engine(it) => {
                let request = smol_str::format_smolstr!("{:016x}", rand::random::<u64>());
                let generation = Generation { request_id: request, ..it.clone() };
                serde_json::to_string(&generation).map_err(|err| Error::Stream(err.to_string()))
            }
        }
    }
}

/// A caller on one route.
pub(super) struct Caller<'a> {
    route: &'a Route,
    agent: Agent,
}

impl Caller<'_> {
    /// Opens the connection.
    pub(super) fn warm(&self) -> Result<(), Error> {
        let answer = self.agent.get(&self.route.health).call().map_err(stream_error)?;
        answer.into_body().read_to_string().map_err(stream_error)?;
        Ok(())
    }

    /// Runs one stream to its end mark.
    pub(super) fn stream(&self) -> Result<Times, Error> {
        let body = self.route.body()?;
        let started = Instant::now();
        let mut request = self.agent.post(&self.route.url).content_type("application/json");
        if let Some(key) = &self.route.authorization {
            request = request.header("authorization", key);
        }
        let answer = request.send(body).map_err(stream_error)?;
        let mut first = None;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line.map_err(|err| Error::Stream(err.to_string()))?;
            if !line.starts_with("data:") {
                continue;
            }
            let first = *first.get_or_insert_with(|| started.elapsed());
            if line == DONE {
                return Ok(Times { first, whole: started.elapsed() });
            }
        }
        Err(Error::Stream("a stream has no end mark".to_owned()))
    }
}

fn stream_error(err: ureq::Error) -> Error {
    Error::Stream(err.to_string())
}
