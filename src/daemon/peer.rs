//! What this host answers to the other entry hosts.

use std::sync::Arc;

use crate::{
    claim,
    crash::{Crash, Record},
    id,
    link::peer::{
        Handler,
        wire::{
            ClaimQuestion, ClaimStatus, Configuration, CrashNotice, Demands, DrainQuestion,
            DrainStatus, Heartbeat, Hint, Member, Shares, StopQuestion, StopStatus,
        },
    },
    serve::Context,
};

/// Answers peers from what the requests of this host share.
#[derive(Debug)]
pub(super) struct Peer {
    ctx: Arc<Context>,
}

impl Peer {
    pub(super) fn new(ctx: Arc<Context>) -> Peer {
        Peer { ctx }
    }
}

impl Handler for Peer {
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        self.ctx.members.hear(&beat)
    }

    fn members(&self) -> Vec<Member> {
        self.ctx.members.members()
    }

    fn hint(&self, hint: Hint) {
        self.ctx.refresh.hint(hint.version);
    }

    fn configuration(&self, least: id::Version) -> Option<Configuration> {
        let edition = self.ctx.refresh.edition();
        (least <= edition.version).then(|| Configuration::from(&edition))
    }

    fn claim_status(&self, question: ClaimQuestion) -> ClaimStatus {
        if question.incarnation != self.ctx.members.own().incarnation {
            return ClaimStatus::Unknown;
        }
        self.ctx.claims.status(&claim::Question::from(&question)).into()
    }

    fn drain_status(&self, _question: DrainQuestion) -> DrainStatus {
        DrainStatus::Unseen
    }

    fn stop_status(&self, _question: StopQuestion) -> StopStatus {
        StopStatus::Unknown
    }

    fn shares(&self, _demands: Demands) -> Option<Shares> {
        None
    }

    fn crash(&self, notice: CrashNotice) {
        let crashes = notice.crashes.into_iter();
        let crashes = crashes.map(|it| Crash { target: it.target, incarnation: it.incarnation });
        let record = Record { crashes: crashes.collect() };
        self.ctx.crashes.learn(notice.fingerprint, &record);
    }
}
