//! Duties that one host at a time performs for the deployment, under a lease.

pub mod lease;
pub mod runner;

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};

use self::lease::Lease;

use crate::{scaling, usage};

/// Longest time of a call on a duty.
pub const MAX_CALL_TIME: Duration = Duration::from_millis(900);

/// Which duties a deployment has, and their bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Bounds of the usage reports; `None` if the deployment wants none.
    pub usage: Option<usage::Settings>,
    /// Whether the number of targets is to be ordered.
    pub orders_targets: bool,
    /// Calls a second that the platform accepts from all hosts together.
    pub calls_per_second: f64,
    /// Time within which two hosts must not take turns.
    pub turn_interval: Duration,
}

/// Name under which a call on a duty is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential {
    /// Host that holds the lease.
    pub holder: id::Host,
    /// Fencing token of the lease.
    pub epoch: id::Epoch,
}

/// Authority of this host over the duties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// Credential of the calls.
    pub credential: Credential,
    /// Time by which every call must have ended.
    pub ends_at: Moment,
}

/// Why a call on a duty has no effect, or may have none.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another host has used a higher fencing token: this host no longer holds the duty.
    #[error("another host holds the duty")]
    Fenced,
    /// The platform has no targets to give now, or another host has used a higher fencing token:
    /// its answers do not tell the two apart. Within a tenure, no other host has.
    #[error("no targets are available")]
    Unavailable,
    /// The call was refused for now and had no effect.
    #[error("the call was refused: {0}")]
    Refused(String),
    /// No answer arrived; the call may take effect later.
    #[error("no answer: {0}")]
    Lost(String),
}

/// The platform's interface for duties. A call ends before the tenure that it is given.
#[allow(async_fn_in_trait)] // the request path runs on one thread
pub trait Endpoint: Clone + 'static {
    /// Reports the usage of one window.
    ///
    /// # Errors
    /// Fails when the call is refused or unanswered.
    async fn report_usage(&self, tenure: &Tenure, report: &usage::Report) -> Result<(), Error>;

    /// Orders a number of targets.
    ///
    /// # Errors
    /// Fails when the call is refused or unanswered.
    async fn order_targets(&self, tenure: &Tenure, order: &scaling::Order) -> Result<(), Error>;
}

/// State of the duties on this host.
#[derive(Debug, Default)]
pub struct State {
    /// This host's view of the lease; `None` without duties.
    lease: Option<Lease>,
    tenure: Option<Tenure>,
    /// Host that holds the duties, as far as this one knows, and its fencing token.
    holder: Option<Credential>,
    /// Whether this host shuts down and makes no further calls.
    is_leaving: bool,
}

impl State {
    /// Returns this host's authority over the duties; `None` if it has none.
    pub fn tenure(&self, now: Moment) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|it| now < it.ends_at)
    }

    /// Returns the host that holds the duties, as far as this one knows, and its fencing token.
    pub fn holder(&self) -> Option<&Credential> {
        self.holder.as_ref()
    }

    /// Handles the platform's refusal of a call under a tenure, since another host has used a higher
    /// fencing token: this host stops at once.
    pub fn handle_fenced(&mut self, tenure: &Tenure, now: Moment) {
        let is_current = self.tenure.as_ref().is_some_and(|it| it.credential == tenure.credential);
        if let Some(lease) = self.lease.as_mut().filter(|_| is_current) {
            lease.fenced(now);
            self.tenure = None;
            let epoch = tenure.credential.epoch;
            tracing::warn!(
                code = 8122,
                epoch,
                "another host has used a higher fencing token; giving the duties up"
            );
        }
    }

    /// Records the holder of a fencing token, unless a higher one is known.
    fn set_holder(&mut self, holder: Credential) {
        if self.holder.as_ref().is_none_or(|it| it.epoch <= holder.epoch) {
            self.holder = Some(holder);
        }
    }
}
