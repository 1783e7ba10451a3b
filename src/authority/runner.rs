//! The periodic tick, and the requests that other parts of the daemon make.

use std::sync::{Arc, Mutex, MutexGuard};

use smol_str::SmolStr;

use super::{
    Config, Fleet, Peers,
    host_index::HostIndex,
    rows,
    state::{GroupState, State},
};
use crate::{
    clock,
    clock::Moment,
    drain, event,
    event::Event,
    id,
    lease::{self, Owner},
    metric::Metrics,
    refresh::Snapshot,
    store::{CallError, Commit, Row, Table, Write},
    target::{Action, Role},
    timer::Timer,
};

/// Maximum number of rounds of lease writes in one tick, and of attempts to record a release;
/// another round follows at once after a conflict.
const MAX_ROUNDS: usize = 4;

/// Error of a request for a group whose lease this host does not hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("this host does not hold the group; its holder is {}", holder.as_deref().unwrap_or("unknown"))]
pub struct NotHolder {
    /// Holder according to the lease last read; `None` if unknown.
    pub holder: Option<id::Host>,
}

/// Manages leases, orders and drains on one entry host; clones share their state.
pub struct Authority<T, F, P> {
    pub(super) inner: Arc<Inner<T, F, P>>,
}

pub(super) struct Inner<T, F, P> {
    pub(super) owner: Owner,
    pub(super) config: Config,
    pub(super) table: T,
    pub(super) fleet: F,
    pub(super) peers: P,
    pub(super) metrics: Metrics,
    state: Mutex<State>,
    /// Serialises ticks.
    tick_lock: Mutex<()>,
    /// Serialises updates of the fleet's drained targets.
    publish_lock: Mutex<()>,
}

impl<T, F, P> Clone for Authority<T, F, P> {
    fn clone(&self) -> Authority<T, F, P> {
        Authority { inner: Arc::clone(&self.inner) }
    }
}

impl<T, F, P> std::fmt::Debug for Authority<T, F, P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Authority").field("owner", &self.inner.owner).finish_non_exhaustive()
    }
}

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    /// Creates the state of the run that `owner` names; [`Authority::start`] begins to act on it.
    pub fn new(
        owner: Owner,
        config: Config,
        table: T,
        fleet: F,
        peers: P,
        metrics: Metrics,
    ) -> Authority<T, F, P> {
        let inner = Inner {
            owner,
            config,
            table,
            fleet,
            peers,
            metrics,
            state: Mutex::default(),
            tick_lock: Mutex::default(),
            publish_lock: Mutex::default(),
        };
        Authority { inner: Arc::new(inner) }
    }

    /// Schedules the ticks on the timer service.
    pub fn start(&self, timer: &Timer) {
        let it = self.clone();
        timer.every("authority", self.inner.config.tick_every, move |_| it.tick());
    }

    /// Returns the keys of the rows that [`Authority::apply_rows`] expects.
    pub fn row_keys(&self) -> Vec<SmolStr> {
        let state = self.state();
        state.groups.keys().flat_map(|it| [lease::row_key(it), crate::order::row_key(it)]).collect()
    }

    /// Updates the leases and groups from the rows of one refresh; ignores other rows.
    pub fn apply_rows(&self, snapshot: &Snapshot) {
        let received_at = clock::now();
        {
            let mut state = self.state();
            for row in &snapshot.rows {
                apply_row(&mut state, row, received_at);
            }
            state.rows_read_at = Some(snapshot.sent_at);
        }
        self.publish_drains();
    }

    /// Requests a change of a target's role.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn request_role(
        &self,
        group: &str,
        target: &id::Target,
        role: Role,
    ) -> Result<(), NotHolder> {
        self.request_change(group, target, Action::Role(role))
    }

    /// Requests a change of a target; the order follows once the target has drained.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn request_change(
        &self,
        group: &str,
        target: &id::Target,
        action: Action,
    ) -> Result<(), NotHolder> {
        self.with_controller(group, |controller| controller.request_change(target, action))
    }

    /// Begins a drain that lasts until [`Authority::end_drain`].
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn begin_drain(
        &self,
        group: &str,
        target: &id::Target,
        purpose: drain::Purpose,
    ) -> Result<(), NotHolder> {
        self.with_controller(group, |controller| controller.begin_drain(target, purpose))
    }

    /// Ends a drain that [`Authority::begin_drain`] began.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn end_drain(&self, group: &str, target: &id::Target) -> Result<(), NotHolder> {
        self.with_controller(group, |controller| controller.end_drain(target))
    }

    /// Records an operator's confirmation that the sender of a target's pending order can no longer
    /// send it; returns whether there was a pending order. Any host may record it.
    ///
    /// # Errors
    /// Fails when the table refuses the write or does not answer, or when other writes keep
    /// conflicting; the call may be repeated safely.
    pub fn release(&self, group: &str, target: &str) -> Result<bool, CallError> {
        let key = crate::order::row_key(group);
        for _ in 0..MAX_ROUNDS {
            let rows = self.inner.table.read(std::slice::from_ref(&key))?;
            let Some(row) = rows.first() else { return Ok(false) };
            let Some(mut group) = rows::parse_group(row) else { return Ok(false) };
            if !group.release(target) {
                return Ok(false);
            }
            group.revision += 1;
            group.token = rand::random();
            let value = Some(crate::order::wire::Group::from(&group).text());
            let write = Write { key: key.clone(), expected: row.version, value };
            if let Commit::Done(_) = self.inner.table.commit(&[write])? {
                event!(Event::TargetReleased, "an operator released the target {target}");
                return Ok(true);
            }
        }
        Err(CallError::Refused("the group's row kept changing".to_owned()))
    }

    /// Releases all leases from the next tick on, and acquires none.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Returns whether this host holds no lease and is sending no order.
    pub fn has_left(&self) -> bool {
        let now = clock::now();
        let state = self.state();
        state.sends_in_flight.is_empty()
            && state.groups.values().all(|it| it.lease.held_epoch(now).is_none())
    }

    /// Does everything that is due now; concurrent calls run one after another.
    pub fn tick(&self) {
        let _turn = self.inner.tick_lock.lock().expect("tick lock poisoned");
        let index = HostIndex::new(&self.inner.fleet.listing());
        self.track_groups(&index);
        if self.is_read_due() {
            self.read_rows();
        }
        for _ in 0..MAX_ROUNDS {
            if !self.advance_leases(&index) {
                break;
            }
        }
        self.record_lease_changes();
        self.advance_orders(&index);
        self.ask_reports(&index);
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("authority lock poisoned")
    }

    pub(super) fn owner(&self) -> &Owner {
        &self.inner.owner
    }

    pub(super) fn fleet(&self) -> &F {
        &self.inner.fleet
    }

    /// Passes the drained targets to the fleet.
    pub(super) fn publish_drains(&self) {
        let _turn = self.inner.publish_lock.lock().expect("publish lock poisoned");
        self.inner.fleet.set_drained(&self.drained_targets());
    }

    /// Passes the group's controller to `update`, if this host holds the group.
    fn with_controller(
        &self,
        group: &str,
        update: impl FnOnce(&mut crate::order::Controller),
    ) -> Result<(), NotHolder> {
        let now = clock::now();
        let mut state = self.state();
        let Some(group_state) = state.groups.get_mut(group) else {
            return Err(NotHolder { holder: None });
        };
        let owner = group_state.lease.record().and_then(|it| it.owner.as_ref());
        let holder = owner.map(|it| it.host.clone());
        let epoch = group_state.lease.held_epoch(now);
        let controller =
            epoch.and_then(|it| group_state.controller_of(it)).ok_or(NotHolder { holder })?;
        update(controller);
        Ok(())
    }

    /// Adds groups that the host list shows, and removes those that neither the list shows nor this
    /// host holds.
    fn track_groups(&self, index: &HostIndex) {
        let now = clock::now();
        let mut state = self.state();
        for group in index.groups.keys() {
            state.groups.entry(group.clone()).or_insert_with(|| {
                let config = self.inner.config.lease.clone();
                GroupState::new(lease::Controller::new(self.inner.owner.clone(), config))
            });
        }
        let listed = |group: &id::Group| index.groups.contains_key(group);
        state.groups.retain(|group, it| listed(group) || it.lease.held_epoch(now).is_some());
    }

    fn is_read_due(&self) -> bool {
        let mut state = self.state();
        let read_now = std::mem::take(&mut state.read_now);
        let interval_passed =
            state.rows_read_at.is_none_or(|it| it + self.inner.config.read_every <= clock::now());
        let has_unknown_write = state.groups.values().any(|it| it.lease.in_flight().is_some());
        read_now || interval_passed || has_unknown_write
    }

    fn read_rows(&self) {
        let keys = self.row_keys();
        if keys.is_empty() {
            return;
        }
        let sent_at = clock::now();
        match self.inner.table.read(&keys) {
            Ok(rows) => self.apply_rows(&Snapshot { sent_at, rows }),
            Err(err) => log::debug!("cannot read the rows of the groups: {err}"),
        }
    }
}

/// Updates a lease or a group from its row; ignores malformed rows and those of unknown groups.
pub(super) fn apply_row(state: &mut State, row: &Row, received_at: Moment) {
    if let Some(group) = row.key.strip_prefix(lease::ROW_PREFIX) {
        let (Some(group_state), Some(record)) =
            (state.groups.get_mut(group), rows::parse_lease(row))
        else {
            return;
        };
        group_state.lease.observe_row(row.version, record, received_at);
    } else if let Some(group) = row.key.strip_prefix(crate::order::ROW_PREFIX) {
        let (Some(group_state), Some(contents)) =
            (state.groups.get_mut(group), rows::parse_group(row))
        else {
            return;
        };
        if let Some(controller) = &mut group_state.controller {
            controller.observe_row(row.version, contents.clone(), received_at);
        }
        if group_state.row.as_ref().is_none_or(|it| it.revision <= contents.revision) {
            group_state.row = Some(contents);
        }
    }
}
