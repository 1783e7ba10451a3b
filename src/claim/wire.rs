//! JSON format of a claim's row.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    claim::{Claimant, Header, State, StoredAnswer, StoredBody},
    id,
};

/// Contents of a claim's row before validation.
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

/// Error for a row that does not hold a valid claim.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The contents are not JSON, or not in the format of a claim.
    #[error("invalid claim row: {0}")]
    Json(#[from] serde_json::Error),
    /// The fields contradict each other.
    #[error("invalid claim row: {0}")]
    Inconsistent(&'static str),
}

impl TryFrom<&str> for super::Record {
    type Error = ParseError;

    fn try_from(text: &str) -> Result<super::Record, ParseError> {
        serde_json::from_str::<Record>(text)?.try_into()
    }
}

impl From<&super::Record> for String {
    fn from(record: &super::Record) -> String {
        serde_json::to_string(&Record::from(record)).expect("a claim serializes to JSON")
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
    type Error = ParseError;

    fn try_from(raw: Record) -> Result<super::Record, ParseError> {
        let state = match (raw.state, raw.answer) {
            (Progress::Claimed, None) => State::Claimed,
            (Progress::Abandoned, None) => State::Abandoned,
            (Progress::Done, answer) => {
                State::Done(answer.map(StoredAnswer::try_from).transpose()?)
            }
            (Progress::Claimed | Progress::Abandoned, Some(_)) => {
                return Err(ParseError::Inconsistent("answer given, but state is not `done`"));
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

impl From<&StoredAnswer> for Answer {
    fn from(stored: &StoredAnswer) -> Answer {
        let (body, object) = match &stored.body {
            StoredBody::Inline(text) => (Some(text.clone()), None),
            StoredBody::Object(name) => (None, Some(name.clone())),
        };
        Answer { status: stored.status, headers: stored.headers.clone(), body, object }
    }
}

impl TryFrom<Answer> for StoredAnswer {
    type Error = ParseError;

    fn try_from(raw: Answer) -> Result<StoredAnswer, ParseError> {
        let body = match (raw.body, raw.object) {
            (Some(text), None) => StoredBody::Inline(text),
            (None, Some(name)) => StoredBody::Object(name),
            _ => return Err(ParseError::Inconsistent("need one of `body`, `object`")),
        };
        Ok(StoredAnswer { status: raw.status, headers: raw.headers, body })
    }
}
