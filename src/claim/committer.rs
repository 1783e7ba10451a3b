//! Makes claims against the platform's table.

use std::{
    sync::{
        Arc,
        mpsc::{SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{
    grant::HELD_RETRY,
    queue::{Operation, Settlement, Work},
    writer::{Shared, Writer},
};
use crate::{
    claim::{
        Action, Answer, Attempt, Body, Claimant, Counts, Grant, Input, Local, Peers, Question,
        Record, Request, State, Status, Stored, row,
    },
    clock,
    clock::Moment,
    id,
    store::{ObjectStore, Table},
    verdict::{Reason, Refusal},
};

/// Time after which a caller may come back when the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which an unanswered claim is refused, even when its request has longer.
const PATIENCE: Duration = Duration::from_secs(5);
/// The same while the store is known to be down.
const PATIENCE_WHEN_DOWN: Duration = Duration::from_millis(200);

/// Who claims.
#[derive(Debug, Clone)]
pub struct Config {
    /// This run of this host.
    pub claimant: Claimant,
}

/// What came of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// The request may be sent.
    Granted(Grant),
    /// The request ran before; this is its answer.
    Replay(Answer),
}

/// Claims requests for one run of a host.
#[derive(Debug)]
pub struct Committer<O, P> {
    claimant: Claimant,
    objects: O,
    peers: P,
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

impl<O: ObjectStore, P: Peers> Committer<O, P> {
    /// Starts the committer's writer.
    ///
    /// # Errors
    /// Fails when the system has no thread left.
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

    /// Claims a request; blocks until it is granted, answered or refused.
    ///
    /// # Errors
    /// - [`Reason::ClaimUnavailable`]: the store does not answer; this copy is never sent.
    /// - [`Reason::ClaimHeld`]: another copy is under way or its outcome is unknown.
    /// - [`Reason::KeyReused`]: the key belongs to another request.
    /// - [`Reason::AnswerLost`]: the request ran, but its answer was not kept.
    pub fn claim(&self, request: &Request, deadline: Moment) -> Result<Outcome, Refusal> {
        let row = row(&request.customer, &request.key);
        let token: id::Token = rand::random();
        {
            let mut shelf = self.shared.lock();
            match shelf.ledger.local(&row, request) {
                Local::Free => shelf.ledger.begin(token, row, request.fingerprint),
                Local::Held => return Err(refusal(Reason::ClaimHeld)),
                Local::Reused => return Err(refusal(Reason::KeyReused)),
                Local::Answered(answer) => return Ok(Outcome::Replay(answer)),
            }
        }
        self.attempt(request, token, deadline)
    }

    /// Answers a peer's question about a claim of this run; the answer may give up an unused claim.
    pub fn status(&self, question: &Question) -> Status {
        self.shared.lock().ledger.question(question.token)
    }

    /// Waits until every end of a claim is stored; returns false when the time is up before that.
    pub fn flush(&self, time: Duration) -> bool {
        self.shared.flush(time)
    }

    /// Returns the work done so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    fn attempt(
        &self,
        request: &Request,
        token: id::Token,
        deadline: Moment,
    ) -> Result<Outcome, Refusal> {
        let me = self.claimant.clone();
        let now = clock::now();
        let until = deadline.min(now + self.patience());
        let (mut attempt, mut action) = Attempt::new(request.clone(), me, token, until);
        loop {
            let input = match action {
                Action::Grant { version } => return self.grant(request, token, version),
                Action::Replay(answer) => {
                    self.shared.lock().ledger.abandon(token);
                    return Ok(Outcome::Replay(answer));
                }
                Action::Refuse(reason) => return Err(self.refuse(request, token, reason)),
                Action::Commit { expected, record, after } => {
                    thread::sleep(after);
                    self.submit(&attempt, request, |reply| Work::Claim { expected, record, reply })
                }
                Action::ReadBack { after } => {
                    thread::sleep(after);
                    self.submit(&attempt, request, |reply| Work::Read { reply })
                }
                Action::Ask { claimant, token } => {
                    Some(Input::Told(self.ask(request, &claimant, token)))
                }
                Action::Fetch(stored) => Some(self.fetch(&stored)),
            };
            let Some(input) = input else {
                return Err(self.refuse(request, token, attempt.unanswered()));
            };
            action = attempt.step(clock::now(), input);
        }
    }

    /// Queues an operation and waits for its outcome; `None` when the attempt's time is up.
    fn submit(
        &self,
        attempt: &Attempt,
        request: &Request,
        work: impl FnOnce(SyncSender<Input>) -> Work,
    ) -> Option<Input> {
        let (reply, outcome) = sync_channel(1);
        let row = row(&request.customer, &request.key);
        self.shared.submit(Operation { row, work: work(reply) });
        outcome.recv_timeout(attempt.until().saturating_sub(clock::now())).ok()
    }

    /// Returns how long a claim may wait; short while the store is known to be down.
    fn patience(&self) -> Duration {
        if self.shared.lock().store_down { PATIENCE_WHEN_DOWN } else { PATIENCE }
    }

    fn grant(
        &self,
        request: &Request,
        token: id::Token,
        version: id::Version,
    ) -> Result<Outcome, Refusal> {
        if !self.shared.lock().ledger.hold(token) {
            return Err(refusal(Reason::ClaimHeld));
        }
        let shared = Arc::clone(&self.shared);
        let record = self.record(request, token);
        Ok(Outcome::Granted(Grant::new(shared, request.clone(), record, version)))
    }

    /// Abandons the token for good, then refuses.
    fn refuse(&self, request: &Request, token: id::Token, reason: Reason) -> Refusal {
        self.shared.lock().ledger.abandon(token);
        if reason == Reason::ClaimUnavailable {
            let row = row(&request.customer, &request.key);
            let settlement = Settlement::abandoned(self.record(request, token), None);
            self.shared.submit(Operation { row, work: Work::Settle(settlement) });
        }
        refusal(reason)
    }

    fn ask(&self, request: &Request, claimant: &Claimant, token: id::Token) -> Option<Status> {
        let question =
            Question { customer: request.customer.clone(), key: request.key.clone(), token };
        if *claimant == self.claimant {
            return Some(self.status(&question));
        }
        self.peers.claim_status(claimant, &question)
    }

    fn fetch(&self, stored: &Stored) -> Input {
        let Body::Object(name) = &stored.body else {
            return Input::Fetched(None);
        };
        match self.objects.get(name) {
            Ok(body) => Input::Fetched(body),
            Err(_) => Input::Unreadable,
        }
    }

    fn record(&self, request: &Request, token: id::Token) -> Record {
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

/// Returns the refusal for a reason, with the time to come back where it makes sense.
fn refusal(reason: Reason) -> Refusal {
    match reason {
        Reason::ClaimUnavailable => Refusal::with_retry_after(reason, STORE_RETRY_AFTER),
        Reason::ClaimHeld => Refusal::with_retry_after(reason, HELD_RETRY),
        _ => Refusal::from(reason),
    }
}
