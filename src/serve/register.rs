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
pub struct Register {
    entries: Mutex<Slab<Entry>>,
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identifier for logs and answers.
    pub request: SmolStr,
    /// Account that sent it.
    pub customer: id::Customer,
    /// Plan of the account.
    pub plan: id::Plan,
    /// Model or service that it asks for.
    pub asks: SmolStr,
    /// Target that runs it, if any.
    pub target: Option<id::Target>,
    /// Attempts begun.
    pub attempts: id::Attempt,
    /// When it arrived.
    pub arrived: Moment,
}

impl Entry {
    /// Returns the time since the request arrived.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.arrived)
    }
}

impl Register {
    /// Keeps a request registered until the returned guard is dropped.
    pub fn enter(&self, entry: Entry) -> Registered<'_> {
        Registered { register: self, key: self.entries().insert(entry) }
    }

    /// Returns all open requests, the oldest first.
    pub fn list(&self) -> Vec<Entry> {
        let mut list: Vec<Entry> = self.entries().iter().map(|(_, it)| it.clone()).collect();
        list.sort_by_key(|it| it.arrived);
        list
    }

    fn entries(&self) -> MutexGuard<'_, Slab<Entry>> {
        self.entries.lock().expect("register lock poisoned")
    }
}

/// Keeps one request registered.
#[derive(Debug)]
pub struct Registered<'a> {
    register: &'a Register,
    key: usize,
}

impl Registered<'_> {
    /// Notes that an attempt at a target begins.
    pub fn attempt(&self, target: &id::Target) {
        if let Some(entry) = self.register.entries().get_mut(self.key) {
            entry.target = Some(target.clone());
            entry.attempts += 1;
        }
    }
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.register.entries().try_remove(self.key);
    }
}
