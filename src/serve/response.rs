//! Writes generated text to the caller, as a stream or in one piece.

use smol_str::SmolStr;

use crate::{
    link::http_server::{BodySender, Disconnected, Head, Responder, Response},
    serve::{
        Refusal,
        completion::{Delivery, Formatter, Usage},
        options::REQUEST_ID_HEADER,
    },
};

/// Writer of the response to one request for generated text.
#[derive(Debug)]
pub(super) struct ResponseWriter {
    formatter: Formatter,
    request_id: SmolStr,
    text: String,
    channel: Channel,
}

#[derive(Debug)]
enum Channel {
    /// Nothing has been sent yet.
    Unsent(Responder, Delivery),
    /// The response head has been sent; events follow.
    Open(BodySender),
    /// The caller has gone.
    Closed,
}

impl ResponseWriter {
    /// Creates a writer that has sent nothing yet.
    pub(super) fn new(
        formatter: Formatter,
        request_id: SmolStr,
        delivery: Delivery,
        responder: Responder,
    ) -> ResponseWriter {
        let channel = Channel::Unsent(responder, delivery);
        ResponseWriter { formatter, request_id, text: String::new(), channel }
    }

    /// Returns the text written so far.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Sends tokens to the caller, or buffers them if the answer is delivered in one piece.
    ///
    /// # Errors
    /// Fails if the caller has gone; the tokens are still added to the text.
    pub(super) fn write_tokens(&mut self, tokens: &[SmolStr]) -> Result<(), Disconnected> {
        self.start_stream();
        let mut events = String::new();
        for token in tokens {
            self.text.push_str(token);
            if matches!(self.channel, Channel::Open(_)) {
                events.push_str(&self.formatter.token_event(token));
            }
        }
        let sent = match &mut self.channel {
            Channel::Unsent(responder, _) if responder.is_disconnected() => Err(Disconnected),
            Channel::Unsent(..) => Ok(()),
            Channel::Open(stream) => stream.send(events),
            Channel::Closed => Err(Disconnected),
        };
        if sent.is_err() {
            self.channel = Channel::Closed;
        }
        sent
    }

    /// Completes the answer.
    pub(super) fn finish(mut self, finish_reason: &str, usage: Usage) {
        self.start_stream();
        match self.channel {
            Channel::Unsent(responder, _) => {
                let body = self.formatter.body(&self.text, finish_reason, usage);
                let response = Response::new(200, body)
                    .with_header("content-type", "application/json")
                    .with_header(REQUEST_ID_HEADER, &self.request_id);
                responder.send(response);
            }
            Channel::Open(mut stream) => {
                if stream.send(self.formatter.final_events(finish_reason, usage)).is_ok() {
                    stream.finish();
                }
            }
            Channel::Closed => {}
        }
    }

    /// Ends the response with a refusal. An open stream gets an error event and no `[DONE]` event.
    pub(super) fn fail(self, refusal: &Refusal) {
        match self.channel {
            Channel::Unsent(responder, _) => responder.send(refusal.to_response(&self.request_id)),
            Channel::Open(mut stream) => {
                if stream.send(format!("data: {}\n\n", refusal.to_json())).is_ok() {
                    stream.finish();
                }
            }
            Channel::Closed => {}
        }
    }

    /// Sends the head of a streamed response, unless it has been sent.
    fn start_stream(&mut self) {
        let channel = std::mem::replace(&mut self.channel, Channel::Closed);
        self.channel = match channel {
            Channel::Unsent(responder, Delivery::Streamed) => {
                let head = Head::new(200)
                    .with_header("content-type", "text/event-stream")
                    .with_header("cache-control", "no-store")
                    .with_header(REQUEST_ID_HEADER, &self.request_id);
                Channel::Open(responder.start_stream(head))
            }
            other => other,
        };
    }
}
