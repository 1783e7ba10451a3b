//! Simple ways of choosing, kept to measure the others against.

use rand::{Rng, rngs::SmallRng};

use crate::route::{
    choice::{Candidates, Route, Scene},
    replica::ReplicaKey,
};

impl Candidates {
    /// Takes each engine in turn.
    pub(super) fn in_turn(&self, turn: usize) -> Option<Route> {
        let nth = |keys: &[ReplicaKey]| (!keys.is_empty()).then(|| keys[turn % keys.len()]);
        let pairs = self.prefill.len().min(self.decode.len());
        let all = pairs + self.mixed.len();
        if all == 0 {
            return None;
        }
        if turn % all < self.mixed.len() {
            return nth(&self.mixed).map(|target| Route { prefill: None, target });
        }
        nth(&self.decode).map(|target| Route { prefill: nth(&self.prefill), target })
    }

    /// Takes the engines with the fewest requests of this host.
    pub(super) fn least_outstanding(&self, scene: &Scene<'_>) -> Option<Route> {
        let load = |it: &ReplicaKey| f64::from(scene.fleet.replicas[*it].load.own);
        self.least(load)
    }

    /// Takes the less loaded of two random engines.
    pub(super) fn two_random(&self, scene: &Scene<'_>, rng: &mut SmallRng) -> Option<Route> {
        let mut drawn = Candidates::default();
        for (keys, kept) in [
            (&self.prefill, &mut drawn.prefill),
            (&self.decode, &mut drawn.decode),
            (&self.mixed, &mut drawn.mixed),
        ] {
            if !keys.is_empty() {
                kept.extend((0..2).map(|_| keys[rng.random_range(0..keys.len())]));
            }
        }
        drawn.least(|it| scene.fleet.replicas[*it].load.running())
    }

    fn least(&self, load: impl Fn(&ReplicaKey) -> f64) -> Option<Route> {
        let lowest = |keys: &[ReplicaKey]| {
            let loads = keys.iter().map(|it| (load(it), *it));
            loads.min_by(|(a, _), (b, _)| a.total_cmp(b))
        };
        let (prefill, decode, mixed) =
            (lowest(&self.prefill), lowest(&self.decode), lowest(&self.mixed));
        let pair = prefill.zip(decode);
        match (pair, mixed) {
            (Some(((a, prefill), (b, target))), Some((c, _))) if a.max(b) < c => {
                Some(Route { prefill: Some(prefill), target })
            }
            (_, Some((_, target))) => Some(Route { prefill: None, target }),
            (Some(((_, prefill), (_, target))), None) => {
                Some(Route { prefill: Some(prefill), target })
            }
            (None, None) => None,
        }
    }
}
