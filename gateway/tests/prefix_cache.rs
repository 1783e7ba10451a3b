//! Expected contents of an engine's prefix cache.

mod common;

use fuchsiaknot_gateway::placement::prefix_cache::Index;

use common::{keys, prompt};

#[test]
fn leading_parts() {
    let key = keys(1)[0];
    let mut index = Index::default();
    let first = prompt("shared", 1000, "own", 200);
    index.record_prefill(key, &first.parts, 10_000);
    assert_eq!(index.cached_tokens(key, &first.parts), 1200);
    assert_eq!(index.missing_tokens(key, &prompt("shared", 1000, "other", 300)), 300);
    assert_eq!(index.missing_tokens(key, &prompt("unknown", 1000, "own", 200)), 1200);
}

#[test]
fn least_recent_evicted() {
    let key = keys(1)[0];
    let mut index = Index::default();
    for at in 0..20 {
        index.record_prefill(
            key,
            &prompt(&format!("s{at}"), 900, &format!("o{at}"), 100).parts,
            5000,
        );
    }
    assert_eq!(index.cached_tokens(key, &prompt("s19", 900, "x", 1).parts), 900);
    assert_eq!(index.cached_tokens(key, &prompt("s2", 900, "x", 1).parts), 0);
}

/// The log of uses stays bounded for a part that is used again and again.
#[test]
fn bounded_log() {
    let key = keys(1)[0];
    let mut index = Index::default();
    for _ in 0..10_000 {
        index.record_prefill(key, &prompt("shared", 900, "own", 100).parts, 1_000_000);
    }
    assert!(index.logged_uses(key) < 2000);
}
