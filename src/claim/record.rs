//! Contents of a claim's row in the table.

use smol_str::{SmolStr, format_smolstr};

use crate::{
    claim::{Claimant, StoredAnswer, StoredBody},
    id,
};

/// Prefix of the keys of rows that hold claims.
const ROW_PREFIX: &str = "claim";
/// Prefix of the names of objects that hold large bodies.
const OBJECT_PREFIX: &str = "answer";

/// State of a claim, as stored in its row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum State {
    /// The claimant may have sent the request.
    Claimed,
    /// The request did not run under this claim and never will.
    Abandoned,
    /// The request ran; `None` if its answer could not be kept.
    Done(Option<StoredAnswer>),
}

/// The validated contents of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Random token that identifies the claim.
    pub token: id::Token,
    /// Owner of the claim.
    pub claimant: Claimant,
    /// Hash of the claimed request.
    pub fingerprint: id::Fingerprint,
    /// State of the claim.
    pub state: State,
}

/// Returns the key of the row that holds the claim for a customer's idempotency key.
pub fn row_key(customer: &str, key: &str) -> SmolStr {
    format_smolstr!("{ROW_PREFIX}/{}/{}", escape(customer), escape(key))
}

/// Returns the name of the object that holds the large body of an answer.
pub(super) fn object_name(customer: &str, key: &str, token: id::Token) -> SmolStr {
    format_smolstr!("{OBJECT_PREFIX}/{}/{}/{token:016x}", escape(customer), escape(key))
}

/// Percent-encodes all bytes except ASCII letters, digits, `-` and `_`, so that no two pairs of
/// customer and key share a row and each name is valid in a URL path.
fn escape(part: &str) -> String {
    let mut escaped = String::with_capacity(part.len());
    for byte in part.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' => escaped.push(byte.into()),
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

impl Record {
    /// Returns the name of the object that holds the answer's body, or `None` if there is no such
    /// object.
    pub(super) fn body_object(&self) -> Option<&str> {
        match &self.state {
            State::Done(Some(StoredAnswer { body: StoredBody::Object(name), .. })) => Some(name),
            _ => None,
        }
    }
}
