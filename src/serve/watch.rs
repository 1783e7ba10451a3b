//! Cancels the streams whose caller has gone or whose deadline has passed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use slab::Slab;

use crate::{
    clock::Moment,
    link::{front::Presence, outgoing::Canceller},
};

/// Time between two looks at all streams.
pub const CHECK_EVERY: Duration = Duration::from_millis(50);

/// Streams that are under way on this host.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    streams: Arc<Mutex<Slab<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    presence: Option<Presence>,
    deadline: Moment,
    canceller: Canceller,
}

impl Watch {
    /// Watches a stream until the returned guard is dropped.
    ///
    /// Without `presence` the stream goes on when its caller has gone.
    pub fn add(
        &self,
        presence: Option<Presence>,
        deadline: Moment,
        canceller: Canceller,
    ) -> Watched {
        let entry = Entry { presence, deadline, canceller };
        let key = self.streams.lock().expect("watch lock poisoned").insert(entry);
        Watched { watch: self.clone(), key }
    }

    /// Cancels what nobody waits for any more.
    pub fn check(&self, now: Moment) {
        let cancellers: Vec<Canceller> = {
            let streams = self.streams.lock().expect("watch lock poisoned");
            let ended = streams.iter().filter(|(_, it)| it.is_over(now));
            ended.map(|(_, it)| it.canceller.clone()).collect()
        };
        for canceller in cancellers {
            canceller.cancel();
        }
    }

    /// Returns the number of streams under way.
    pub fn len(&self) -> usize {
        self.streams.lock().expect("watch lock poisoned").len()
    }

    /// Returns whether no stream is under way.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Entry {
    fn is_over(&self, now: Moment) -> bool {
        self.deadline <= now || self.presence.as_ref().is_some_and(Presence::is_gone)
    }
}

/// Keeps a stream watched.
#[derive(Debug)]
pub struct Watched {
    watch: Watch,
    key: usize,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.watch.streams.lock().expect("watch lock poisoned").try_remove(self.key);
    }
}
