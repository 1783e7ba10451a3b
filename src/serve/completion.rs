//! JSON formats of requests for generated text and of their answers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{id, serve::Refusal, utils, verdict::Reason};

/// Limit on generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that a caller may set.
const MAX_TOKENS_LIMIT: u32 = 65_536;

/// API endpoint that the caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// How the answer is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token, as server-sent events.
    Streamed,
    /// As one JSON document.
    Whole,
}

/// A validated request for generated text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Endpoint that received the request.
    pub endpoint: Endpoint,
    /// Delivery of the answer.
    pub delivery: Delivery,
    /// Whether a streamed answer ends with its token usage.
    pub include_usage: bool,
    /// Requested model.
    pub model: id::Model,
    /// Requested adapter, if any.
    pub adapter: Option<SmolStr>,
    /// Prompt text.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
}

impl CompletionRequest {
    /// Parses and validates a request's JSON body.
    ///
    /// # Errors
    /// Refuses a body that is not valid JSON for the endpoint, has an empty model or prompt, or has
    /// `max_tokens` out of range.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<CompletionRequest, Refusal> {
        match endpoint {
            Endpoint::Chat => read::<wire::ChatRequest>(body)?.try_into(),
            Endpoint::Text => read::<wire::TextRequest>(body)?.try_into(),
        }
    }

    /// Returns the request's fingerprint, which is equal for copies of the request.
    pub fn fingerprint(&self) -> id::Fingerprint {
        let adapter = self.adapter.as_deref().unwrap_or_default();
        let parts = [
            self.model.as_bytes(),
            adapter.as_bytes(),
            &self.max_tokens.to_le_bytes(),
            self.prompt.as_bytes(),
        ];
        utils::fingerprint(&parts)
    }
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|err| bad_request(format!("the body is not a valid request: {err}")))
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::new(Reason::BadRequest, message)
}

/// Fields that both endpoints share.
struct CommonFields {
    model: SmolStr,
    adapter: Option<SmolStr>,
    max_tokens: Option<u32>,
    stream: bool,
    stream_options: wire::StreamOptions,
}

impl CommonFields {
    /// Validates the fields.
    fn check(self, endpoint: Endpoint, prompt: String) -> Result<CompletionRequest, Refusal> {
        if self.model.is_empty() {
            return Err(bad_request("`model` is empty"));
        }
        if prompt.trim().is_empty() {
            return Err(bad_request("the prompt is empty"));
        }
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
            return Err(bad_request(format!("`max_tokens` must be 1 to {MAX_TOKENS_LIMIT}")));
        }
        let delivery = if self.stream { Delivery::Streamed } else { Delivery::Whole };
        let CommonFields { model, adapter, stream_options, .. } = self;
        let include_usage = stream_options.include_usage;
        Ok(CompletionRequest {
            endpoint,
            delivery,
            include_usage,
            model,
            adapter,
            prompt,
            max_tokens,
        })
    }
}

/// Formats one answer for the caller's endpoint.
#[derive(Debug, Clone)]
pub(super) struct Formatter {
    endpoint: Endpoint,
    include_usage: bool,
    id: SmolStr,
    model: id::Model,
}

impl Formatter {
    /// Creates the formatter for the answer to one request.
    pub(super) fn new(completion: &CompletionRequest, id: SmolStr) -> Formatter {
        let CompletionRequest { endpoint, include_usage, .. } = *completion;
        Formatter { endpoint, include_usage, id, model: completion.model.clone() }
    }

    /// Returns the server-sent event of one token.
    pub(super) fn token_event(&self, text: &str) -> String {
        self.event(Some(text), None)
    }

    /// Returns a stream's last events: the finish reason, the usage if requested, and `[DONE]`.
    pub(super) fn final_events(&self, finish_reason: &str, usage: Usage) -> String {
        let mut events = self.event(None, Some(finish_reason));
        if self.include_usage {
            events.push_str(&self.chunk(&[], Some(usage)));
        }
        events.push_str("data: [DONE]\n\n");
        events
    }

    /// Returns the answer as one JSON document.
    pub(super) fn body(&self, text: &str, finish_reason: &str, usage: Usage) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => wire::Choice::message(text, finish_reason),
            Endpoint::Text => wire::Choice::text(Some(text), Some(finish_reason)),
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        };
        let response = wire::CompletionResponse {
            id: &self.id,
            object,
            model: &self.model,
            choices: &[choice],
            usage: Some(usage),
        };
        serde_json::to_string(&response).unwrap_or_default()
    }

    fn event(&self, text: Option<&str>, finish_reason: Option<&str>) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => wire::Choice::delta(text, finish_reason),
            Endpoint::Text => wire::Choice::text(text, finish_reason),
        };
        self.chunk(&[choice], None)
    }

    fn chunk(&self, choices: &[wire::Choice<'_>], usage: Option<Usage>) -> String {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let response =
            wire::CompletionResponse { id: &self.id, object, model: &self.model, choices, usage };
        let json = serde_json::to_string(&response).unwrap_or_default();
        format!("data: {json}\n\n")
    }
}

/// Token usage of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u32,
}

impl Usage {
    /// Creates the usage from the numbers of prompt and generated tokens.
    pub(super) fn new(prompt_tokens: u32, completion_tokens: u32) -> Usage {
        let total_tokens = prompt_tokens.saturating_add(completion_tokens);
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }
}

mod wire {
    use super::*;

    #[derive(Deserialize)]
    pub(super) struct ChatRequest {
        model: SmolStr,
        messages: Vec<Message>,
        max_tokens: Option<u32>,
        adapter: Option<SmolStr>,
        #[serde(default)]
        stream: bool,
        #[serde(default)]
        stream_options: StreamOptions,
    }

    #[derive(Default, Deserialize)]
    pub(super) struct StreamOptions {
        #[serde(default)]
        pub(super) include_usage: bool,
    }

    #[derive(Deserialize)]
    struct Message {
        role: SmolStr,
        content: String,
    }

    #[derive(Deserialize)]
    pub(super) struct TextRequest {
        model: SmolStr,
        prompt: String,
        max_tokens: Option<u32>,
        adapter: Option<SmolStr>,
        #[serde(default)]
        stream: bool,
        #[serde(default)]
        stream_options: StreamOptions,
    }

    impl TryFrom<ChatRequest> for CompletionRequest {
        type Error = Refusal;

        fn try_from(it: ChatRequest) -> Result<CompletionRequest, Refusal> {
            if it.messages.is_empty() {
                return Err(bad_request("`messages` is empty"));
            }
            let lines = it.messages.iter().map(|it| format!("{}: {}", it.role, it.content));
            let prompt = lines.collect::<Vec<_>>().join("\n");
            let ChatRequest { model, max_tokens, adapter, stream, stream_options, .. } = it;
            CommonFields { model, adapter, max_tokens, stream, stream_options }
                .check(Endpoint::Chat, prompt)
        }
    }

    impl TryFrom<TextRequest> for CompletionRequest {
        type Error = Refusal;

        fn try_from(it: TextRequest) -> Result<CompletionRequest, Refusal> {
            let TextRequest { model, prompt, max_tokens, adapter, stream, stream_options } = it;
            CommonFields { model, adapter, max_tokens, stream, stream_options }
                .check(Endpoint::Text, prompt)
        }
    }

    #[derive(Serialize)]
    pub(super) struct CompletionResponse<'a> {
        pub(super) id: &'a str,
        pub(super) object: &'a str,
        pub(super) model: &'a str,
        pub(super) choices: &'a [Choice<'a>],
        #[serde(skip_serializing_if = "Option::is_none")]
        pub(super) usage: Option<Usage>,
    }

    #[derive(Serialize)]
    pub(super) struct Choice<'a> {
        index: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        text: Option<&'a str>,
        #[serde(skip_serializing_if = "Option::is_none")]
        delta: Option<ResponseMessage<'a>>,
        #[serde(skip_serializing_if = "Option::is_none")]
        message: Option<ResponseMessage<'a>>,
        finish_reason: Option<&'a str>,
    }

    #[derive(Serialize)]
    struct ResponseMessage<'a> {
        #[serde(skip_serializing_if = "Option::is_none")]
        role: Option<&'a str>,
        #[serde(skip_serializing_if = "Option::is_none")]
        content: Option<&'a str>,
    }

    impl<'a> Choice<'a> {
        fn without_content(finish_reason: Option<&'a str>) -> Choice<'a> {
            Choice { index: 0, text: None, delta: None, message: None, finish_reason }
        }

        pub(super) fn text(text: Option<&'a str>, finish_reason: Option<&'a str>) -> Choice<'a> {
            Choice {
                text: Some(text.unwrap_or_default()),
                ..Choice::without_content(finish_reason)
            }
        }

        pub(super) fn delta(text: Option<&'a str>, finish_reason: Option<&'a str>) -> Choice<'a> {
            let delta = ResponseMessage { role: None, content: text };
            Choice { delta: Some(delta), ..Choice::without_content(finish_reason) }
        }

        pub(super) fn message(text: &'a str, finish_reason: &'a str) -> Choice<'a> {
            let message = ResponseMessage { role: Some("assistant"), content: Some(text) };
            Choice { message: Some(message), ..Choice::without_content(Some(finish_reason)) }
        }
    }
}
