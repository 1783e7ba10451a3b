//! Generated text: token `i` depends on nothing but the model, the prompt and `i`.

use smol_str::{SmolStr, format_smolstr};

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "ice", "flake", "order", "delivery", "clinic", "bakery", "stall", "truck", "lease", "flat",
    "district", "index", "quarter", "listing", "rent", "terms",
];
/// Prompt word that sets the length of the answer, as in `stop-after=12`.
const STOP_AFTER: &str = "stop-after=";

/// Returns a token's text; all but the first begin with a space.
pub(super) fn token(seed: u64, index: u32) -> SmolStr {
    let mixed = mix(seed ^ u64::from(index));
    let word = WORDS[(mixed % WORDS.len() as u64) as usize];
    match index {
        0 => SmolStr::new_static(word),
        _ => format_smolstr!(" {word}"),
    }
}

/// Returns the length of the whole answer, in tokens, and why it ends there.
pub(super) fn length(prompt: &str, max_tokens: u32) -> (u32, &'static str) {
    let wanted = prompt
        .split_whitespace()
        .find_map(|it| it.strip_prefix(STOP_AFTER))
        .and_then(|it| it.parse().ok());
    match wanted {
        Some(it) if it < max_tokens => (it, "stop"),
        _ => (max_tokens, "length"),
    }
}

/// Spreads a number over all 64 bits, as in SplitMix64.
fn mix(seed: u64) -> u64 {
    let mut it = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}
