//! A committed claim, held while its request runs.

use std::{sync::Arc, time::Duration};

use super::{
    queue::{Kind, Operation, Settlement},
    record,
    writer::Shared,
};
use crate::{
    claim::{Answer, Record, Request, StoredAnswer, StoredBody},
    id,
    verdict::{Reason, Refusal},
};

/// Time after which a caller should retry when another copy of its request holds the claim.
pub(super) const CLAIM_HELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Permission to send a claimed request to a target, one attempt at a time.
///
/// Dropping a grant before [`Grant::begin_send`] abandons the claim and frees the key. Dropping it
/// afterwards, without [`Grant::finish`] or [`Grant::release`], makes the request's outcome
/// permanently unknown.
#[derive(Debug)]
pub struct Grant {
    shared: Arc<Shared>,
    request: Request,
    record: Record,
    version: id::Version,
    is_settled: bool,
    is_sent: bool,
}

impl Grant {
    pub(super) fn new(
        shared: Arc<Shared>,
        request: Request,
        record: Record,
        version: id::Version,
    ) -> Grant {
        Grant { shared, request, record, version, is_settled: false, is_sent: false }
    }

    /// Marks the request as sent; must be called right before the first byte of each attempt.
    ///
    /// # Errors
    /// Fails with [`Reason::ClaimHeld`] if another host has taken over the claim in the meantime.
    /// Nothing may be sent in this case.
    pub fn begin_send(&mut self) -> Result<(), Refusal> {
        if !self.shared.lock().registry.begin_send(self.record.token) {
            return Err(Refusal::with_retry_after(Reason::ClaimHeld, CLAIM_HELD_RETRY_AFTER));
        }
        self.is_sent = true;
        Ok(())
    }

    /// Ends the claim with an answer, which is kept for later copies of the request and stored in
    /// the background.
    pub fn finish(mut self, answer: Answer) {
        self.is_settled = true;
        let token = self.record.token;
        let stored = StoredAnswer::new(&answer, || {
            record::object_name(&self.request.customer, &self.request.key, token)
        });
        let upload = matches!(stored.body, StoredBody::Object(_)).then(|| answer.body.clone());
        let kept = self.shared.lock().registry.keep_answer(token, answer);
        let (stored, upload) = if kept { (Some(stored), upload) } else { (None, None) };
        if !kept {
            self.shared.lock().registry.mark_unknown(token);
        }
        self.submit_settlement(Settlement::done(self.record.clone(), self.version, stored, upload));
    }

    /// Abandons the claim and frees the key; only for a request that certainly did not run.
    pub fn release(mut self) {
        self.abandon();
    }

    fn abandon(&mut self) {
        self.is_settled = true;
        self.shared.lock().registry.abandon(self.record.token);
        let version = Some(self.version);
        self.submit_settlement(Settlement::abandoned(self.record.clone(), version));
    }

    fn submit_settlement(&self, settlement: Settlement) {
        let row = record::row_key(&self.request.customer, &self.request.key);
        self.shared.submit(Operation { row, kind: Kind::Settle(settlement) });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.is_sent {
            self.shared.lock().registry.mark_unknown(self.record.token);
        } else {
            self.abandon();
        }
    }
}
