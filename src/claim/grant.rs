//! A committed claim in the hands of the request that it was made for.

use std::{sync::Arc, time::Duration};

use super::{
    queue::{Operation, Settlement, Work},
    record,
    writer::Shared,
};
use crate::{
    claim::{Answer, Body, Record, Request, Stored},
    id,
    verdict::{Reason, Refusal},
};

/// Time after which a caller whose claim is held elsewhere may ask again.
pub(super) const HELD_RETRY: Duration = Duration::from_secs(1);

/// Permission to send a request to a target, one attempt at a time.
///
/// Dropping a grant that was never sent under releases it. Dropping one that was sent under, without
/// [`Grant::finish`] or [`Grant::release`], leaves the request's outcome unknown for good.
#[derive(Debug)]
pub struct Grant {
    shared: Arc<Shared>,
    request: Request,
    record: Record,
    version: id::Version,
    ended: bool,
    sent: bool,
}

impl Grant {
    pub(super) fn new(
        shared: Arc<Shared>,
        request: Request,
        record: Record,
        version: id::Version,
    ) -> Grant {
        Grant { shared, request, record, version, ended: false, sent: false }
    }

    /// Allows the first byte of an attempt; must be called right before it is written.
    ///
    /// # Errors
    /// Fails with [`Reason::ClaimHeld`] when another host has taken the claim over meanwhile. Nothing
    /// may be sent then.
    pub fn send(&mut self) -> Result<(), Refusal> {
        if !self.shared.lock().ledger.send(self.record.token) {
            return Err(Refusal::with_retry_after(Reason::ClaimHeld, HELD_RETRY));
        }
        self.sent = true;
        Ok(())
    }

    /// Keeps the answer for later copies of the request; it is stored in the background.
    pub fn finish(mut self, answer: Answer) {
        self.ended = true;
        let token = self.record.token;
        let stored = Stored::new(&answer, || {
            record::object(&self.request.customer, &self.request.key, token)
        });
        let upload = matches!(stored.body, Body::Object(_)).then(|| answer.body.clone());
        let kept = self.shared.lock().ledger.answer(token, answer);
        let (stored, upload) = if kept { (Some(stored), upload) } else { (None, None) };
        if !kept {
            self.shared.lock().ledger.lose(token);
        }
        self.settle(Settlement::done(self.record.clone(), self.version, stored, upload));
    }

    /// Frees the key again; only for a request that certainly did not run.
    pub fn release(mut self) {
        self.give_up();
    }

    fn give_up(&mut self) {
        self.ended = true;
        self.shared.lock().ledger.abandon(self.record.token);
        let version = Some(self.version);
        self.settle(Settlement::abandoned(self.record.clone(), version));
    }

    fn settle(&self, settlement: Settlement) {
        let row = record::row(&self.request.customer, &self.request.key);
        self.shared.submit(Operation { row, work: Work::Settle(settlement) });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.sent {
            self.shared.lock().ledger.lose(self.record.token);
        } else {
            self.give_up();
        }
    }
}
