//! Options in a request's header fields, and authentication of the caller.

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
/// Name of the header that says whether a request must run at most once.
pub const NOT_REPEATABLE_HEADER: &str = "x-not-repeatable";
/// Name of the header with the time allowed for the request, in milliseconds.
pub const TIME_ALLOWED_HEADER: &str = "x-time-allowed-ms";
/// Name of the header with the request ID.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What the caller says about repeating a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The header is missing.
    Unspecified,
    /// The request may be repeated.
    Repeatable,
    /// The request must run at most once.
    NotRepeatable,
}

/// Options in a request's header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Random request ID for logs and answers.
    pub request_id: SmolStr,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the request may be repeated.
    pub repeatability: Repeatability,
    /// Time allowed for the request, from its arrival.
    pub time_allowed: Option<Duration>,
}

impl Options {
    /// Parses the header fields.
    ///
    /// # Errors
    /// Refuses a malformed header, and a request that must run at most once but has no idempotency
    /// key.
    pub fn parse(headers: &HeaderMap) -> Result<Options, Refusal> {
        let idempotency_key = field(headers, IDEMPOTENCY_KEY_HEADER)?.map(SmolStr::new);
        if idempotency_key.as_ref().is_some_and(|it| it.is_empty() || MAX_KEY_BYTES < it.len()) {
            let message =
                format!("`{IDEMPOTENCY_KEY_HEADER}` must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::new(Reason::BadRequest, message));
        }
        let repeatability = parse_repeatability(field(headers, NOT_REPEATABLE_HEADER)?)?;
        if repeatability == Repeatability::NotRepeatable && idempotency_key.is_none() {
            let message = format!(
                "a request marked `{NOT_REPEATABLE_HEADER}` needs an `{IDEMPOTENCY_KEY_HEADER}`"
            );
            return Err(Refusal::new(Reason::KeyMissing, message));
        }
        let time_allowed =
            field(headers, TIME_ALLOWED_HEADER)?.map(parse_milliseconds).transpose()?;
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

fn parse_repeatability(text: Option<&str>) -> Result<Repeatability, Refusal> {
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

fn parse_milliseconds(text: &str) -> Result<Duration, Refusal> {
    match text.parse::<u32>() {
        Ok(it) if 0 < it => Ok(Duration::from_millis(u64::from(it))),
        _ => {
            let message = format!("`{TIME_ALLOWED_HEADER}` must be a whole number of milliseconds");
            Err(Refusal::new(Reason::BadRequest, message))
        }
    }
}

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Customer to which the key belongs.
    pub customer: id::Customer,
    /// Plan of the customer.
    pub plan: id::Plan,
    /// Limits of the plan.
    pub limits: Limits,
}

impl Caller {
    /// Authenticates a caller by its bearer key.
    ///
    /// Only hashes are stored and compared, so response times reveal nothing about stored keys.
    ///
    /// # Errors
    /// Refuses a missing or unknown key.
    pub fn authenticate(
        headers: &HeaderMap,
        configuration: &Configuration,
    ) -> Result<Caller, Refusal> {
        let key = field(headers, "authorization")?.and_then(|it| it.strip_prefix("Bearer "));
        let Some(key) = key else {
            return Err(Refusal::new(Reason::Unauthorised, "send `Authorization: Bearer <key>`"));
        };
        let hash = utils::key_hash(key.trim());
        let Some(Customer { name, plan }) = configuration.customers.get(hash.as_str()) else {
            return Err(Refusal::new(Reason::Unauthorised, "the key is not known"));
        };
        let limits = configuration.limits.get(plan).cloned().unwrap_or_default();
        Ok(Caller { customer: name.clone(), plan: plan.clone(), limits })
    }

    /// Checks that the plan includes a model or service.
    ///
    /// # Errors
    /// Refuses a model or service that the plan doesn't include.
    pub fn check_allowed(&self, name: &str) -> Result<(), Refusal> {
        if self.limits.allows(name) {
            return Ok(());
        }
        let message = format!("the plan `{}` does not include `{name}`", self.plan);
        Err(Refusal::new(Reason::ModelNotAllowed, message))
    }
}
