//! Prefix cache in limited memory, and the events that it publishes late and with gaps.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::target::{CacheEvent, CacheEvents, PIECE_TOKENS};

/// Events kept for those who ask late.
const EVENTS: usize = 10_000;

/// Pieces by hash, with the step of their last use.
#[derive(Debug, Default)]
pub(super) struct Cache {
    pieces: HashMap<u64, u64>,
    clock: u64,
}

impl Cache {
    /// Returns the memory in use, in tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.pieces.len() as u64 * u64::from(PIECE_TOKENS)
    }

    /// Returns how many of a prompt's tokens are cached from its start, and marks them as used.
    pub(super) fn hit(&mut self, pieces: &[u64]) -> u32 {
        self.clock += 1;
        let mut hits = 0;
        for piece in pieces {
            let Some(used) = self.pieces.get_mut(piece) else {
                break;
            };
            *used = self.clock;
            hits += 1;
        }
        hits * PIECE_TOKENS
    }

    /// Stores pieces and returns the events that this makes.
    pub(super) fn store(&mut self, pieces: &[u64]) -> Vec<CacheEvent> {
        self.clock += 1;
        let mut events = Vec::new();
        for piece in pieces {
            if self.pieces.insert(*piece, self.clock).is_none() {
                events.push(CacheEvent::Stored(*piece));
            }
        }
        events
    }

    /// Drops the pieces used longest ago until at most `tokens` tokens of memory are in use.
    pub(super) fn shrink(&mut self, tokens: u64) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        while tokens < self.tokens() {
            let oldest = self.pieces.iter().min_by_key(|(piece, used)| (**used, **piece));
            let Some(piece) = oldest.map(|(it, _)| *it) else {
                break;
            };
            self.pieces.remove(&piece);
            events.push(CacheEvent::Dropped(piece));
        }
        events
    }
}

/// Published events by number, with the time of each.
#[derive(Debug, Default)]
pub(super) struct Events {
    last: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
}

impl Events {
    pub(super) fn publish(&mut self, events: Vec<CacheEvent>) {
        let now = Instant::now();
        for event in events {
            self.last += 1;
            if self.events.len() == EVENTS {
                self.events.pop_front();
            }
            self.events.push_back((self.last, now, event));
        }
    }

    /// Returns the events after `since` that are older than `lag`, without each `gap`th one.
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
