//! Generated text, in which token `i` depends only on the model, the prompt and `i`.

use smol_str::{SmolStr, format_smolstr};

/// Words that the engine generates.
const VOCABULARY: [&str; 16] = [
    "ice", "flake", "order", "delivery", "clinic", "bakery", "stall", "truck", "lease", "flat",
    "district", "index", "quarter", "listing", "rent", "terms",
];
/// Prefix of the prompt word that sets the length of the answer in tokens, as in `stop-after=12`.
const STOP_AFTER_PREFIX: &str = "stop-after=";

/// Returns the text of a token; all but the first begin with a space.
pub(super) fn token_text(seed: u64, index: u32) -> SmolStr {
    let hash = splitmix64(seed ^ u64::from(index));
    let word = VOCABULARY[(hash % VOCABULARY.len() as u64) as usize];
    match index {
        0 => SmolStr::new_static(word),
        _ => format_smolstr!(" {word}"),
    }
}

/// Returns the length of the complete answer, in tokens, and its finish reason.
pub(super) fn length_and_reason(prompt: &str, max_tokens: u32) -> (u32, &'static str) {
    let requested = prompt
        .split_whitespace()
        .find_map(|it| it.strip_prefix(STOP_AFTER_PREFIX))
        .and_then(|it| it.parse().ok());
    match requested {
        Some(it) if it < max_tokens => (it, "stop"),
        _ => (max_tokens, "length"),
    }
}

/// Hashes a number with the output function of SplitMix64.
fn splitmix64(seed: u64) -> u64 {
    let mut it = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}
