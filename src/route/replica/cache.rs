//! Estimated content of an engine's prefix cache, from the engine's cache events, which may come
//! late or be missing, and from the prompts that this host had the engine prefill.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Moment,
    target::{CacheEvent, CacheEvents},
};

/// Probability that a piece is cached when an event says that it was stored.
const REPORTED_PROBABILITY: f64 = 0.98;
/// Probability that a piece is cached when the engine has just prefilled a prompt with it.
const PREFILLED_PROBABILITY: f64 = 0.9;
/// Factor on the probability of every known piece for each missing event, which may have dropped
/// it.
const GAP_FACTOR: f64 = 0.97;
/// Probability below which a piece counts as absent.
const MIN_PROBABILITY: f64 = 0.05;
/// Confidence below which all known pieces are forgotten.
const MIN_CONFIDENCE: f64 = 1e-9;
/// Largest number of missing events that a single batch of events counts for; a larger gap lowers
/// the confidence no further.
const MAX_MISSING_EVENTS: u64 = 64;

/// Estimated content of one engine's prefix cache, limited in size.
#[derive(Debug, Clone)]
pub(crate) struct CacheView {
    /// Known pieces by chained hash.
    pieces: HashMap<u64, Piece>,
    /// Hashes with the times at which they were noted, oldest first; may hold outdated entries.
    eviction_queue: VecDeque<(u64, Moment)>,
    max_pieces: usize,
    half_life: Duration,
    /// Number of the last event that was recorded; 0 before the first.
    last_event: u64,
    /// Product of [`GAP_FACTOR`] over all missing events so far.
    confidence: f64,
}

/// A prefix-cache piece that may be cached.
#[derive(Debug, Clone, Copy)]
struct Piece {
    /// Probability that it was cached at `noted_at`.
    probability: f64,
    /// [`CacheView::confidence`] at `noted_at`.
    confidence: f64,
    noted_at: Moment,
}

impl CacheView {
    pub(crate) fn new(max_pieces: usize, half_life: Duration) -> CacheView {
        CacheView {
            pieces: HashMap::new(),
            eviction_queue: VecDeque::new(),
            max_pieces: max_pieces.max(1),
            half_life,
            last_event: 0,
            confidence: 1.0,
        }
    }

    /// Records cache events. Each missing event number lowers the confidence in the known pieces,
    /// since it may have been a drop.
    pub(crate) fn record_events(&mut self, events: &CacheEvents, now: Moment) {
        let expected = events.last.saturating_sub(self.last_event);
        let new_events = events.events.range(self.last_event.saturating_add(1)..);
        let (mut received, mut to_apply) = (0, Vec::new());
        for (_, event) in new_events {
            received += 1;
            to_apply.push(*event);
        }
        let missing = expected.saturating_sub(received).min(MAX_MISSING_EVENTS);
        if 0 < self.last_event {
            self.lower_confidence(missing as i32);
        }
        for event in to_apply {
            match event {
                CacheEvent::Stored(hash) => self.note_piece(hash, REPORTED_PROBABILITY, now),
                CacheEvent::Dropped(hash) => {
                    self.pieces.remove(&hash);
                }
            }
        }
        self.last_event = self.last_event.max(events.last);
    }

    /// Lowers the confidence in all known pieces for a number of missing events.
    fn lower_confidence(&mut self, missing: i32) {
        self.confidence *= GAP_FACTOR.powi(missing);
        if self.confidence < MIN_CONFIDENCE {
            self.pieces.clear();
            self.eviction_queue.clear();
            self.confidence = 1.0;
        }
    }

    /// Records the pieces of a prompt that the engine has prefilled.
    pub(crate) fn record_prompt(&mut self, pieces: &[u64], now: Moment) {
        for hash in pieces {
            self.note_piece(*hash, PREFILLED_PROBABILITY, now);
        }
    }

    /// Records that a piece was cached with a probability at least this high.
    fn note_piece(&mut self, hash: u64, probability: f64, now: Moment) {
        let known = self.pieces.get(&hash).map_or(0.0, |it| self.probability(it, now));
        let probability = probability.max(known);
        self.pieces.insert(hash, Piece { probability, confidence: self.confidence, noted_at: now });
        self.eviction_queue.push_back((hash, now));
        self.trim();
    }

    /// Forgets the pieces that were noted longest ago while the size limit is exceeded.
    fn trim(&mut self) {
        while self.max_pieces < self.pieces.len() || 2 * self.max_pieces < self.eviction_queue.len()
        {
            let Some((hash, noted_at)) = self.eviction_queue.pop_front() else { return };
            if self.pieces.get(&hash).is_some_and(|it| it.noted_at == noted_at) {
                self.pieces.remove(&hash);
            }
        }
    }

    /// Returns the probability that a piece is still cached.
    fn probability(&self, piece: &Piece, now: Moment) -> f64 {
        let age = now.saturating_sub(piece.noted_at).as_secs_f64();
        let half_lives = age / self.half_life.as_secs_f64().max(1e-3);
        piece.probability * (self.confidence / piece.confidence) * 0.5f64.powf(half_lives)
    }

    /// Returns the expected number of pieces, from the start of a prompt, that the engine finds
    /// cached.
    ///
    /// A piece is only found with all pieces before it, so its probability is at most theirs.
    pub(crate) fn expected_pieces(&self, pieces: &[u64], now: Moment) -> f64 {
        let (mut probability, mut expected) = (1.0f64, 0.0);
        for hash in pieces {
            let Some(piece) = self.pieces.get(hash) else { break };
            probability = probability.min(self.probability(piece, now));
            if probability < MIN_PROBABILITY {
                break;
            }
            expected += probability;
        }
        expected
    }

    /// Returns the number of known pieces.
    pub(crate) fn len(&self) -> usize {
        self.pieces.len()
    }
}
