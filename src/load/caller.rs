//! One caller's request: sends it, reads the answer and checks that it is whole.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::Deserialize;
use smol_str::SmolStr;
use ureq::{Agent, Body, http::Response};

use crate::load::{
    arrivals::{Arrival, Ask},
    cluster::{MODEL, SERVICE},
};

/// Time after which a caller gives an answer up.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum End {
    /// The whole answer arrived.
    Whole,
    /// The system refused or gave the request up.
    Refused {
        /// Code of the reason.
        reason: SmolStr,
        /// Verdict.
        verdict: SmolStr,
    },
    /// The connection failed or the stream ended without its end mark.
    Broken,
    /// The answer was complete, but not the answer to this request.
    Wrong,
}

/// What a caller saw; times are real ones.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub(super) end: End,
    /// Time from the planned arrival to the first token.
    pub(super) first_token: Option<Duration>,
    /// Times between tokens.
    pub(super) gaps: Vec<Duration>,
}

/// Sends requests to the entry hosts.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    agent: Agent,
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
struct Failure {
    error: Problem,
}

#[derive(Deserialize)]
struct Problem {
    code: SmolStr,
    verdict: SmolStr,
}

impl Caller {
    pub(super) fn new() -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE))
            .max_idle_connections(1_024)
            .max_idle_connections_per_host(256)
            .build();
        Caller { agent: config.new_agent() }
    }

    /// Sends one request and reads its answer; `planned` is when it was due to be sent.
    pub(super) fn call(
        &self,
        host: SocketAddr,
        key: &str,
        arrival: &Arrival,
        run: u64,
        planned: Instant,
    ) -> Seen {
        match arrival.ask {
            Ask::Order => self.order(host, key, arrival, planned),
            Ask::Text { output, .. } => {
                let body = serde_json::json!({
                    "model": MODEL,
                    "prompt": prompt(arrival, run),
                    "max_tokens": 2 * output + 16,
                    "stream": true,
                });
                self.text(host, key, &body.to_string(), output, planned)
            }
        }
    }

    fn text(&self, host: SocketAddr, key: &str, body: &str, output: u32, planned: Instant) -> Seen {
        let sent = self
            .agent
            .post(format!("http://{host}/v1/completions"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .send(body);
        match sent {
            Ok(answer) if answer.status() == 200 => read(answer, output, planned),
            Ok(answer) => Seen::ended(refused(answer)),
            Err(_) => Seen::ended(End::Broken),
        }
    }

    fn order(&self, host: SocketAddr, key: &str, arrival: &Arrival, planned: Instant) -> Seen {
        let sent = self
            .agent
            .post(format!("http://{host}/v1/services/{SERVICE}/dispatch"))
            .header("authorization", format!("Bearer {key}"))
            .header("idempotency-key", order_key(arrival))
            .header("x-not-repeatable", "true")
            .send("dispatch");
        match sent {
            Ok(answer) if answer.status() == 200 => {
                Seen { end: End::Whole, first_token: Some(planned.elapsed()), gaps: Vec::new() }
            }
            Ok(answer) => Seen::ended(refused(answer)),
            Err(_) => Seen::ended(End::Broken),
        }
    }
}

impl Seen {
    fn ended(end: End) -> Seen {
        Seen { end, first_token: None, gaps: Vec::new() }
    }
}

/// Returns the idempotency key of an order.
pub(super) fn order_key(arrival: &Arrival) -> String {
    format!("order-{}", arrival.number)
}

/// Writes the prompt: a shared start, then words that no other prompt has, then the answer's
/// length.
fn prompt(arrival: &Arrival, run: u64) -> String {
    let Ask::Text { prompt, output, prefix, shared } = arrival.ask else { return String::new() };
    let mut text = String::with_capacity(prompt as usize * 6);
    for word in 0..shared {
        text.push_str(&format!("p{prefix}w{word} "));
    }
    text.push_str(&format!("run{run}n{} ", arrival.number));
    for word in shared + 2..prompt {
        text.push_str(&format!("w{word} "));
    }
    text.push_str(&format!("stop-after={output}"));
    text
}

fn refused(mut answer: Response<Body>) -> End {
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    match serde_json::from_str::<Failure>(&text) {
        Ok(it) => End::Refused { reason: it.error.code, verdict: it.error.verdict },
        Err(_) => End::Broken,
    }
}

fn read(answer: Response<Body>, output: u32, planned: Instant) -> Seen {
    let mut seen = Seen::ended(End::Broken);
    let mut last: Option<Instant> = None;
    let mut words = 0;
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    for line in lines.map_while(Result::ok) {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            seen.end = if words == output { End::Whole } else { End::Wrong };
            continue;
        }
        if let Ok(failure) = serde_json::from_str::<Failure>(data) {
            let Problem { code: reason, verdict } = failure.error;
            seen.end = End::Refused { reason, verdict };
            continue;
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else { continue };
        let count: usize = event.choices.iter().map(|it| it.text.split_whitespace().count()).sum();
        if count == 0 {
            continue;
        }
        words += count as u32;
        let now = Instant::now();
        match last {
            None => seen.first_token = Some(now.duration_since(planned)),
            Some(it) => {
                let gap = now.duration_since(it) / count as u32;
                seen.gaps.extend(std::iter::repeat_n(gap, count));
            }
        }
        last = Some(now);
    }
    seen
}
