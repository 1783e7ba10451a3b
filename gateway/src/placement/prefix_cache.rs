//! Index of the prompt parts that each engine is expected to hold in its prefix cache.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use fuchsiaknot_core::clock::Moment;
use slotmap::SecondaryMap;
use smol_str::SmolStr;

use crate::{
    entry::prompt::{Part, Prompt},
    targets::registry::Key,
};

/// Superseded entries that an engine's log of uses may hold before it is compacted.
const MAX_STALE_USES: usize = 1024;

/// Time after which a part that was sent to an engine is expected to be read, so that another engine
/// can fetch it.
const READ_TIME: Duration = Duration::from_millis(600);

/// Expected prefix caches of the engines, based on the prompts sent to them.
#[derive(Debug, Default)]
pub struct Index {
    engines: SecondaryMap<Key, Engine>,
    /// Engines that hold each part that prompts share.
    holders: HashMap<SmolStr, Vec<Key>>,
    /// Time of the current decisions.
    now: Moment,
}

#[derive(Debug, Default)]
struct Engine {
    /// Cached parts.
    parts: HashMap<SmolStr, CachedPart>,
    /// Log of uses, oldest first; entries with an older number than in `parts` are superseded.
    uses: VecDeque<(SmolStr, u64)>,
    /// Tokens of all cached parts.
    tokens: u64,
    /// Number of the engine's last use.
    last_use: u64,
}

/// A part that an engine is expected to hold.
#[derive(Debug, Clone, Copy, Default)]
struct CachedPart {
    /// Number of its last use.
    last_use: u64,
    tokens: u64,
    /// Time since which it is held.
    since: Moment,
}

impl Index {
    /// Sets the time of the decisions that follow.
    pub fn set_time(&mut self, now: Moment) {
        self.now = now;
    }

    /// Records that an engine prefills a prompt with these parts; its cache holds `capacity`
    /// tokens.
    pub fn record_prefill(&mut self, key: Key, parts: &[Part], capacity: u64) {
        let Some(entry) = self.engines.entry(key) else { return };
        let engine = entry.or_default();
        for (at, part) in parts.iter().enumerate() {
            let is_new = engine.record_use(part, self.now);
            // The last part belongs to one request.
            if is_new && at + 1 < parts.len() {
                self.holders.entry(part.id.clone()).or_default().push(key);
            }
        }
        for id in engine.evict(capacity) {
            remove_holder(&mut self.holders, &id, key);
        }
    }

    /// Returns the engines that are expected to hold a part that prompts share.
    pub fn holders(&self, part: &str) -> &[Key] {
        self.holders.get(part).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens of the leading parts that an engine is expected to hold.
    pub fn cached_tokens(&self, key: Key, parts: &[Part]) -> u64 {
        let Some(engine) = self.engines.get(key) else { return 0 };
        let cached = parts.iter().take_while(|it| engine.parts.contains_key(&it.id));
        cached.map(|it| it.tokens).sum()
    }

    /// Returns the tokens of the leading parts that another engine can fetch from an engine.
    pub fn fetchable_tokens(&self, key: Key, parts: &[Part]) -> u64 {
        let Some(engine) = self.engines.get(key) else { return 0 };
        let is_read = |it: &&Part| {
            engine.parts.get(&it.id).is_some_and(|cached| cached.since + READ_TIME <= self.now)
        };
        parts.iter().take_while(is_read).map(|it| it.tokens).sum()
    }

    /// Returns the tokens of a prompt that an engine is not expected to hold, at least 1.
    pub fn missing_tokens(&self, key: Key, prompt: &Prompt) -> u64 {
        prompt.tokens.saturating_sub(self.cached_tokens(key, &prompt.parts)).max(1)
    }

    /// Returns the length of an engine's log of uses.
    pub fn logged_uses(&self, key: Key) -> usize {
        self.engines.get(key).map_or(0, |it| it.uses.len())
    }

    /// Removes an engine.
    pub fn forget(&mut self, key: Key) {
        for id in self.engines.remove(key).into_iter().flat_map(|it| it.parts.into_keys()) {
            remove_holder(&mut self.holders, &id, key);
        }
    }
}

fn remove_holder(holders: &mut HashMap<SmolStr, Vec<Key>>, part: &SmolStr, key: Key) {
    let Some(keys) = holders.get_mut(part) else { return };
    keys.retain(|it| *it != key);
    if keys.is_empty() {
        holders.remove(part);
    }
}

impl Engine {
    /// Records the use of a part; returns whether the engine did not hold it.
    fn record_use(&mut self, part: &Part, now: Moment) -> bool {
        self.last_use += 1;
        let replaced = self.parts.get(&part.id).copied();
        let since = replaced.map_or(now, |it| it.since);
        let cached = CachedPart { last_use: self.last_use, tokens: part.tokens, since };
        self.parts.insert(part.id.clone(), cached);
        if replaced.is_none() {
            self.tokens += part.tokens;
        }
        self.uses.push_back((part.id.clone(), self.last_use));
        replaced.is_none()
    }

    /// Evicts and returns the least recently used parts beyond the capacity, and compacts the log
    /// of uses.
    fn evict(&mut self, capacity: u64) -> Vec<SmolStr> {
        let mut evicted = Vec::new();
        if MAX_STALE_USES + 2 * self.parts.len() < self.uses.len() {
            let parts = &self.parts;
            self.uses.retain(|(id, number)| parts.get(id).is_some_and(|it| it.last_use == *number));
        }
        while let Some((id, number)) = self.uses.front() {
            let CachedPart { last_use, tokens, .. } =
                self.parts.get(id).copied().unwrap_or_default();
            if last_use == *number {
                if self.tokens <= capacity {
                    break;
                }
                self.parts.remove(id);
                self.tokens -= tokens;
                evicted.push(id.clone());
            }
            self.uses.pop_front();
        }
        evicted
    }
}
