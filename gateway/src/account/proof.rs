//! Proofs that the configuration in force is the newest one: those that this host reads from the
//! store, and those that the store's watchers pass on.
//!
//! They are exchanged only where revocation binds hosts that are cut off.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use serde::{Deserialize, Serialize};

use crate::{
    account::freshness::StoreTime,
    cluster::messages::{self, Kind, Message},
    context::Context,
    store::Snapshot,
};

/// Error of the time of a proof above which this host calls the store again.
const DRIFT_TOLERANCE: Duration = Duration::from_millis(500);

/// The newest configuration at a store time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Era of the store to whose clock the time belongs.
    pub era: id::Era,
    /// Time of the store's clock at which it was read.
    pub at: StoreTime,
    /// Version of the configuration.
    pub version: id::Version,
}

impl Message for Proof {
    const KIND: Kind = 10;
}

/// Registers the handler of the other hosts' proofs.
pub fn register(context: &Context) {
    context.handlers.register(|context, _, proof| handle(context, &proof));
}

fn handle(context: &Rc<Context>, proof: &Proof) {
    let mut state = context.state_mut();
    let in_force = state.configuration.as_ref().map(|it| it.version);
    if in_force.is_some_and(|it| proof.version <= it) {
        state.accounts.freshness.record_proof(proof.era, proof.at, clock::now());
    }
}

/// Records the store time of an answer to a call that was sent at `sent_at`.
pub(crate) fn record_call<C>(
    context: &Context,
    snapshot: &Snapshot<C>,
    call_era: id::Era,
    sent_at: Moment,
) {
    let Some(read_at) = snapshot.read_at else { return };
    let era = snapshot.era.unwrap_or(call_era);
    let freshness = &mut context.state_mut().accounts.freshness;
    freshness.record_call(era, sent_at, read_at, clock::now());
}

/// Records that the configuration in force includes everything that the store held at a time of its
/// clock, and passes it on if this host is a watcher.
pub(crate) fn record_configuration(
    context: &Context,
    era: id::Era,
    read_at: Option<StoreTime>,
    is_watcher: bool,
) {
    let Some(at) = read_at else { return };
    let is_strict = context.bounds().revocation.is_some();
    let mut state = context.state_mut();
    state.accounts.freshness.record_proof(era, at, clock::now());
    let configuration = state.configuration.as_ref().filter(|it| it.accounts.is_some());
    let version = configuration.map(|it| it.version);
    let may_send = is_watcher && is_strict && state.accounts.freshness.is_readable();
    drop(state);
    if let Some(version) = version.filter(|_| may_send) {
        messages::send_to_all(context, &Proof { era, at, version });
    }
}

/// Logs when requests with a key begin to be refused, and when they are served again.
pub(crate) fn log_validity(context: &Context) {
    let Some(bound) = context.bounds().revocation else { return };
    let now = clock::now();
    let mut state = context.state_mut();
    let has_accounts = state.configuration.as_ref().is_some_and(|it| it.accounts.is_some());
    let accounts = &mut state.accounts;
    let age = accounts.freshness.age(now);
    match (accounts.freshness.is_within(bound, now), accounts.unproven_since) {
        (false, None) if has_accounts => {
            accounts.unproven_since = Some(now);
            tracing::warn!(
                code = 8100,
                matter = "keys",
                proven_age_ms = age.map(|it| it.as_millis() as u64),
                "cannot prove that keys are still valid; refusing requests that carry one"
            );
        }
        (true, Some(since)) => {
            accounts.unproven_since = None;
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(code = 8101, matter = "keys", away_ms, "keys proven valid again");
        }
        _ => {}
    }
}

/// Has this host call the store if its clock may have drifted too far from the store's to place
/// proofs in time.
pub(crate) fn renew_call(context: &Context) {
    if context.bounds().revocation.is_none() {
        return;
    }
    let mut state = context.state_mut();
    let is_due = state.accounts.freshness.needs_call(DRIFT_TOLERANCE, clock::now());
    if is_due && state.configuration_watch.is_known() && !state.configuration_watch.is_behind() {
        state.configuration_watch.mark_behind(clock::now());
        context.update_missed.notify_waiters();
    }
}
