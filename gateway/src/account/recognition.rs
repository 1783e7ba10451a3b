//! Decides which account a request is of, and whether it may still be sent to a target.
//!
//! Answers callers of many accounts whose keys are added and removed while their requests are on the
//! way, next to callers with unknown keys and malformed headers.

use std::rc::Rc;

use fuchsiaknot_core::verdict::Reason;
use hyper::{HeaderMap, header};

use crate::{
    account::{Account, Accounts, Digest, Malformed},
    configuration::Route,
};

/// Authentication scheme of the keys.
const SCHEME: &str = "bearer";

/// How far this host may rely on the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether requests with a key may be served.
    pub is_proven: bool,
    /// Whether every configuration that has to be in force is known, so that a key or route that is
    /// unknown here is unknown everywhere.
    pub is_recent: bool,
}

/// Account and key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Account that held the key when the request arrived.
    pub account: Rc<Account>,
    /// Digest of the key.
    pub key: Digest,
}

/// Returns the digest of the key in a request's headers; `None` without one.
///
/// # Errors
/// Fails when there are several `Authorization` headers, or one that is not a single key.
pub fn read_key(headers: &HeaderMap) -> Result<Option<Digest>, Malformed> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Malformed);
    }
    let text = value.to_str().map_err(|_| Malformed)?;
    let (scheme, key) = text.trim().split_once(' ').ok_or(Malformed)?;
    let key = key.trim_start();
    let is_key = key.bytes().all(|it| it.is_ascii_graphic() && it != b',');
    if !scheme.eq_ignore_ascii_case(SCHEME) || !is_key {
        return Err(Malformed);
    }
    Ok(Some(Digest::from(key.as_bytes())))
}

/// Returns the identity of the sender of a request with this key; `None` if it is anonymous.
///
/// A key that is presented has to be valid on each route, since its holder may rely on having
/// revoked it.
///
/// # Errors
/// Returns the reason for refusing the request.
pub fn identify(
    accounts: &Accounts,
    route: &Route,
    key: Result<Option<Digest>, Malformed>,
    knowledge: Knowledge,
) -> Result<Option<Identity>, Reason> {
    let key = key.map_err(|Malformed| Reason::Unauthorised)?;
    let account = key.and_then(|key| accounts.find(&key).cloned());
    match (key, account) {
        (None, _) if route.allows_anonymous => Ok(None),
        (Some(key), Some(account)) if knowledge.is_proven => Ok(Some(Identity { account, key })),
        (Some(_), Some(_)) => Err(Reason::Stale),
        _ if knowledge.is_recent => Err(Reason::Unauthorised),
        _ => Err(Reason::Stale),
    }
}

/// Checks again that a request may be sent, given the accounts of the configuration now in force.
///
/// # Errors
/// Returns the reason for not sending it.
pub fn check(
    identity: &Identity,
    accounts: Option<&Accounts>,
    knowledge: Knowledge,
) -> Result<(), Reason> {
    if !knowledge.is_proven {
        return Err(Reason::Stale);
    }
    let Some(accounts) = accounts else { return Ok(()) };
    match accounts.find(&identity.key) {
        Some(account) if account.name == identity.account.name => Ok(()),
        // The key moved to another account, as which a repeated request is recognised.
        Some(_) => Err(Reason::Stale),
        None => Err(Reason::Unauthorised),
    }
}
