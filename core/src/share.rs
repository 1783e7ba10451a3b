//! Weighted max-min fairness.

/// A party that competes for a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight of the party.
    pub weight: f64,
    /// What it would take if it were alone.
    pub demand: f64,
}

/// Returns the level up to which the claims are met for each unit of weight, so that what is given,
/// the lower of demand and level times weight, adds up to `capacity`; infinite if all demand fits.
pub fn level(capacity: f64, claims: impl IntoIterator<Item = Claim>) -> f64 {
    let mut claims: Vec<Claim> = claims.into_iter().filter(|it| 0.0 < it.weight).collect();
    claims.sort_by(|a, b| (a.demand / a.weight).total_cmp(&(b.demand / b.weight)));
    let mut weight: f64 = claims.iter().map(|it| it.weight).sum();
    let mut remaining = capacity.max(0.0);
    for claim in claims {
        let level = remaining / weight;
        if level * claim.weight < claim.demand {
            return level;
        }
        remaining -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}
