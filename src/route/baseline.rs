//! Simple routing policies, kept as baselines to compare the default policy with.

use rand::{Rng, rngs::SmallRng};

use crate::route::{
    choice::{Candidates, PathKeys, Predictor},
    replica::ReplicaKey,
};

impl Candidates {
    /// Chooses the mixed engines and the pairs of prefill and decode engines in turn.
    pub(super) fn round_robin(&self, turn: usize) -> Option<PathKeys> {
        let nth = |keys: &[ReplicaKey]| (!keys.is_empty()).then(|| keys[turn % keys.len()]);
        let pairs = self.prefill.len().min(self.decode.len());
        let paths = pairs + self.mixed.len();
        if paths == 0 {
            return None;
        }
        if turn % paths < self.mixed.len() {
            return nth(&self.mixed).map(|target| PathKeys { prefill: None, target });
        }
        nth(&self.decode).map(|target| PathKeys { prefill: nth(&self.prefill), target })
    }

    /// Chooses the targets with the fewest requests in flight from this host.
    pub(super) fn least_outstanding(&self, predictor: &Predictor<'_>) -> Option<PathKeys> {
        let load = |it: &ReplicaKey| f64::from(predictor.fleet.replicas[*it].load.own_requests);
        self.least_loaded(load)
    }

    /// Chooses the less loaded of two targets that are drawn at random, for each role.
    pub(super) fn two_random(
        &self,
        predictor: &Predictor<'_>,
        rng: &mut SmallRng,
    ) -> Option<PathKeys> {
        let mut drawn = Candidates::default();
        for (keys, drawn_keys) in [
            (&self.prefill, &mut drawn.prefill),
            (&self.decode, &mut drawn.decode),
            (&self.mixed, &mut drawn.mixed),
        ] {
            if !keys.is_empty() {
                drawn_keys.extend((0..2).map(|_| keys[rng.random_range(0..keys.len())]));
            }
        }
        drawn.least_loaded(|it| predictor.fleet.replicas[*it].load.running())
    }

    /// Chooses the path with the least `load`; that of a pair is the load of its busier engine.
    fn least_loaded(&self, load: impl Fn(&ReplicaKey) -> f64) -> Option<PathKeys> {
        let lowest = |keys: &[ReplicaKey]| {
            let loads = keys.iter().map(|it| (load(it), *it));
            loads.min_by(|(a, _), (b, _)| a.total_cmp(b))
        };
        let (prefill, decode, mixed) =
            (lowest(&self.prefill), lowest(&self.decode), lowest(&self.mixed));
        let pair = prefill.zip(decode);
        match (pair, mixed) {
            (Some(((a, prefill), (b, target))), Some((c, _))) if a.max(b) < c => {
                Some(PathKeys { prefill: Some(prefill), target })
            }
            (_, Some((_, target))) => Some(PathKeys { prefill: None, target }),
            (Some(((_, prefill), (_, target))), None) => {
                Some(PathKeys { prefill: Some(prefill), target })
            }
            (None, None) => None,
        }
    }
}
