//! The open requests of a host, for operators to look at.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use slab::Slab;
use smol_str::SmolStr;

use crate::{clock::Moment, id};

/// Open requests.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Mutex<Slab<OpenRequest>>,
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequest {
    /// Identifier for logs and answers.
    pub request_id: SmolStr,
    /// Account that sent it.
    pub customer: id::Customer,
    /// Plan of the account.
    pub plan: id::Plan,
    /// Model or service that it model_or_service for.
    pub model_or_service: SmolStr,
    /// Target that runs it, if any.
    pub target: Option<id::Target>,
    /// Attempts begun.
    pub attempts: id::Attempt,
    /// When it arrived.
    pub arrived: Moment,
}

impl OpenRequest {
    /// Returns the time since the request arrived.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.arrived)
    }
}

impl Registry {
    /// Keeps a request registered until the returned guard is dropped.
    pub fn insert(&self, request: OpenRequest) -> RegistryGuard<'_> {
        RegistryGuard { registry: self, key: self.entries().insert(request) }
    }

    /// Returns all open requests, the oldest first.
    pub fn list(&self) -> Vec<OpenRequest> {
        let mut list: Vec<OpenRequest> = self.entries().iter().map(|(_, it)| it.clone()).collect();
        list.sort_by_key(|it| it.arrived);
        list
    }

    fn entries(&self) -> MutexGuard<'_, Slab<OpenRequest>> {
        self.entries.lock().expect("registry lock poisoned")
    }
}

/// Keeps one request registered.
#[derive(Debug)]
pub struct RegistryGuard<'a> {
    registry: &'a Registry,
    key: usize,
}

impl RegistryGuard<'_> {
    /// Notes that an attempt at a target begins.
    pub fn record_attempt(&self, target: &id::Target) {
        if let Some(request) = self.registry.entries().get_mut(self.key) {
            request.target = Some(target.clone());
            request.attempts += 1;
        }
    }
}

impl Drop for RegistryGuard<'_> {
    fn drop(&mut self) {
        self.registry.entries().try_remove(self.key);
    }
}
