//! Detects poison parts: prompt parts that crash each target that begins to answer a prompt with
//! them, whatever else the prompt holds.
//!
//! A crash breaks all runs of its target. Those that had not begun their answers yet, or only just,
//! are evidence against their parts; runs that went on or completed clear theirs. The hosts inform
//! each other of both. A part is blocked after crashes of several targets at different moments and
//! under different requests, if no part further on in the same prompts accounts for them; sooner if
//! most of the targets that crashed meanwhile did so under the part. Crashes under a blocked part are
//! no evidence against other parts.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use fuchsiaknot_core::{clock::Moment, id};

use crate::targets::target::Run;

/// Number of moments at which targets must have crashed under a part for it to be blocked.
const BLOCK_THRESHOLD: usize = 4;
/// Number of such moments if at least [`MANY_TARGETS`] crashed and most crashes were under the part.
const MANY_TARGETS_THRESHOLD: usize = 3;
const MANY_TARGETS: usize = 5;
/// Number of such moments after which a request with the part isn't sent again once it broke off.
const RETRY_THRESHOLD: usize = 2;
/// Least time between two moments; targets that crash closer together count once, since one failure
/// of a rack stops many.
const MOMENT_GAP: Duration = Duration::from_millis(300);
/// Least time between two moments if most crashes were under the part.
const SHORT_MOMENT_GAP: Duration = Duration::from_millis(100);
/// Number of targets that crash within [`MASS_FAILURE_GAP`] of each other when a rack fails.
const MASS_FAILURE_TARGETS: usize = 4;
/// The same if all of them crash under one part.
const MANY_MASS_TARGETS: usize = 12;
const MASS_FAILURE_GAP: Duration = Duration::from_millis(120);
/// Share of the targets crashed since the part's first crash that counts as most.
const MOST_CRASHES: f64 = 0.8;
/// Least share of these targets that crashed under a part for it to be blocked.
const MIN_CRASHES: f64 = 0.5;
/// Least time between the first and the last crash for a prompt's first part to be blocked: all
/// prompts of a route may share it, so that a power failure seems to point to it.
const FIRST_PART_SPAN: Duration = Duration::from_secs(10);
/// The same if the part is the only one that other prompts share.
const ONLY_PART_SPAN: Duration = Duration::from_secs(2);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(300);
/// Time within which all hosts have reported the runs that one crash broke.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time within which broken runs of one target belong to the same crash.
const CRASH_DURATION: Duration = Duration::from_secs(5);
/// Time for which a target's crash is put down to the blocked part that ran there.
const EXPLANATION_TTL: Duration = Duration::from_secs(5);
/// Length of a part's first block; it doubles with each further one.
const FIRST_BLOCK: Duration = Duration::from_secs(120);
/// Longest block.
const MAX_BLOCK: Duration = Duration::from_secs(3600);
/// Share of a block's length by which the hosts end it at different times, so that few requests test
/// the part before its next crash is known to all.
const BLOCK_SPREAD: f64 = 0.5;
/// Time after a block for which its part is blocked again at its first crash.
const PROBATION: Duration = Duration::from_secs(3600);
/// Time for which an answer outweighs reports of an earlier block.
const ANSWER_TTL: Duration = Duration::from_secs(120);
/// Largest number of parts tracked.
const MAX_PARTS: usize = 2048;
/// Largest number of parts whose last answer is known.
const MAX_ANSWERED: usize = 8192;
/// Largest number of crashes kept for a part: the first and the newest ones.
const MAX_CRASHES: usize = 64;
/// Largest number of parts of one prompt that are tracked.
pub const MAX_PROMPT_PARTS: usize = 8;
/// Largest number of blocks in one report.
const MAX_REPORTED_BLOCKS: usize = 32;
/// Largest number of crashes of targets that are put down to blocked parts.
const MAX_EXPLANATIONS: usize = 256;
/// Largest number of targets with broken runs that are tracked.
const MAX_BROKEN_TARGETS: usize = 512;

/// A blocked part, as the hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The part.
    pub part: id::Fingerprint,
    /// Time since it was blocked.
    pub age: Duration,
    /// Number of its earlier blocks.
    pub earlier: u8,
}

/// What is known of the parts.
#[derive(Debug, Default)]
pub struct Detector {
    parts: HashMap<id::Fingerprint, Record>,
    /// Targets with broken runs, oldest first.
    broken: VecDeque<Break>,
    /// Targets that crashed under a blocked part, oldest first.
    explained: VecDeque<(Run, Moment)>,
    /// Times at which this host last saw an answer to a prompt with a part.
    answered: HashMap<id::Fingerprint, Moment>,
    /// Share of the spread by which this host's blocks are longer, from 0 to 1.
    spread: f64,
}

/// Crash of a target under a part.
#[derive(Debug, Clone)]
struct Crash {
    target: Run,
    /// Request with the part that ran there.
    request: id::Fingerprint,
    /// Time at which this host learned of the target's first broken run.
    at: Moment,
}

/// Returns the number of moments, at least `gap` apart, among these times in ascending order.
fn count_moments(times: impl Iterator<Item = Moment>, gap: Duration) -> usize {
    let mut last: Option<Moment> = None;
    times
        .filter(|at| {
            let is_next = last.is_none_or(|it| it + gap <= *at);
            if is_next {
                last = Some(*at);
            }
            is_next
        })
        .count()
}

/// Runs that a target broke off at about the same time.
#[derive(Debug, Clone)]
struct Break {
    target: Run,
    /// Request of the first run.
    request: id::Fingerprint,
    /// Time at which this host learned of it.
    at: Moment,
    /// Whether runs of several requests broke off, as in a crash.
    is_crash: bool,
}

/// What is known of one part.
#[derive(Debug, Default)]
struct Record {
    /// Position in the prompts, counted from the first part.
    position: usize,
    /// Least time between the first and the last crash for the part to be blocked.
    min_span: Duration,
    /// Crashes under the part since it was last cleared, oldest first.
    crashes: Vec<Crash>,
    /// The last block since the part was last cleared.
    block: Option<Blocked>,
}

#[derive(Debug, Clone, Copy)]
struct Blocked {
    at: Moment,
    until: Moment,
    earlier: u8,
}

impl Record {
    fn is_blocked(&self, now: Moment) -> bool {
        self.block.is_some_and(|it| now < it.until)
    }

    /// Returns the number of moments at which targets crashed.
    fn moments(&self) -> usize {
        count_moments(self.crashes.iter().map(|it| it.at), MOMENT_GAP)
    }

    /// Returns whether targets crashed under several requests; a part of only one is no cause.
    fn is_shared(&self) -> bool {
        self.crashes
            .first()
            .is_some_and(|first| self.crashes.iter().any(|it| it.request != first.request))
    }

    fn has_crash(&self, target: &Run) -> bool {
        self.crashes.iter().any(|it| it.target == *target)
    }

    /// Drops what no longer counts; returns whether anything is left.
    fn expire(&mut self, now: Moment) -> bool {
        self.crashes.retain(|it| now < it.at + CRASH_TTL);
        self.block = self.block.filter(|it| now < it.until + PROBATION);
        !self.crashes.is_empty() || self.block.is_some()
    }

    /// Returns the key by which records are dropped when there are too many: those with the least
    /// evidence first, and of these the oldest.
    fn eviction_key(&self) -> (bool, usize, Option<Moment>) {
        (self.block.is_some(), self.moments(), self.crashes.last().map(|it| it.at))
    }
}

impl Detector {
    /// Creates a detector; `spread` differs from host to host, from 0 to 1.
    pub fn new(spread: f64) -> Detector {
        Detector { spread, ..Detector::default() }
    }

    /// Records that a target crashed before it had answered a request whose prompt has these shared
    /// parts; returns the parts that are blocked from now on.
    pub fn record_crash(
        &mut self,
        request: id::Fingerprint,
        parts: &[id::Fingerprint],
        target: &Run,
        now: Moment,
    ) -> Vec<id::Fingerprint> {
        let Some(crashed_at) = self.record_break(request, target, now) else { return Vec::new() };
        if self.is_blocked(parts, now) {
            self.explain(vec![target.clone()], now);
            return Vec::new();
        }
        for (position, part) in parts.iter().take(MAX_PROMPT_PARTS).enumerate() {
            let Some(record) = self.record_mut(*part, now) else { continue };
            record.position = position;
            record.min_span = match (position, parts.len()) {
                (0, 1) => ONLY_PART_SPAN,
                (0, _) => FIRST_PART_SPAN,
                _ => Duration::ZERO,
            };
            record.crashes.retain(|it| now < it.at + CRASH_TTL);
            if !record.has_crash(target) {
                if MAX_CRASHES <= record.crashes.len() {
                    record.crashes.remove(1);
                }
                record.crashes.push(Crash { target: target.clone(), request, at: crashed_at });
                record.crashes.sort_by_key(|it| it.at);
            }
        }
        let mut blocked = Vec::new();
        for part in parts.iter().take(MAX_PROMPT_PARTS).rev() {
            let Some(record) = self.parts.get(part) else { continue };
            let was_blocked = record.block.is_some() && !record.crashes.is_empty();
            if was_blocked || self.is_cause(*part, now) {
                self.block(*part, now);
                blocked.push(*part);
            }
        }
        blocked
    }

    /// Records that a target broke off a request's run; returns when the target broke off its first
    /// run, unless its crash is put down to a blocked part.
    pub fn record_break(
        &mut self,
        request: id::Fingerprint,
        target: &Run,
        now: Moment,
    ) -> Option<Moment> {
        self.explained.retain(|(_, at)| now < *at + EXPLANATION_TTL);
        if self.explained.iter().any(|(it, _)| it == target) {
            return None;
        }
        if let Some(index) = self.broken.iter().position(|it| it.target == *target) {
            let first = &mut self.broken[index];
            if now < first.at + CRASH_DURATION {
                first.is_crash |= first.request != request;
                return Some(first.at);
            }
            self.broken.remove(index);
        }
        if MAX_BROKEN_TARGETS <= self.broken.len() {
            self.broken.pop_front();
        }
        self.broken.push_back(Break { target: target.clone(), request, at: now, is_crash: false });
        Some(now)
    }

    /// Clears the parts of a prompt whose answer went on or was completed; returns those that were
    /// under suspicion.
    pub fn record_answer(
        &mut self,
        parts: &[id::Fingerprint],
        now: Moment,
    ) -> Vec<id::Fingerprint> {
        for part in parts.iter().take(MAX_PROMPT_PARTS) {
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(part) {
                self.answered.insert(*part, now);
            }
        }
        self.clear(parts)
    }

    /// Clears parts, of which another host has seen answers; returns those that were under
    /// suspicion.
    pub fn clear(&mut self, parts: &[id::Fingerprint]) -> Vec<id::Fingerprint> {
        let is_suspected = |it: &Record| it.block.is_some() || !it.crashes.is_empty();
        let removed =
            |it: &id::Fingerprint| self.parts.remove(it).is_some_and(|it| is_suspected(&it));
        parts.iter().copied().filter(removed).collect()
    }

    /// Returns whether a prompt with these parts is refused.
    pub fn is_blocked(&self, parts: &[id::Fingerprint], now: Moment) -> bool {
        self.blocked_part(parts, now).is_some()
    }

    /// Returns the first blocked one of these parts.
    pub fn blocked_part(&self, parts: &[id::Fingerprint], now: Moment) -> Option<id::Fingerprint> {
        let is_blocked =
            |it: &id::Fingerprint| self.parts.get(it).is_some_and(|it| it.is_blocked(now));
        parts.iter().copied().find(is_blocked)
    }

    /// Returns whether a prompt with these parts, whose run broke off before its answer had begun,
    /// is not sent again.
    pub fn is_retry_refused(&self, parts: &[id::Fingerprint], now: Moment) -> bool {
        self.is_blocked(parts, now)
            || parts.iter().any(|it| {
                self.parts.get(it).is_some_and(|record| {
                    let moments = match self.has_share(record, MOST_CRASHES) {
                        true => self.short_moments(record),
                        false => record.moments(),
                    };
                    RETRY_THRESHOLD <= moments && self.is_unexplained(record, now)
                })
            })
    }

    /// Returns the blocks in force, newest first, as a report to another host.
    pub fn report(&self, now: Moment) -> Vec<Block> {
        let blocked = self.parts.iter().filter(|(_, it)| it.is_blocked(now));
        let mut blocks: Vec<Block> = blocked
            .filter_map(|(part, it)| {
                let Blocked { at, earlier, .. } = it.block?;
                Some(Block { part: *part, age: now.saturating_sub(at), earlier })
            })
            .collect();
        blocks.sort_unstable_by_key(|it| (it.age, it.part));
        blocks.truncate(MAX_REPORTED_BLOCKS);
        blocks
    }

    /// Applies another host's report; returns the parts in it that this host has seen answered
    /// since.
    pub fn apply_report(&mut self, blocks: &[Block], now: Moment) -> Vec<id::Fingerprint> {
        let mut cleared = Vec::new();
        for block in blocks.iter().take(MAX_REPORTED_BLOCKS) {
            let at = now.saturating_sub(block.age);
            if self.answered.get(&block.part).is_some_and(|it| at <= *it) {
                cleared.push(block.part);
                continue;
            }
            let blocked = self.blocked(at, block.earlier);
            let Some(record) = self.record_mut(block.part, now) else { continue };
            if record.block.is_none_or(|it| it.earlier < block.earlier) {
                record.block = Some(blocked);
                record.crashes.clear();
            }
        }
        cleared
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.parts.retain(|_, it| it.expire(now));
        self.answered.retain(|_, at| now < *at + ANSWER_TTL);
        self.explained.retain(|(_, at)| now < *at + EXPLANATION_TTL);
        self.broken.retain(|it| now < it.at + CRASH_TTL);
    }

    /// Returns the number of parts tracked.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is tracked.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether a part is the cause of enough crashes to be blocked.
    fn is_cause(&self, part: id::Fingerprint, now: Moment) -> bool {
        let Some(record) = self.parts.get(&part) else { return false };
        let (Some(first), Some(last)) = (record.crashes.first(), record.crashes.last()) else {
            return false;
        };
        if last.at < first.at + record.min_span {
            return false;
        }
        let is_repeated =
            BLOCK_THRESHOLD <= record.moments() && self.has_share(record, MIN_CRASHES);
        let short_moments = self.short_moments(record);
        let is_frequent = BLOCK_THRESHOLD <= short_moments
            || MANY_TARGETS_THRESHOLD <= short_moments && MANY_TARGETS <= record.crashes.len();
        (is_repeated || is_frequent && self.has_share(record, MOST_CRASHES))
            && self.is_unexplained(record, now)
    }

    /// Returns the number of moments at which targets crashed under a part, with the shorter gap and
    /// without failures of many targets at once.
    fn short_moments(&self, record: &Record) -> usize {
        let is_mass_failure = |at: Moment| {
            let near = |it: &&Break| {
                it.is_crash && at < it.at + MASS_FAILURE_GAP && it.at < at + MASS_FAILURE_GAP
            };
            let crashes: Vec<&Break> = self.broken.iter().filter(near).collect();
            let are_all_under_part = crashes.iter().all(|it| record.has_crash(&it.target));
            let limit = if are_all_under_part { MANY_MASS_TARGETS } else { MASS_FAILURE_TARGETS };
            limit <= crashes.len()
        };
        let times = record.crashes.iter().map(|it| it.at);
        count_moments(times.filter(|it| !is_mass_failure(*it)), SHORT_MOMENT_GAP)
    }

    /// Returns whether this share of the targets that crashed since a part's first crash did so under
    /// it.
    fn has_share(&self, record: &Record, share: f64) -> bool {
        let Some(first) = record.crashes.first() else { return false };
        let crashes = self.broken.iter().filter(|it| it.is_crash && first.at <= it.at).count();
        share * crashes as f64 <= record.crashes.len() as f64
    }

    /// Returns whether no part further on in the prompts accounts for the crashes under a part that
    /// several requests have.
    fn is_unexplained(&self, record: &Record, now: Moment) -> bool {
        if !record.is_shared() {
            return false;
        }
        // The other runs of a crash that was reported just now may be reported yet.
        let is_settled = |it: &&Crash| it.at + REPORT_DELAY <= now;
        let settled: Vec<&Crash> = record.crashes.iter().filter(is_settled).collect();
        let explains = |other: &Record| {
            record.position < other.position && settled.iter().all(|it| other.has_crash(&it.target))
        };
        !self.parts.values().any(|it| it.is_shared() && explains(it))
    }

    /// Blocks a part and puts its crashes down to it.
    fn block(&mut self, part: id::Fingerprint, now: Moment) {
        let Some(record) = self.parts.get_mut(&part) else { return };
        let crashes = std::mem::take(&mut record.crashes);
        let earlier = record.block.map_or(0, |it| it.earlier.saturating_add(1));
        let blocked = self.blocked(now, earlier);
        if let Some(record) = self.parts.get_mut(&part) {
            record.block = Some(blocked);
        }
        self.explain(crashes.into_iter().map(|it| it.target).collect(), now);
    }

    /// Returns a block from this time on, with this host's share of the spread.
    fn blocked(&self, at: Moment, earlier: u8) -> Blocked {
        let length = FIRST_BLOCK.saturating_mul(1 << earlier.min(16)).min(MAX_BLOCK);
        Blocked { at, until: at + length.mul_f64(1.0 + BLOCK_SPREAD * self.spread), earlier }
    }

    /// Puts crashes of targets down to a blocked part.
    fn explain(&mut self, targets: Vec<Run>, now: Moment) {
        for record in self.parts.values_mut() {
            record.crashes.retain(|it| !targets.contains(&it.target));
        }
        for target in targets {
            if MAX_EXPLANATIONS <= self.explained.len() {
                self.explained.pop_front();
            }
            self.explained.push_back((target, now));
        }
    }

    /// Returns the record of a part, for which another one is dropped if there are too many.
    fn record_mut(&mut self, part: id::Fingerprint, now: Moment) -> Option<&mut Record> {
        if MAX_PARTS <= self.parts.len() && !self.parts.contains_key(&part) {
            self.expire(now);
            if MAX_PARTS <= self.parts.len() {
                let weakest = self.parts.iter().min_by_key(|(_, it)| it.eviction_key());
                let (weakest, is_block) = weakest.map(|(key, it)| (*key, it.block.is_some()))?;
                if is_block {
                    return None;
                }
                self.parts.remove(&weakest);
            }
        }
        Some(self.parts.entry(part).or_default())
    }
}
