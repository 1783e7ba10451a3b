//! Handler of the calls from other entry hosts.

use std::sync::Arc;

use super::{adapters::Authority, shares::ShareExchange};
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

/// Answers calls from the state of this host.
#[derive(Debug)]
pub(super) struct PeerHandler {
    pub(super) ctx: Arc<Context>,
    pub(super) authority: Authority,
    pub(super) exchange: Arc<ShareExchange>,
}

impl Handler for PeerHandler {
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        self.ctx.members.receive_heartbeat(&beat)
    }

    fn members(&self) -> Vec<Member> {
        self.ctx.members.members()
    }

    fn hint(&self, hint: Hint) {
        self.ctx.refresher.hint(hint.version);
    }

    fn configuration(&self, least: id::Version) -> Option<Configuration> {
        let lists = self.ctx.refresher.versioned_lists();
        (least <= lists.version).then(|| Configuration::from(&lists))
    }

    fn claim_status(&self, question: ClaimQuestion) -> ClaimStatus {
        if question.incarnation != self.ctx.members.own().incarnation {
            return ClaimStatus::Unknown;
        }
        self.ctx.claims.status(&claim::Question::from(&question)).into()
    }

    fn drain_status(&self, question: DrainQuestion) -> DrainStatus {
        self.authority.drain_status(&question)
    }

    fn stop_status(&self, question: StopQuestion) -> StopStatus {
        self.authority.stop_status(&question)
    }

    fn shares(&self, demands: Demands) -> Option<Shares> {
        self.exchange.answer_demands(demands)
    }

    fn crash(&self, notice: CrashNotice) {
        let crashes = notice.crashes.into_iter();
        let crashes = crashes.map(|it| Crash { target: it.target, incarnation: it.incarnation });
        let record = Record { crashes: crashes.collect() };
        self.ctx.crashes.merge(notice.fingerprint, &record);
    }
}
