//! Blocks the threads of requests until admission control starts or refuses them.

use std::{
    sync::{Mutex, MutexGuard},
    thread::{self, Thread},
    time::Duration,
};

use slotmap::SecondaryMap;

use crate::{
    admit::{Admission, Key, Refusal, Request, Step},
    clock,
    clock::Moment,
    link::http_server::CallerPresence,
    route::Router,
};

/// Time between two checks whether the caller of a waiting request has gone.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Admission control of one host, with the requests that wait for its decision.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: SecondaryMap<Key, WaitingRequest>,
}

/// A request whose thread waits for admission.
#[derive(Debug)]
struct WaitingRequest {
    thread: Thread,
    decision: Option<Decision>,
}

#[derive(Debug, Clone, Copy)]
enum Decision {
    Start,
    Refuse(Refusal),
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abort {
    /// Admission control refused the request.
    Refused(Refusal),
    /// The caller went away.
    CallerGone,
}

impl AdmissionQueue {
    /// Creates an empty queue in front of `admission`.
    pub fn new(admission: Admission) -> AdmissionQueue {
        AdmissionQueue { state: Mutex::new(State { admission, waiting: SecondaryMap::new() }) }
    }

    /// Blocks until the request may start.
    ///
    /// # Errors
    /// Fails as soon as admission control refuses the request or the caller goes away.
    pub fn admit(
        &self,
        request: Request,
        router: &Mutex<Router>,
        presence: &CallerPresence,
    ) -> Result<Permit<'_>, Abort> {
        let key = self.offer(request).map_err(Abort::Refused)?;
        self.schedule(router);
        loop {
            match self.lock().take_decision(key) {
                Some(Decision::Start) => return Ok(Permit { queue: self, key, cost: None }),
                Some(Decision::Refuse(refusal)) => return Err(Abort::Refused(refusal)),
                None => {}
            }
            if presence.is_disconnected() {
                self.lock().withdraw(key);
                return Err(Abort::CallerGone);
            }
            thread::park_timeout(PRESENCE_CHECK_INTERVAL);
        }
    }

    /// Offers a request to admission control and registers the current thread to be woken.
    fn offer(&self, request: Request) -> Result<Key, Refusal> {
        let mut state = self.lock();
        let key = state.admission.offer(request, clock::now())?;
        state.waiting.insert(key, WaitingRequest { thread: thread::current(), decision: None });
        Ok(key)
    }

    /// Lets admission control decide on the waiting requests. Called at intervals, for each new
    /// request and after each attempt.
    pub fn schedule(&self, router: &Mutex<Router>) {
        let now = clock::now();
        let mut state = self.lock();
        let steps = {
            let router = router.lock().expect("router lock poisoned");
            state.admission.schedule(|name| router.capacity(name, now), now)
        };
        for step in steps {
            match step {
                Step::Start(key) => state.record_decision(key, Decision::Start),
                Step::Refuse(key, refusal) => state.record_decision(key, Decision::Refuse(refusal)),
            }
        }
    }

    /// Calls `f` with admission control and the current time, to set or read limits and shares.
    pub fn with<T>(&self, f: impl FnOnce(&mut Admission, Moment) -> T) -> T {
        f(&mut self.lock().admission, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("admission queue lock poisoned")
    }
}

impl State {
    /// Records the decision on a request and wakes its thread.
    fn record_decision(&mut self, key: Key, decision: Decision) {
        if let Some(request) = self.waiting.get_mut(key) {
            request.decision = Some(decision);
            request.thread.unpark();
        }
    }

    /// Removes and returns the decision on a request, if there is one.
    fn take_decision(&mut self, key: Key) -> Option<Decision> {
        let decision = self.waiting.get(key)?.decision?;
        self.waiting.remove(key);
        Some(decision)
    }

    /// Removes a request whose caller went away.
    fn withdraw(&mut self, key: Key) {
        self.waiting.remove(key);
        self.admission.cancel(key, clock::now());
    }
}

/// Permission to run one request. Dropping it frees the capacity for other requests.
#[derive(Debug)]
pub struct Permit<'a> {
    queue: &'a AdmissionQueue,
    key: Key,
    cost: Option<Duration>,
}

impl Permit<'_> {
    /// Adds engine time that the request took. If none is recorded, the request counts as
    /// cancelled.
    pub fn record_cost(&mut self, cost: Duration) {
        self.cost = Some(self.cost.unwrap_or_default() + cost);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        let now = clock::now();
        match self.cost {
            Some(cost) => state.admission.finish(self.key, cost, now),
            None => state.admission.cancel(self.key, now),
        }
    }
}

impl From<Refusal> for crate::verdict::Refusal {
    fn from(it: Refusal) -> crate::verdict::Refusal {
        crate::verdict::Refusal { reason: it.reason, retry_after: Some(it.retry_after) }
    }
}
