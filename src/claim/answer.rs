//! Answers that are kept for later copies of a request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Largest body that is kept in the row itself, in bytes; larger ones become objects.
const INLINE_BYTES: usize = 4 << 10;

/// A header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header.
    pub name: SmolStr,
    /// Its value.
    pub value: SmolStr,
}

/// The whole answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that belong to the contents.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer as its row refers to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Headers that belong to the contents.
    pub headers: Vec<Header>,
    /// Body or its place.
    pub body: Body,
}

/// Where the body of a stored answer is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Body {
    /// In the row.
    Inline(String),
    /// In the object store under this name.
    Object(SmolStr),
}

impl Stored {
    /// Splits an answer into what its row holds; a body that does not fit goes to `object`.
    pub fn new(answer: &Answer, object: impl FnOnce() -> SmolStr) -> Stored {
        let inline = match str::from_utf8(&answer.body) {
            Ok(text) if text.len() <= INLINE_BYTES => Some(text.to_owned()),
            _ => None,
        };
        let body = match inline {
            Some(text) => Body::Inline(text),
            None => Body::Object(object()),
        };
        Stored { status: answer.status, headers: answer.headers.clone(), body }
    }

    /// Joins the parts of a stored answer with its body.
    pub fn with_body(self, body: Vec<u8>) -> Answer {
        Answer { status: self.status, headers: self.headers, body }
    }
}
