//! Answers that are stored and replayed to later copies of a request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Size up to which a body is stored in the row; larger ones go to the object store.
const MAX_INLINE_BODY_BYTES: usize = 4 << 10;

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header.
    pub name: SmolStr,
    /// Value of the header.
    pub value: SmolStr,
}

/// The complete answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that describe the body.
    pub headers: Vec<Header>,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// An answer as its row holds it; a large body is stored separately.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that describe the body.
    pub headers: Vec<Header>,
    /// The body, or the name of the object that holds it.
    pub body: StoredBody,
}

/// The body of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoredBody {
    /// Body in the row itself.
    Inline(String),
    /// Name of the object that holds the body.
    Object(SmolStr),
}

impl StoredAnswer {
    /// Converts an answer to its form in the row. A body that is too large or not UTF-8 is replaced
    /// by the name that `object_name` returns; the caller uploads it.
    pub fn new(answer: &Answer, object_name: impl FnOnce() -> SmolStr) -> StoredAnswer {
        let inline = match str::from_utf8(&answer.body) {
            Ok(text) if text.len() <= MAX_INLINE_BODY_BYTES => Some(text.to_owned()),
            _ => None,
        };
        let body = match inline {
            Some(text) => StoredBody::Inline(text),
            None => StoredBody::Object(object_name()),
        };
        StoredAnswer { status: answer.status, headers: answer.headers.clone(), body }
    }

    /// Rebuilds the complete answer with the given body.
    pub fn with_body(self, body: Vec<u8>) -> Answer {
        Answer { status: self.status, headers: self.headers, body }
    }
}
