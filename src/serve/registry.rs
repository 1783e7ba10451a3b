//! The open requests of a host, listed for operators.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use slab::Slab;
use smol_str::SmolStr;

use crate::{clock::Moment, id};

/// Registry of a host's open requests.
#[derive(Debug, Default)]
pub struct Registry {
    requests: Mutex<Slab<OpenRequest>>,
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequest {
    /// Request ID in logs and answers.
    pub request_id: SmolStr,
    /// Customer that sent the request.
    pub customer: id::Customer,
    /// Plan of the customer.
    pub plan: id::Plan,
    /// Requested model or service.
    pub model_or_service: SmolStr,
    /// Target of the latest attempt; `None` before the first attempt.
    pub target: Option<id::Target>,
    /// Number of attempts begun.
    pub attempts: id::Attempt,
    /// Arrival time.
    pub arrived: Moment,
}

impl OpenRequest {
    /// Returns the time since the request arrived.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.arrived)
    }
}

impl Registry {
    /// Registers a request until the returned guard is dropped.
    pub fn insert(&self, request: OpenRequest) -> RegistryGuard<'_> {
        RegistryGuard { registry: self, key: self.lock().insert(request) }
    }

    /// Returns all open requests, the oldest first.
    pub fn list(&self) -> Vec<OpenRequest> {
        let mut list: Vec<OpenRequest> = self.lock().iter().map(|(_, it)| it.clone()).collect();
        list.sort_by_key(|it| it.arrived);
        list
    }

    fn lock(&self) -> MutexGuard<'_, Slab<OpenRequest>> {
        self.requests.lock().expect("registry lock poisoned")
    }
}

/// Keeps one request registered until dropped.
#[derive(Debug)]
pub struct RegistryGuard<'a> {
    registry: &'a Registry,
    key: usize,
}

impl RegistryGuard<'_> {
    /// Records the start of an attempt at a target.
    pub fn record_attempt(&self, target: &id::Target) {
        if let Some(request) = self.registry.lock().get_mut(self.key) {
            request.target = Some(target.clone());
            request.attempts += 1;
        }
    }
}

impl Drop for RegistryGuard<'_> {
    fn drop(&mut self) {
        self.registry.lock().try_remove(self.key);
    }
}
