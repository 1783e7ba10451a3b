//! The JSON form of a claim's row.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    claim::{Body, Claimant, Header, State, Stored},
    id,
};

/// Raw contents of a claim's row.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Record {
    token: id::Token,
    host: id::Host,
    incarnation: id::Incarnation,
    fingerprint: id::Fingerprint,
    state: Progress,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    Claimed,
    Abandoned,
    Done,
}

#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    status: u16,
    headers: Vec<Header>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<SmolStr>,
}

/// A row that is not a claim.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The contents are not the JSON of a claim.
    #[error("not a claim: {0}")]
    Json(#[from] serde_json::Error),
    /// The contents contradict themselves.
    #[error("not a claim: {0}")]
    Inconsistent(&'static str),
}

impl TryFrom<&str> for super::Record {
    type Error = Fault;

    fn try_from(text: &str) -> Result<super::Record, Fault> {
        serde_json::from_str::<Record>(text)?.try_into()
    }
}

impl From<&super::Record> for String {
    fn from(record: &super::Record) -> String {
        serde_json::to_string(&Record::from(record)).expect("a claim has a JSON form")
    }
}

impl From<&super::Record> for Record {
    fn from(record: &super::Record) -> Record {
        let (state, answer) = match &record.state {
            State::Claimed => (Progress::Claimed, None),
            State::Abandoned => (Progress::Abandoned, None),
            State::Done(stored) => (Progress::Done, stored.as_ref().map(Answer::from)),
        };
        Record {
            token: record.token,
            host: record.claimant.host.clone(),
            incarnation: record.claimant.incarnation,
            fingerprint: record.fingerprint,
            state,
            answer,
        }
    }
}

impl TryFrom<Record> for super::Record {
    type Error = Fault;

    fn try_from(raw: Record) -> Result<super::Record, Fault> {
        let state = match (raw.state, raw.answer) {
            (Progress::Claimed, None) => State::Claimed,
            (Progress::Abandoned, None) => State::Abandoned,
            (Progress::Done, answer) => State::Done(answer.map(Stored::try_from).transpose()?),
            (Progress::Claimed | Progress::Abandoned, Some(_)) => {
                return Err(Fault::Inconsistent("an answer without a run"));
            }
        };
        Ok(super::Record {
            token: raw.token,
            claimant: Claimant { host: raw.host, incarnation: raw.incarnation },
            fingerprint: raw.fingerprint,
            state,
        })
    }
}

impl From<&Stored> for Answer {
    fn from(stored: &Stored) -> Answer {
        let (body, object) = match &stored.body {
            Body::Inline(text) => (Some(text.clone()), None),
            Body::Object(name) => (None, Some(name.clone())),
        };
        Answer { status: stored.status, headers: stored.headers.clone(), body, object }
    }
}

impl TryFrom<Answer> for Stored {
    type Error = Fault;

    fn try_from(raw: Answer) -> Result<Stored, Fault> {
        let body = match (raw.body, raw.object) {
            (Some(text), None) => Body::Inline(text),
            (None, Some(name)) => Body::Object(name),
            _ => return Err(Fault::Inconsistent("an answer needs one body")),
        };
        Ok(Stored { status: raw.status, headers: raw.headers, body })
    }
}
