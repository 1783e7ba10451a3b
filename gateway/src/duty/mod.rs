//! Duties that one host at a time performs for the deployment, under a lease.

use std::time::Duration;

use fuchsiaknot_core::{clock::Moment, id};

use crate::{scaling, usage};

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
    /// Whether the platform refuses calls with a lower fencing token than it has seen.
    pub checks_fence: bool,
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
    tenure: Option<Tenure>,
}

impl State {
    /// Returns this host's authority over the duties; `None` if it has none.
    pub fn tenure(&self, now: Moment) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|it| now < it.ends_at)
    }
}
