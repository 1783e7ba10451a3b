//! An engine's prefix cache, as far as late and incomplete events and own requests tell.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Moment,
    target::{CacheEvent, CacheEvents},
};

/// Probability that a piece reported as stored is there at once.
const REPORTED: f64 = 0.98;
/// Probability that a piece of a request routed there is there once it was read.
const ROUTED: f64 = 0.9;
/// Factor on every probability for each gap in the events.
const GAP: f64 = 0.97;
/// Probability below which a piece counts as absent.
const LEAST: f64 = 0.05;
/// Doubt below which everything that was known counts as lost.
const LEAST_DOUBT: f64 = 1e-9;
/// Missing events that are told apart; more of them are no worse.
const MOST_MISSING: u64 = 64;

/// View of one engine's prefix cache, bounded in size.
#[derive(Debug, Clone)]
pub(crate) struct Cache {
    pieces: HashMap<u64, Piece>,
    oldest: VecDeque<(u64, Moment)>,
    most: usize,
    half_life: Duration,
    last: u64,
    doubt: f64,
}

/// A piece that may be in the cache.
#[derive(Debug, Clone, Copy)]
struct Piece {
    probability: f64,
    doubt: f64,
    seen: Moment,
}

impl Cache {
    pub(crate) fn new(most: usize, half_life: Duration) -> Cache {
        Cache {
            pieces: HashMap::new(),
            oldest: VecDeque::new(),
            most: most.max(1),
            half_life,
            last: 0,
            doubt: 1.0,
        }
    }

    /// Takes in published events; a missing number may have been a drop.
    pub(crate) fn events(&mut self, events: &CacheEvents, now: Moment) {
        let expected = events.last.saturating_sub(self.last);
        let news = events.events.range(self.last.saturating_add(1)..);
        let (mut present, mut next) = (0, Vec::new());
        for (_, event) in news {
            present += 1;
            next.push(*event);
        }
        let missing = expected.saturating_sub(present).min(MOST_MISSING);
        if 0 < self.last {
            self.doubt_more(missing as i32);
        }
        for event in next {
            match event {
                CacheEvent::Stored(hash) => self.note(hash, REPORTED, now),
                CacheEvent::Dropped(hash) => {
                    self.pieces.remove(&hash);
                }
            }
        }
        self.last = self.last.max(events.last);
    }

    fn doubt_more(&mut self, gaps: i32) {
        self.doubt *= GAP.powi(gaps);
        if self.doubt < LEAST_DOUBT {
            self.pieces.clear();
            self.oldest.clear();
            self.doubt = 1.0;
        }
    }

    /// Notes the pieces of a request whose prompt was read there.
    pub(crate) fn routed(&mut self, pieces: &[u64], now: Moment) {
        for hash in pieces {
            self.note(*hash, ROUTED, now);
        }
    }

    fn note(&mut self, hash: u64, probability: f64, now: Moment) {
        let known = self.pieces.get(&hash).map_or(0.0, |it| self.probability(it, now));
        let probability = probability.max(known);
        self.pieces.insert(hash, Piece { probability, doubt: self.doubt, seen: now });
        self.oldest.push_back((hash, now));
        self.trim();
    }

    /// Drops the pieces seen longest ago beyond the bound.
    fn trim(&mut self) {
        while self.most < self.pieces.len() || 2 * self.most < self.oldest.len() {
            let Some((hash, seen)) = self.oldest.pop_front() else { return };
            if self.pieces.get(&hash).is_some_and(|it| it.seen == seen) {
                self.pieces.remove(&hash);
            }
        }
    }

    fn probability(&self, piece: &Piece, now: Moment) -> f64 {
        let age = now.saturating_sub(piece.seen).as_secs_f64();
        let halves = age / self.half_life.as_secs_f64().max(1e-3);
        piece.probability * (self.doubt / piece.doubt) * 0.5f64.powf(halves)
    }

    /// Returns how many leading pieces are expected to be found.
    pub(crate) fn expected(&self, pieces: &[u64], now: Moment) -> f64 {
        let (mut all, mut expected) = (1.0f64, 0.0);
        for hash in pieces {
            let Some(piece) = self.pieces.get(hash) else { break };
            all = all.min(self.probability(piece, now));
            if all < LEAST {
                break;
            }
            expected += all;
        }
        expected
    }

    /// Returns how many pieces are remembered.
    pub(crate) fn len(&self) -> usize {
        self.pieces.len()
    }
}
