//! Obtains claims from the platform's table on behalf of requests.

use std::{
    sync::{
        Arc,
        mpsc::{SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{
    grant::CLAIM_HELD_RETRY_AFTER,
    queue::{Kind, Operation, Settlement},
    writer::{Shared, Writer},
};
use crate::{
    claim::{
        Action, Answer, Attempt, Claimant, Counts, Grant, Input, LocalState, Peers, Question,
        Record, Request, State, Status, StoredAnswer, StoredBody, row_key,
    },
    clock,
    clock::Moment,
    id,
    store::{ObjectStore, Table},
    verdict::{Reason, Refusal},
};

/// Time after which a caller should retry when the store does not answer.
const CLAIM_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time that a claim waits for the store, even if the request's deadline is later.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a claim waits while the store is known to be down.
const STORE_DOWN_CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// Configuration of a committer.
#[derive(Debug, Clone)]
pub struct Config {
    /// This host process, the owner of all claims that the committer makes.
    pub claimant: Claimant,
}

/// Result of a successful claim.
#[derive(Debug)]
pub enum Outcome {
    /// The request may be sent.
    Granted(Grant),
    /// An earlier copy of the request ran; this is its answer.
    Replay(Answer),
}

/// Claims requests for one host process.
///
/// A background thread commits claims and settlements to the table. Dropping the committer stops
/// this thread.
#[derive(Debug)]
pub struct Committer<O, P> {
    claimant: Claimant,
    objects: O,
    peers: P,
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

impl<O: ObjectStore, P: Peers> Committer<O, P> {
    /// Starts a committer and its writer thread.
    ///
    /// # Errors
    /// Fails if the operating system cannot create the thread.
    pub fn start<T: Table>(
        config: Config,
        table: T,
        objects: O,
        peers: P,
    ) -> std::io::Result<Committer<O, P>> {
        let shared = Arc::new(Shared::default());
        let writer = Writer { shared: Arc::clone(&shared), table, objects: objects.clone() };
        let writer = thread::Builder::new().name("claims".to_owned()).spawn(|| writer.run())?;
        Ok(Committer { claimant: config.claimant, objects, peers, shared, writer: Some(writer) })
    }

    /// Claims a request; blocks until the claim is granted, an answer is replayed, or the request
    /// is refused.
    ///
    /// # Errors
    /// - [`Reason::ClaimUnavailable`]: the store did not answer in time; this copy is never sent.
    /// - [`Reason::ClaimHeld`]: another copy is in progress, or its outcome is unknown.
    /// - [`Reason::KeyReused`]: the key was used for another request.
    /// - [`Reason::AnswerLost`]: the request ran, but its answer is not available.
    pub fn claim(&self, request: &Request, deadline: Moment) -> Result<Outcome, Refusal> {
        let row = row_key(&request.customer, &request.key);
        let token: id::Token = rand::random();
        {
            let mut state = self.shared.lock();
            match state.registry.local_state(&row, request) {
                LocalState::Free => state.registry.begin_claim(token, row, request.fingerprint),
                LocalState::Held => return Err(refusal(Reason::ClaimHeld)),
                LocalState::KeyReused => return Err(refusal(Reason::KeyReused)),
                LocalState::Answered(answer) => return Ok(Outcome::Replay(answer)),
            }
        }
        self.attempt(request, token, deadline)
    }

    /// Answers a question about a claim of this host process. A claim under which nothing was sent
    /// is abandoned by this call.
    pub fn status(&self, question: &Question) -> Status {
        self.shared.lock().registry.status_for_peer(question.token)
    }

    /// Waits until no table operation is pending; returns false if the timeout expires first.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.shared.flush(timeout)
    }

    /// Returns the number of table operations since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    fn attempt(
        &self,
        request: &Request,
        token: id::Token,
        deadline: Moment,
    ) -> Result<Outcome, Refusal> {
        let claimant = self.claimant.clone();
        let now = clock::now();
        let attempt_deadline = deadline.min(now + self.claim_timeout());
        let (mut attempt, mut action) =
            Attempt::new(request.clone(), claimant, token, attempt_deadline);
        loop {
            let input = match action {
                Action::Grant { version } => return self.grant(request, token, version),
                Action::Replay(answer) => {
                    self.shared.lock().registry.abandon(token);
                    return Ok(Outcome::Replay(answer));
                }
                Action::Refuse(reason) => return Err(self.refuse(request, token, reason)),
                Action::Commit { expected, record, delay } => {
                    thread::sleep(delay);
                    self.submit(&attempt, request, |reply| Kind::Claim { expected, record, reply })
                }
                Action::ReadRow { delay } => {
                    thread::sleep(delay);
                    self.submit(&attempt, request, |reply| Kind::Read { reply })
                }
                Action::QueryStatus { claimant, token } => {
                    Some(Input::StatusReceived(self.query_status(request, &claimant, token)))
                }
                Action::FetchBody(stored) => Some(self.fetch_body(&stored)),
            };
            let Some(input) = input else {
                return Err(self.refuse(request, token, attempt.unavailable_reason()));
            };
            action = attempt.step(clock::now(), input);
        }
    }

    /// Queues an operation and waits for its result; returns `None` once the attempt's deadline has
    /// passed.
    fn submit(
        &self,
        attempt: &Attempt,
        request: &Request,
        kind: impl FnOnce(SyncSender<Input>) -> Kind,
    ) -> Option<Input> {
        let (reply, result) = sync_channel(1);
        let row = row_key(&request.customer, &request.key);
        self.shared.submit(Operation { row, kind: kind(reply) });
        result.recv_timeout(attempt.deadline().saturating_sub(clock::now())).ok()
    }

    /// Returns the longest time that a new claim may wait for the store.
    fn claim_timeout(&self) -> Duration {
        if self.shared.lock().store_down { STORE_DOWN_CLAIM_TIMEOUT } else { CLAIM_TIMEOUT }
    }

    fn grant(
        &self,
        request: &Request,
        token: id::Token,
        version: id::Version,
    ) -> Result<Outcome, Refusal> {
        if !self.shared.lock().registry.mark_committed(token) {
            return Err(refusal(Reason::ClaimHeld));
        }
        let shared = Arc::clone(&self.shared);
        let record = self.claimed_record(request, token);
        Ok(Outcome::Granted(Grant::new(shared, request.clone(), record, version)))
    }

    /// Abandons the token permanently and returns the refusal.
    ///
    /// When the store did not answer, the claim may still have been written or may be written
    /// later, so its row is marked as abandoned.
    fn refuse(&self, request: &Request, token: id::Token, reason: Reason) -> Refusal {
        self.shared.lock().registry.abandon(token);
        if reason == Reason::ClaimUnavailable {
            let row = row_key(&request.customer, &request.key);
            let settlement = Settlement::abandoned(self.claimed_record(request, token), None);
            self.shared.submit(Operation { row, kind: Kind::Settle(settlement) });
        }
        refusal(reason)
    }

    fn query_status(
        &self,
        request: &Request,
        claimant: &Claimant,
        token: id::Token,
    ) -> Option<Status> {
        let question =
            Question { customer: request.customer.clone(), key: request.key.clone(), token };
        if *claimant == self.claimant {
            return Some(self.status(&question));
        }
        self.peers.claim_status(claimant, &question)
    }

    fn fetch_body(&self, stored: &StoredAnswer) -> Input {
        let StoredBody::Object(name) = &stored.body else {
            return Input::BodyFetched(None);
        };
        match self.objects.get(name) {
            Ok(body) => Input::BodyFetched(body),
            Err(_) => Input::ReadFailed,
        }
    }

    fn claimed_record(&self, request: &Request, token: id::Token) -> Record {
        Record {
            token,
            claimant: self.claimant.clone(),
            fingerprint: request.fingerprint,
            state: State::Claimed,
        }
    }
}

impl<O, P> Drop for Committer<O, P> {
    fn drop(&mut self) {
        self.shared.stop();
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Returns the refusal for a reason, with a retry time for reasons that may pass.
fn refusal(reason: Reason) -> Refusal {
    match reason {
        Reason::ClaimUnavailable => {
            Refusal::with_retry_after(reason, CLAIM_UNAVAILABLE_RETRY_AFTER)
        }
        Reason::ClaimHeld => Refusal::with_retry_after(reason, CLAIM_HELD_RETRY_AFTER),
        _ => Refusal::from(reason),
    }
}
