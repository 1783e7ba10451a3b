//! Requests of callers that this host has not answered to their end.

use std::{
    cell::RefCell,
    rc::{Rc, Weak},
};

use slotmap::SlotMap;

use crate::entry::job::Job;

slotmap::new_key_type! {
    /// Key of an open request.
    struct Key;
}

/// Open requests, with their jobs once these have been read whole.
#[derive(Debug, Clone, Default)]
pub struct Registry(Rc<RefCell<SlotMap<Key, Weak<Job>>>>);

impl Registry {
    /// Adds a request, which stays open until the guard is dropped.
    pub fn open(&self) -> Guard {
        let key = self.0.borrow_mut().insert(Weak::new());
        Guard { registry: self.clone(), key }
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the jobs of the requests that have been read whole.
    pub fn jobs(&self) -> Vec<Rc<Job>> {
        self.0.borrow().values().filter_map(Weak::upgrade).collect()
    }
}

/// Keeps a request open until it is dropped.
#[derive(Debug)]
pub struct Guard {
    registry: Registry,
    key: Key,
}

impl Guard {
    /// Sets the job of the request.
    pub fn attach(&self, job: &Rc<Job>) {
        if let Some(slot) = self.registry.0.borrow_mut().get_mut(self.key) {
            *slot = Rc::downgrade(job);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.registry.0.borrow_mut().remove(self.key);
    }
}
