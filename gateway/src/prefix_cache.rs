//! Which shared prompt parts each engine is believed to hold.

use std::collections::{HashMap, VecDeque};

use slotmap::SecondaryMap;
use smol_str::SmolStr;

use crate::{
    prompt::{Part, Prompt},
    registry::Key,
};

/// Uses that newer ones replaced and that are kept before they are cleared out.
const MAX_STALE_USES: usize = 1024;

/// Cache contents of the engines as this host's own requests made them.
#[derive(Debug, Default)]
pub struct Index {
    engines: SecondaryMap<Key, Engine>,
}

#[derive(Debug, Default)]
struct Engine {
    /// Parts with the number of their newest use.
    parts: HashMap<SmolStr, (u64, u64)>,
    uses: VecDeque<(SmolStr, u64)>,
    tokens: u64,
    last_use: u64,
}

impl Index {
    /// Notes that an engine reads these parts, of which it keeps `capacity` tokens at most.
    pub fn record_prefill(&mut self, key: Key, parts: &[Part], capacity: u64) {
        let Some(entry) = self.engines.entry(key) else { return };
        let engine = entry.or_default();
        for part in parts {
            engine.record_use(part);
        }
        engine.evict(capacity);
    }

    /// Returns how many tokens of the leading parts an engine is believed to hold.
    pub fn cached_tokens(&self, key: Key, parts: &[Part]) -> u64 {
        let Some(engine) = self.engines.get(key) else { return 0 };
        let cached = parts.iter().take_while(|it| engine.parts.contains_key(&it.id));
        cached.map(|it| it.tokens).sum()
    }

    /// Returns how many tokens of a prompt an engine is believed to lack.
    pub fn missing_tokens(&self, key: Key, prompt: &Prompt) -> u64 {
        prompt.tokens.saturating_sub(self.cached_tokens(key, &prompt.parts)).max(1)
    }

    /// Returns how many uses are on record for an engine.
    pub fn recorded_uses(&self, key: Key) -> usize {
        self.engines.get(key).map_or(0, |it| it.uses.len())
    }

    /// Forgets an engine.
    pub fn forget(&mut self, key: Key) {
        self.engines.remove(key);
    }
}

impl Engine {
    fn record_use(&mut self, part: &Part) {
        self.last_use += 1;
        let before = self.parts.insert(part.id.clone(), (self.last_use, part.tokens));
        if before.is_none() {
            self.tokens += part.tokens;
        }
        self.uses.push_back((part.id.clone(), self.last_use));
    }

    /// Drops the least recently used parts beyond the capacity, and uses that newer ones replaced.
    fn evict(&mut self, capacity: u64) {
        if MAX_STALE_USES + 2 * self.parts.len() < self.uses.len() {
            let parts = &self.parts;
            self.uses.retain(|(id, at)| parts.get(id).is_some_and(|(newest, _)| newest == at));
        }
        while let Some((id, at)) = self.uses.front() {
            let (newest, tokens) = self.parts.get(id).copied().unwrap_or_default();
            if newest == *at {
                if self.tokens <= capacity {
                    break;
                }
                self.parts.remove(id);
                self.tokens -= tokens;
            }
            self.uses.pop_front();
        }
    }
}
