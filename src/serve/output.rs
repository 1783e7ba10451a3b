//! Writes a generated answer to the caller, streamed or whole.

use smol_str::SmolStr;

use crate::{
    link::front::{Answer, Gone, Head, Reply, Stream},
    serve::{
        Refusal,
        completion::{Delivery, Form, Usage},
        options::REQUEST_HEADER,
    },
};

/// The caller's side of one generated answer.
#[derive(Debug)]
pub(super) struct Output {
    form: Form,
    request: SmolStr,
    text: String,
    channel: Channel,
}

#[derive(Debug)]
enum Channel {
    /// Nothing has been sent.
    Waiting(Reply, Delivery),
    /// The head has been sent.
    Open(Stream),
    /// The caller has gone.
    Closed,
}

impl Output {
    /// Creates an output to which nothing has been written.
    pub(super) fn new(form: Form, request: SmolStr, delivery: Delivery, reply: Reply) -> Output {
        let channel = Channel::Waiting(reply, delivery);
        Output { form, request, text: String::new(), channel }
    }

    /// Returns the text written so far.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Passes tokens on; a whole answer keeps them until its end.
    ///
    /// # Errors
    /// Fails when the caller has gone. The text is kept nevertheless.
    pub(super) fn tokens(&mut self, tokens: &[SmolStr]) -> Result<(), Gone> {
        self.open();
        let mut events = String::new();
        for token in tokens {
            self.text.push_str(token);
            if matches!(self.channel, Channel::Open(_)) {
                events.push_str(&self.form.token(token));
            }
        }
        let sent = match &mut self.channel {
            Channel::Waiting(reply, _) if reply.is_gone() => Err(Gone),
            Channel::Waiting(..) => Ok(()),
            Channel::Open(stream) => stream.send(events),
            Channel::Closed => Err(Gone),
        };
        if sent.is_err() {
            self.channel = Channel::Closed;
        }
        sent
    }

    /// Ends the answer.
    pub(super) fn finish(mut self, finish: &str, usage: Usage) {
        self.open();
        match self.channel {
            Channel::Waiting(reply, _) => {
                let body = self.form.whole(&self.text, finish, usage);
                let answer = Answer::new(200, body)
                    .with_header("content-type", "application/json")
                    .with_header(REQUEST_HEADER, &self.request);
                reply.whole(answer);
            }
            Channel::Open(mut stream) => {
                if stream.send(self.form.end(finish, usage)).is_ok() {
                    stream.finish();
                }
            }
            Channel::Closed => {}
        }
    }

    /// Ends the request without its whole answer; an open stream gets an error event and no end mark.
    pub(super) fn fail(self, refusal: &Refusal) {
        match self.channel {
            Channel::Waiting(reply, _) => reply.whole(refusal.to_answer(&self.request)),
            Channel::Open(mut stream) => {
                if stream.send(format!("data: {}\n\n", refusal.to_json())).is_ok() {
                    stream.finish();
                }
            }
            Channel::Closed => {}
        }
    }

    /// Sends the head of a streamed answer.
    fn open(&mut self) {
        let channel = std::mem::replace(&mut self.channel, Channel::Closed);
        self.channel = match channel {
            Channel::Waiting(reply, Delivery::Streamed) => {
                let head = Head::new(200)
                    .with_header("content-type", "text/event-stream")
                    .with_header("cache-control", "no-store")
                    .with_header(REQUEST_HEADER, &self.request);
                Channel::Open(reply.stream(head))
            }
            other => other,
        };
    }
}
