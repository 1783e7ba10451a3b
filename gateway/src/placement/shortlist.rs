//! Selects the few engines of a large fleet that can be the best choice for a prompt.
//!
//! The cost of a prompt on an engine depends on the engine's load, on the parts of the prompt in its
//! prefix cache, and on whether it is the prompt's home. Among the engines that are neither home nor
//! hold the shared parts, only the least loaded can be the cheapest. So only these, the homes and
//! the holders are compared in detail, and a decision takes little longer in a large fleet.

use std::collections::{BTreeMap, HashMap};

use slotmap::SecondaryMap;

use crate::{
    placement::{
        balancer,
        dispatch::{Engine, Request},
        engine::{Candidate, LatencyModel},
    },
    targets::{registry::Key, target::Stage},
};

/// Number of least loaded engines of each stage on a shortlist.
const LEAST_LOADED: usize = 6;
/// Most engines that hold a shared part and are on a shortlist for it. A part with more holders is
/// also held by some of the least loaded engines.
const MAX_HOLDERS: usize = 32;
/// Prompt parts whose homes are remembered; all are forgotten when there are more.
const MAX_REMEMBERED_PARTS: usize = 20_000;
/// Prompt tokens for which the loads of engines are compared.
const TYPICAL_TOKENS: u64 = 2000;

/// Loads of a fleet's engines, in the order of the fleet.
#[derive(Debug)]
pub(crate) struct Ranking {
    loads: Vec<Load>,
    positions: SecondaryMap<Key, usize>,
}

/// Load of one engine.
#[derive(Debug, Clone, Copy)]
struct Load {
    stage: Stage,
    data_centre: u16,
    version: u16,
    /// Expected milliseconds to the first event of a typical prompt.
    first_event_ms: f64,
    /// Measure of how much one more generation would be slowed down.
    occupancy: f64,
    has_slot: bool,
    free_kv_tokens: u64,
}

impl Load {
    fn new(engine: &Engine, latency_model: &LatencyModel) -> Load {
        let candidate = Candidate { missing_tokens: TYPICAL_TOKENS, ..engine.without_prompt() };
        Load {
            stage: engine.stage,
            data_centre: engine.data_centre,
            version: engine.version,
            first_event_ms: candidate.estimate(latency_model).first_event.as_secs_f64() * 1e3,
            occupancy: candidate.occupancy(),
            has_slot: candidate.requests < candidate.slots,
            free_kv_tokens: candidate.kv_capacity_tokens.saturating_sub(candidate.used_kv_tokens),
        }
    }
}

/// The least loaded engines found so far, by a measure of load.
#[derive(Debug)]
struct Least<const N: usize> {
    found: Vec<(f64, usize)>,
}

impl<const N: usize> Least<N> {
    fn new() -> Least<N> {
        Least { found: Vec::with_capacity(N + 1) }
    }

    fn offer(&mut self, load: f64, position: usize) {
        if self.found.len() == N && self.found.last().is_some_and(|it| it.0 <= load) {
            return;
        }
        let at = self.found.partition_point(|it| it.0 <= load);
        self.found.insert(at, (load, position));
        self.found.truncate(N);
    }
}

impl Ranking {
    pub(crate) fn new(engines: &[Engine], latency_model: &LatencyModel) -> Ranking {
        let mut positions = SecondaryMap::with_capacity(engines.len());
        for (position, engine) in engines.iter().enumerate() {
            positions.insert(engine.key, position);
        }
        let loads = engines.iter().map(|it| Load::new(it, latency_model)).collect();
        Ranking { loads, positions }
    }

    /// Returns the position of an engine in the fleet.
    pub(crate) fn position(&self, key: Key) -> Option<usize> {
        self.positions.get(key).copied()
    }

    /// Updates the load of the engine at a position.
    pub(crate) fn update(&mut self, position: usize, engine: &Engine, model: &LatencyModel) {
        if let Some(load) = self.loads.get_mut(position) {
            *load = Load::new(engine, model);
        }
    }

    /// Returns the positions of the engines to compare for a prompt that needs `kv_tokens` of KV
    /// cache memory, each once and in the order of the fleet.
    pub(crate) fn shortlist(
        &self,
        kv_tokens: u64,
        homes: Homes,
        holders: &[Key],
        is_avoided: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        // By software version, since an engine of the same one has to generate.
        let mut prefill: BTreeMap<u16, Least<LEAST_LOADED>> = BTreeMap::new();
        let mut decode: BTreeMap<u16, Least<LEAST_LOADED>> = BTreeMap::new();
        let mut least_occupied: BTreeMap<(u16, u16), Least<1>> = BTreeMap::new();
        for (position, load) in self.loads.iter().enumerate() {
            if !load.has_slot || load.free_kv_tokens < kv_tokens || is_avoided(position) {
                continue;
            }
            match load.stage {
                Stage::Prefill => {
                    let of_version = prefill.entry(load.version).or_insert_with(Least::new);
                    of_version.offer(load.first_event_ms, position);
                }
                Stage::Decode => {
                    let of_version = decode.entry(load.version).or_insert_with(Least::new);
                    of_version.offer(load.first_event_ms, position);
                    let of_data_centre = least_occupied.entry((load.version, load.data_centre));
                    of_data_centre.or_insert_with(Least::new).offer(load.occupancy, position);
                }
            }
        }
        let least_occupied = least_occupied.into_values().flat_map(|it| it.found);
        let least_loaded = prefill.into_values().chain(decode.into_values());
        let least = least_loaded.flat_map(|it| it.found).chain(least_occupied);
        let homes = homes.into_iter().flatten();
        let holders = holders.iter().take(MAX_HOLDERS).copied();
        let known = homes.chain(holders).filter_map(|key| self.position(key));
        let known = known.filter(|position| !is_avoided(*position));
        let mut shortlist: Vec<usize> = least.map(|it| it.1).chain(known).collect();
        shortlist.sort_unstable();
        shortlist.dedup();
        shortlist
    }
}

/// Home engines of a prompt: one of each stage.
pub(crate) type Homes = [Option<Key>; 2];

/// Home engines of the prompts of one service, by the identifier of the last shared part.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    /// Engines among which the homes were chosen.
    engines: Vec<(Key, Stage)>,
    by_part: HashMap<smol_str::SmolStr, Homes>,
}

impl Affinity {
    /// Forgets all homes if the engines changed.
    pub(crate) fn set_engines(&mut self, engines: &[Engine]) {
        let is_same = self.engines.len() == engines.len()
            && self
                .engines
                .iter()
                .zip(engines)
                .all(|(it, engine)| *it == (engine.key, engine.stage));
        if !is_same {
            self.engines = engines.iter().map(|it| (it.key, it.stage)).collect();
            self.by_part.clear();
        }
    }

    /// Returns the home engines of prompts with this shared part, not among the avoided engines.
    pub(crate) fn homes(&mut self, engines: &[Engine], part: &str, request: &Request) -> Homes {
        if !request.avoid.is_empty() || request.version.is_some() {
            return find_homes(engines, part, |it| request.allows(it));
        }
        if let Some(homes) = self.by_part.get(part) {
            return *homes;
        }
        if MAX_REMEMBERED_PARTS <= self.by_part.len() {
            self.by_part.clear();
        }
        let homes = find_homes(engines, part, |_| true);
        self.by_part.insert(part.into(), homes);
        homes
    }
}

/// Returns the allowed engine of each stage with the highest rendezvous hash.
fn find_homes(engines: &[Engine], part: &str, is_allowed: impl Fn(&Engine) -> bool) -> Homes {
    let mut best: [Option<(u64, Key)>; 2] = [None; 2];
    for engine in engines.iter().filter(|it| is_allowed(it)) {
        let hash = balancer::rendezvous_hash(&engine.id, part);
        let best = &mut best[usize::from(engine.stage == Stage::Decode)];
        if best.is_none_or(|(highest, _)| highest <= hash) {
            *best = Some((hash, engine.key));
        }
    }
    best.map(|it| it.map(|(_, key)| key))
}
