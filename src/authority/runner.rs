//! The look that is taken at intervals, and what follows from it.

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

/// Rounds of leases or orders in one look, so that a conflict or a next stage need not wait.
const MAX_ROUNDS: usize = 4;

/// This host does not hold the group's lease.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("this host does not hold the group; its holder is {}", holder.as_deref().unwrap_or("unknown"))]
pub struct NotHolder {
    /// Holder as last read.
    pub holder: Option<id::Host>,
}

/// Leases, orders and drains of one entry host; clones share them.
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
    tick_lock: Mutex<()>,
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
    /// Creates the runner of one run of a host.
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

    /// Starts to look at what is due on the timer service.
    pub fn start(&self, timer: &Timer) {
        let it = self.clone();
        timer.every("authority", self.inner.config.tick_every, move |_| it.tick());
    }

    /// Returns the rows that [`Authority::apply_rows`] takes.
    pub fn row_keys(&self) -> Vec<SmolStr> {
        let state = self.state();
        state.groups.keys().flat_map(|it| [lease::row(it), crate::order::row_key(it)]).collect()
    }

    /// Notes rows that were read in one refresh; rows of other parts are passed over.
    pub fn apply_rows(&self, snapshot: &Snapshot) {
        let received = clock::now();
        {
            let mut state = self.state();
            for row in &snapshot.rows {
                apply_row(&mut state, row, received);
            }
            state.rows_read_at = Some(snapshot.sent_at);
        }
        self.publish_drains();
    }

    /// Asks for a change of a target's role.
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

    /// Asks for any change of a target; it is ordered after a drain.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn request_change(
        &self,
        group: &str,
        target: &id::Target,
        it: Action,
    ) -> Result<(), NotHolder> {
        self.with_controller(group, |controller| controller.request_change(target, it))
    }

    /// Begins a drain that no order ends.
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

    /// Ends a drain that no order ends.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn end_drain(&self, group: &str, target: &id::Target) -> Result<(), NotHolder> {
        self.with_controller(group, |controller| controller.end_drain(target))
    }

    /// Records an operator's word that the sender of a target's pending order can send it no more;
    /// returns whether there was a pending order. Any host may do so.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer; repeating is harmless.
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

    /// Gives all leases back from the next look on, and takes none.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Returns whether this host holds no lease and sends no order.
    pub fn has_left(&self) -> bool {
        let now = clock::now();
        let state = self.state();
        state.sends_in_flight.is_empty()
            && state.groups.values().all(|it| it.lease.epoch(now).is_none())
    }

    /// Looks once at what is due; concurrent calls take turns.
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

    /// Tells the fleet which targets get no new work.
    pub(super) fn publish_drains(&self) {
        let _turn = self.inner.publish_lock.lock().expect("publish lock poisoned");
        self.inner.fleet.set_drained(&self.drained_targets());
    }

    fn with_controller(
        &self,
        group: &str,
        ask: impl FnOnce(&mut crate::order::Controller),
    ) -> Result<(), NotHolder> {
        let now = clock::now();
        let mut state = self.state();
        let Some(group_state) = state.groups.get_mut(group) else {
            return Err(NotHolder { holder: None });
        };
        let owner = group_state.lease.record().and_then(|it| it.owner.as_ref());
        let holder = owner.map(|it| it.host.clone());
        let epoch = group_state.lease.epoch(now);
        let controller =
            epoch.and_then(|it| group_state.controller_of(it)).ok_or(NotHolder { holder })?;
        ask(controller);
        Ok(())
    }

    fn track_groups(&self, index: &HostIndex) {
        let now = clock::now();
        let mut state = self.state();
        for group in index.groups.keys() {
            state.groups.entry(group.clone()).or_insert_with(|| {
                let config = self.inner.config.lease.clone();
                GroupState::new(lease::Machine::new(self.inner.owner.clone(), config))
            });
        }
        let listed = |group: &id::Group| index.groups.contains_key(group);
        state.groups.retain(|group, it| listed(group) || it.lease.epoch(now).is_some());
    }

    fn is_read_due(&self) -> bool {
        let mut state = self.state();
        let read_now = std::mem::take(&mut state.read_now);
        let due =
            state.rows_read_at.is_none_or(|it| it + self.inner.config.read_every <= clock::now());
        let unsettled = state.groups.values().any(|it| it.lease.open().is_some());
        read_now || due || unsettled
    }

    fn read_rows(&self) {
        let keys = self.row_keys();
        if keys.is_empty() {
            return;
        }
        let sent = clock::now();
        match self.inner.table.read(&keys) {
            Ok(rows) => self.apply_rows(&Snapshot { sent_at: sent, rows }),
            Err(fault) => log::debug!("the rows of the groups cannot be read: {fault}"),
        }
    }
}

/// Notes a row of a lease or of a group.
pub(super) fn apply_row(state: &mut State, row: &Row, received: Moment) {
    if let Some(group) = row.key.strip_prefix(lease::ROW_PREFIX) {
        let (Some(group_state), Some(record)) =
            (state.groups.get_mut(group), rows::parse_lease(row))
        else {
            return;
        };
        group_state.lease.observe(row.version, record, received);
    } else if let Some(group) = row.key.strip_prefix(crate::order::ROW_PREFIX) {
        let (Some(group_state), Some(contents)) =
            (state.groups.get_mut(group), rows::parse_group(row))
        else {
            return;
        };
        if let Some(controller) = &mut group_state.controller {
            controller.observe_row(row.version, contents.clone(), received);
        }
        if group_state.row.as_ref().is_none_or(|it| it.revision <= contents.revision) {
            group_state.row = Some(contents);
        }
    }
}
