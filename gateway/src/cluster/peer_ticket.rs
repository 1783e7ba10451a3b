//! Header of a request that one host sends through another.

use fuchsiaknot_core::id;
use hyper::header::{HeaderName, HeaderValue};

use crate::account::Digest;

/// Header with the [`Ticket`].
pub const TICKET_HEADER: HeaderName = HeaderName::from_static("fuchsiaknot-ticket");
/// Size of the header at most, its name included.
pub const MAX_BYTES: usize = 1024;
/// Header of a response that says that the host did not take the request; another host may.
pub const NOT_TAKEN_HEADER: HeaderName = HeaderName::from_static("fuchsiaknot-not-taken");

/// Header of a response with the version of the configuration by which the other host handled the
/// request.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("fuchsiaknot-version");

/// What a host that sends a request on has to know of it.
///
/// Incarnations are random numbers that only the hosts of the system know, from the store and from
/// each other's heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Host that got the request from its caller.
    pub from: id::Host,
    /// Run of that host's process.
    pub from_incarnation: id::Incarnation,
    /// Run of the process that is to send the request on.
    pub to_incarnation: id::Incarnation,
    /// Attempts that may have run the request already.
    pub attempts_sent: u32,
    /// Whether the request is counted in the retry budget of its service already.
    pub is_counted: bool,
    /// Oldest version of the configuration by which the request may be handled.
    pub configuration_version: id::Version,
    /// Digest of the caller's key; `None` for a request without one.
    pub key: Option<Digest>,
}

/// A header value that is no ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the header is not a ticket")]
pub struct Malformed;

impl TryFrom<&HeaderValue> for Ticket {
    type Error = Malformed;

    fn try_from(value: &HeaderValue) -> Result<Ticket, Malformed> {
        let text = value.to_str().map_err(|_| Malformed)?;
        let fields: Vec<&str> = text.split(' ').collect();
        let [from, from_incarnation, to_incarnation, attempts_sent, is_counted, version, key @ ..] =
            &fields[..]
        else {
            return Err(Malformed);
        };
        let key = match key {
            [] => None,
            [digest] => Some(Digest::try_from(*digest).map_err(|_| Malformed)?),
            _ => return Err(Malformed),
        };
        Ok(Ticket {
            from: id::Host::new(from),
            from_incarnation: from_incarnation.parse().map_err(|_| Malformed)?,
            to_incarnation: to_incarnation.parse().map_err(|_| Malformed)?,
            attempts_sent: attempts_sent.parse().map_err(|_| Malformed)?,
            is_counted: is_counted.parse().map_err(|_| Malformed)?,
            configuration_version: version.parse().map_err(|_| Malformed)?,
            key,
        })
    }
}

impl TryFrom<&Ticket> for HeaderValue {
    type Error = hyper::header::InvalidHeaderValue;

    fn try_from(ticket: &Ticket) -> Result<HeaderValue, Self::Error> {
        let Ticket { from, from_incarnation, to_incarnation, .. } = ticket;
        let Ticket { attempts_sent, is_counted, configuration_version, .. } = ticket;
        let mut text = format!(
            "{from} {from_incarnation} {to_incarnation} {attempts_sent} {is_counted} {configuration_version}"
        );
        if let Some(key) = ticket.key {
            text.push_str(&format!(" {key}"));
        }
        HeaderValue::from_str(&text)
    }
}
