//! Prefix cache with LRU eviction, and the log of its events, read with a lag and with gaps.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::target::{CacheEvent, CacheEvents, PIECE_TOKENS};

/// Largest number of events kept for later reads.
const MAX_EVENTS: usize = 10_000;

/// Prefix cache, made of blocks of [`PIECE_TOKENS`] tokens.
#[derive(Debug, Default)]
pub(super) struct Cache {
    /// Value of `clock` at the last use of each block, by block hash.
    last_uses: HashMap<u64, u64>,
    /// Logical time: number of lookups and stores.
    clock: u64,
}

impl Cache {
    /// Returns the memory in use, in tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.last_uses.len() as u64 * u64::from(PIECE_TOKENS)
    }

    /// Returns how many tokens from the start of a prompt are cached; marks their blocks as used.
    pub(super) fn lookup(&mut self, blocks: &[u64]) -> u32 {
        self.clock += 1;
        let mut hits = 0;
        for block in blocks {
            let Some(last_use) = self.last_uses.get_mut(block) else {
                break;
            };
            *last_use = self.clock;
            hits += 1;
        }
        hits * PIECE_TOKENS
    }

    /// Stores blocks and returns the resulting events.
    pub(super) fn store(&mut self, blocks: &[u64]) -> Vec<CacheEvent> {
        self.clock += 1;
        let mut events = Vec::new();
        for block in blocks {
            if self.last_uses.insert(*block, self.clock).is_none() {
                events.push(CacheEvent::Stored(*block));
            }
        }
        events
    }

    /// Evicts the least recently used blocks until at most `max_tokens` tokens are in use.
    pub(super) fn evict_to(&mut self, max_tokens: u64) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        while max_tokens < self.tokens() {
            let oldest =
                self.last_uses.iter().min_by_key(|(block, last_use)| (**last_use, **block));
            let Some(block) = oldest.map(|(it, _)| *it) else {
                break;
            };
            self.last_uses.remove(&block);
            events.push(CacheEvent::Dropped(block));
        }
        events
    }
}

/// The newest [`MAX_EVENTS`] events, with their numbers and times of publication.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    last_number: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn publish(&mut self, events: Vec<CacheEvent>) {
        let now = Instant::now();
        for event in events {
            self.last_number += 1;
            if self.events.len() == MAX_EVENTS {
                self.events.pop_front();
            }
            self.events.push_back((self.last_number, now, event));
        }
    }

    /// Returns the events with a number above `since` that are at least `lag` old.
    ///
    /// Events whose number is a multiple of `gap` are left out, as if they had been lost.
    pub(super) fn read(
        &self,
        incarnation: u64,
        since: u64,
        lag: Duration,
        gap: Option<u64>,
    ) -> CacheEvents {
        let now = Instant::now();
        let mut read = CacheEvents { incarnation, last: since, ..CacheEvents::default() };
        let due = self.events.iter().take_while(|(_, at, _)| *at + lag <= now);
        for (number, _, event) in due.filter(|(number, _, _)| since < *number) {
            read.last = *number;
            if gap.is_none_or(|it| it == 0 || number % it != 0) {
                read.events.insert(*number, *event);
            }
        }
        read
    }
}
