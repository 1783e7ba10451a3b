//! The row of a claim.

use smol_str::{SmolStr, format_smolstr};

use crate::{
    claim::{Body, Claimant, Stored},
    id,
};

/// Prefix of the rows that hold claims.
const PREFIX: &str = "claim";
/// Prefix of the objects that hold large answers.
const OBJECT_PREFIX: &str = "answer";

/// How far the request of a claim has come, as its row tells.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum State {
    /// The claimant may have sent the request.
    Claimed,
    /// The claimant never sent the request and never will.
    Abandoned,
    /// The request ran; the answer is missing when it could not be kept.
    Done(Option<Stored>),
}

/// The checked contents of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Random token of the claim.
    pub token: id::Token,
    /// Who claimed.
    pub claimant: Claimant,
    /// Hash of the claimed request.
    pub fingerprint: id::Fingerprint,
    /// How far it has come.
    pub state: State,
}

/// Returns the name of the row that holds the claim of a customer's key.
pub fn row(customer: &str, key: &str) -> SmolStr {
    format_smolstr!("{PREFIX}/{}/{}", escape(customer), escape(key))
}

/// Returns the name of the object that holds a large answer.
pub(super) fn object(customer: &str, key: &str, token: id::Token) -> SmolStr {
    format_smolstr!("{OBJECT_PREFIX}/{}/{}/{token:016x}", escape(customer), escape(key))
}

/// Escapes all but letters, digits, `-` and `_`, so that no two pairs of customer and key share a row
/// and each name fits into a path.
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
    /// Returns the name of the object that holds the answer's body, if one does.
    pub(super) fn object(&self) -> Option<&str> {
        match &self.state {
            State::Done(Some(Stored { body: Body::Object(name), .. })) => Some(name),
            _ => None,
        }
    }
}
