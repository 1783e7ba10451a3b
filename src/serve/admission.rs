//! Holds requests until admission starts or refuses them.

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

/// Time between two looks at whether a waiting caller has gone.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs admission for the requests of one host.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    requests: SecondaryMap<Key, Waiting>,
}

/// A request whose thread waits for a decision.
#[derive(Debug)]
struct Waiting {
    thread: Thread,
    decision: Option<Decision>,
}

#[derive(Debug, Clone, Copy)]
enum Decision {
    Start,
    Refuse(Refusal),
}

/// Why a request did not pass the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abort {
    /// Admission refused it.
    Refused(Refusal),
    /// Its caller went away.
    CallerGone,
}

impl AdmissionQueue {
    /// Creates a gate around admission.
    pub fn new(admission: Admission) -> AdmissionQueue {
        AdmissionQueue { state: Mutex::new(State { admission, requests: SecondaryMap::new() }) }
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    /// Fails as soon as admission refuses the request or its caller goes away.
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

    fn offer(&self, request: Request) -> Result<Key, Refusal> {
        let mut state = self.lock();
        let key = state.admission.offer(request, clock::now())?;
        state.requests.insert(key, Waiting { thread: thread::current(), decision: None });
        Ok(key)
    }

    /// Lets admission decide on what waits; called at each tick and each end of a request.
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

    /// Gives access to admission, for limits, shares and counts.
    pub fn with<T>(&self, f: impl FnOnce(&mut Admission, Moment) -> T) -> T {
        f(&mut self.lock().admission, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("admission queue lock poisoned")
    }
}

impl State {
    /// Notes a decision and wakes the request's thread.
    fn record_decision(&mut self, key: Key, decision: Decision) {
        if let Some(waiting) = self.requests.get_mut(key) {
            waiting.decision = Some(decision);
            waiting.thread.unpark();
        }
    }

    /// Takes the decision on a request, once there is one.
    fn take_decision(&mut self, key: Key) -> Option<Decision> {
        let decision = self.requests.get(key)?.decision?;
        self.requests.remove(key);
        Some(decision)
    }

    /// Withdraws a request whose caller went away.
    fn withdraw(&mut self, key: Key) {
        self.requests.remove(key);
        self.admission.cancel(key, clock::now());
    }
}

/// Permission to run one request; dropped, it makes room for others.
#[derive(Debug)]
pub struct Permit<'a> {
    queue: &'a AdmissionQueue,
    key: Key,
    cost: Option<Duration>,
}

impl Permit<'_> {
    /// Notes the engine time that the request took; without it the request counts as cancelled.
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
