//! What a caller's header fields ask for, and who the caller is.

use std::time::Duration;

use hyper::HeaderMap;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    configuration::{Configuration, Customer, Limits},
    id,
    serve::Refusal,
    utils,
    verdict::Reason,
};

/// Name of the header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Name of the header that marks a request as not repeatable.
pub const NOT_REPEATABLE_HEADER: &str = "x-not-repeatable";
/// Name of the header with the time allowed, in milliseconds.
pub const TIME_ALLOWED_HEADER: &str = "x-time-allowed-ms";
/// Name of the header with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Whether the caller marked a request as not repeatable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The caller said nothing.
    Unspecified,
    /// The request may be repeated.
    Repeatable,
    /// The request must run at most once.
    NotRepeatable,
}

/// What a caller's header fields ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Identifier for logs and answers.
    pub request_id: SmolStr,
    /// Idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// Repeatability of the request.
    pub repeatability: Repeatability,
    /// Time allowed from now.
    pub time_allowed: Option<Duration>,
}

impl Options {
    /// Reads the header fields.
    ///
    /// # Errors
    /// Refuses a malformed key, repeatability or time, and a repeatability without a key.
    pub fn parse(headers: &HeaderMap) -> Result<Options, Refusal> {
        let idempotency_key = field(headers, IDEMPOTENCY_KEY_HEADER)?.map(SmolStr::new);
        if idempotency_key.as_ref().is_some_and(|it| it.is_empty() || MAX_KEY_BYTES < it.len()) {
            let message =
                format!("`{IDEMPOTENCY_KEY_HEADER}` must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::new(Reason::BadRequest, message));
        }
        let repeatability = repeatability(field(headers, NOT_REPEATABLE_HEADER)?)?;
        if repeatability == Repeatability::NotRepeatable && idempotency_key.is_none() {
            let message = format!(
                "a request marked `{NOT_REPEATABLE_HEADER}` needs an `{IDEMPOTENCY_KEY_HEADER}`"
            );
            return Err(Refusal::new(Reason::KeyMissing, message));
        }
        let time_allowed = field(headers, TIME_ALLOWED_HEADER)?.map(milliseconds).transpose()?;
        let request_id = format_smolstr!("{:016x}", rand::random::<u64>());
        Ok(Options { request_id, idempotency_key, repeatability, time_allowed })
    }
}

fn field<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(it) => Ok(Some(it)),
        Err(_) => Err(Refusal::new(Reason::BadRequest, format!("`{name}` is not plain text"))),
    }
}

fn repeatability(text: Option<&str>) -> Result<Repeatability, Refusal> {
    match text {
        None => Ok(Repeatability::Unspecified),
        Some("true" | "1") => Ok(Repeatability::NotRepeatable),
        Some("false" | "0") => Ok(Repeatability::Repeatable),
        Some(_) => {
            let message = format!("`{NOT_REPEATABLE_HEADER}` must be `true` or `false`");
            Err(Refusal::new(Reason::BadRequest, message))
        }
    }
}

fn milliseconds(text: &str) -> Result<Duration, Refusal> {
    match text.parse::<u32>() {
        Ok(it) if 0 < it => Ok(Duration::from_millis(u64::from(it))),
        _ => {
            let message = format!("`{TIME_ALLOWED_HEADER}` must be a whole number of milliseconds");
            Err(Refusal::new(Reason::BadRequest, message))
        }
    }
}

/// A caller whose key was recognised.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Customer's account.
    pub customer: id::Customer,
    /// Plan that the account is on.
    pub plan: id::Plan,
    /// Limits of the plan.
    pub limits: Limits,
}

impl Caller {
    /// Recognises a caller by the bearer key.
    ///
    /// Only hashes are stored and looked up, so the time taken tells nothing about a stored key.
    ///
    /// # Errors
    /// Refuses a missing or unknown key.
    pub fn authenticate(headers: &HeaderMap, contract: &Configuration) -> Result<Caller, Refusal> {
        let key = field(headers, "authorization")?.and_then(|it| it.strip_prefix("Bearer "));
        let Some(key) = key else {
            return Err(Refusal::new(Reason::Unauthorised, "send `Authorization: Bearer <key>`"));
        };
        let hash = utils::key_hash(key.trim());
        let Some(Customer { name, plan }) = contract.customers.get(hash.as_str()) else {
            return Err(Refusal::new(Reason::Unauthorised, "the key is not known"));
        };
        let limits = contract.limits.get(plan).cloned().unwrap_or_default();
        Ok(Caller { customer: name.clone(), plan: plan.clone(), limits })
    }

    /// Checks that the plan includes a model or service.
    ///
    /// # Errors
    /// Refuses when it does not.
    pub fn check_allowed(&self, name: &str) -> Result<(), Refusal> {
        if self.limits.allows(name) {
            return Ok(());
        }
        let message = format!("the plan `{}` does not include `{name}`", self.plan);
        Err(Refusal::new(Reason::ModelNotAllowed, message))
    }
}
