//! Shares of the client accounts in the engine time of a service, for the order of the queue.
//!
//! Answers accounts of which one or a few send far more than the engines can take, in bursts or all
//! the time, while the others send little: what an account got lately is compared with its max-min
//! share of what all accounts got. A request beyond it goes after those within theirs. While nobody
//! waits, an account may take all; what it got counts against it when others come, and is forgotten
//! within seconds.

use std::{collections::HashMap, time::Duration};

use fuchsiaknot_core::{
    clock::Moment,
    id,
    share::{self, Claim},
};

/// Time constant of what an account got lately. It is longer than requests wait, so that an account
/// does not get more by sending more.
const MEMORY: Duration = Duration::from_secs(2);
/// Smallest ratio of the part of an account's requests that is served to that of all requests. Without
/// it, a large account would get next to nothing while many small ones take all there is.
const MIN_SERVED_RATIO: f64 = 0.35;
/// Time for which the limits of the shares are kept; they change little meanwhile.
const LIMITS_INTERVAL: Duration = Duration::from_millis(50);
/// Most accounts that are remembered.
const MAX_ACCOUNTS: usize = 16 * 1024;
/// Tokens below which an account is forgotten.
const MIN_TOKENS: f64 = 1.0;

/// Account of a request; callers without one share in as one account.
pub type Party = Option<id::Account>;

/// Tokens of an account's requests lately, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Tokens of the requests that came.
    offered: f64,
    /// Tokens of the requests that were placed.
    got: f64,
    at: Moment,
}

impl Usage {
    fn at(self, now: Moment) -> Usage {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-age / MEMORY.as_secs_f64()).exp();
        Usage { offered: self.offered * kept, got: self.got * kept, at: now }
    }

    /// Returns the tokens that the account would have got by now if it were alone.
    fn demand(self) -> f64 {
        self.offered.max(self.got)
    }
}

/// Limits of the shares at one time.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Tokens that an account may have got lately.
    level: f64,
    /// Part of its demand that an account may have got whatever the level.
    least_ratio: f64,
    at: Moment,
}

/// What the accounts asked for and got of a service lately.
#[derive(Debug, Default)]
pub struct Tracker {
    usage: HashMap<Party, Usage>,
    limits: Option<Limits>,
}

impl Tracker {
    /// Records that a request of an account came, which takes the engine time of this many tokens.
    pub fn record_offer(&mut self, party: &Party, tokens: u64, now: Moment) {
        self.update(party, now, |usage| usage.offered += tokens as f64);
    }

    /// Records that a request of an account was placed.
    pub fn record_placement(&mut self, party: &Party, tokens: u64, now: Moment) {
        self.update(party, now, |usage| usage.got += tokens as f64);
    }

    fn update(&mut self, party: &Party, now: Moment, change: impl FnOnce(&mut Usage)) {
        if let Some(usage) = self.usage.get_mut(party) {
            *usage = usage.at(now);
            return change(usage);
        }
        if MAX_ACCOUNTS <= self.usage.len() {
            self.forget(now);
        }
        if self.usage.len() < MAX_ACCOUNTS {
            change(
                self.usage.entry(party.clone()).or_insert(Usage { at: now, ..Usage::default() }),
            );
        }
    }

    /// Forgets accounts that have neither asked for nor got anything lately.
    fn forget(&mut self, now: Moment) {
        self.usage.retain(|_, it| MIN_TOKENS <= it.at(now).demand());
    }

    /// Returns for each waiting request whether its account gets more than its share with it, given
    /// their accounts and tokens in the order in which they would be served.
    pub fn find_excess(&mut self, waiting: &[(&Party, u64)], now: Moment) -> Vec<bool> {
        let is_alone = waiting.windows(2).all(|pair| pair[0].0 == pair[1].0);
        if is_alone {
            return vec![false; waiting.len()];
        }
        let limits = self.limits(now);
        let mut usage: HashMap<&Party, Usage> = HashMap::new();
        let mut excess = Vec::with_capacity(waiting.len());
        for (party, tokens) in waiting {
            let usage = usage.entry(*party).or_insert_with(|| {
                self.usage.get(*party).map_or_else(Usage::default, |it| it.at(now))
            });
            let share = limits.level.max(limits.least_ratio * usage.demand());
            excess.push(share < usage.got);
            usage.got += *tokens as f64;
        }
        excess
    }

    /// Returns the limits of the shares, which are computed anew after a while.
    fn limits(&mut self, now: Moment) -> Limits {
        if let Some(limits) = self.limits.filter(|it| now < it.at + LIMITS_INTERVAL) {
            return limits;
        }
        self.forget(now);
        let usage: Vec<Usage> = self.usage.values().map(|it| it.at(now)).collect();
        let capacity: f64 = usage.iter().map(|it| it.got).sum();
        let demand: f64 = usage.iter().map(|it| it.demand()).sum();
        let claims = usage.iter().map(|it| Claim { weight: 1.0, demand: it.demand() });
        let limits = Limits {
            level: share::level(capacity, claims),
            least_ratio: MIN_SERVED_RATIO * capacity / demand.max(MIN_TOKENS),
            at: now,
        };
        self.limits = Some(limits);
        limits
    }
}
