//! Holds requests until admission starts or refuses them.

use std::{
    sync::{Condvar, Mutex, MutexGuard},
    time::Duration,
};

use slotmap::SecondaryMap;

use crate::{
    admit::{Admission, Key, Refusal, Request, Step},
    clock,
    clock::Moment,
    link::front::Presence,
    route::Router,
};

/// Time between two looks at whether a waiting caller has gone.
const PRESENCE_CHECK: Duration = Duration::from_millis(100);

/// Runs admission for the requests of one host.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    decided: Condvar,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    decisions: SecondaryMap<Key, Decision>,
}

#[derive(Debug, Clone, Copy)]
enum Decision {
    Start,
    Refuse(Refusal),
}

/// Why a request did not pass the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// Admission refused it.
    Refused(Refusal),
    /// Its caller went away.
    Gone,
}

impl Gate {
    /// Creates a gate around admission.
    pub fn new(admission: Admission) -> Gate {
        let state = State { admission, decisions: SecondaryMap::new() };
        Gate { state: Mutex::new(state), decided: Condvar::new() }
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    /// Fails as soon as admission refuses the request or its caller goes away.
    pub fn enter(
        &self,
        request: Request,
        router: &Mutex<Router>,
        presence: &Presence,
    ) -> Result<Permit<'_>, Stop> {
        let key = self.lock().admission.offer(request, clock::now()).map_err(Stop::Refused)?;
        self.advance(router);
        let mut state = self.lock();
        loop {
            match state.decisions.remove(key) {
                Some(Decision::Start) => return Ok(Permit { gate: self, key, cost: None }),
                Some(Decision::Refuse(refusal)) => return Err(Stop::Refused(refusal)),
                None => {}
            }
            if presence.is_gone() {
                state.admission.cancel(key, clock::now());
                return Err(Stop::Gone);
            }
            let waited = self.decided.wait_timeout(state, PRESENCE_CHECK);
            state = waited.expect("gate lock poisoned").0;
        }
    }

    /// Lets admission decide on what waits; called at each tick and each end of a request.
    pub fn advance(&self, router: &Mutex<Router>) {
        let now = clock::now();
        let mut state = self.lock();
        let steps = {
            let router = router.lock().expect("router lock poisoned");
            state.admission.next(|name| router.capacity(name, now), now)
        };
        if steps.is_empty() {
            return;
        }
        for step in steps {
            match step {
                Step::Start(key) => state.decisions.insert(key, Decision::Start),
                Step::Refuse(key, refusal) => {
                    state.decisions.insert(key, Decision::Refuse(refusal))
                }
            };
        }
        drop(state);
        self.decided.notify_all();
    }

    /// Gives access to admission, for limits, shares and counts.
    pub fn with<T>(&self, use_it: impl FnOnce(&mut Admission, Moment) -> T) -> T {
        use_it(&mut self.lock().admission, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("gate lock poisoned")
    }
}

/// Permission to run one request; dropped, it makes room for others.
#[derive(Debug)]
pub struct Permit<'a> {
    gate: &'a Gate,
    key: Key,
    cost: Option<Duration>,
}

impl Permit<'_> {
    /// Notes the engine time that the request took; without it the request counts as cancelled.
    pub fn spent(&mut self, cost: Duration) {
        self.cost = Some(self.cost.unwrap_or_default() + cost);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        let now = clock::now();
        match self.cost {
            Some(cost) => state.admission.finished(self.key, cost, now),
            None => state.admission.cancel(self.key, now),
        }
    }
}

impl From<Refusal> for crate::verdict::Refusal {
    fn from(it: Refusal) -> crate::verdict::Refusal {
        crate::verdict::Refusal { reason: it.reason, retry_after: Some(it.retry_after) }
    }
}
