//! Token counts and prefix-cache hashes of prompts, computed as the engines do.

use super::PIECE_TOKENS;

/// Returns the number of tokens in a prompt; tokens are separated by white space.
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the chained hash of each full piece of [`PIECE_TOKENS`] tokens of a prompt, in order.
///
/// Each hash also covers the model and all tokens before the piece, so two prompts share a hash
/// only if they are equal up to the end of that piece. A last piece with fewer tokens has no hash.
pub fn piece_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let mut pieces = Vec::new();
    for (i, token) in (1..).zip(prompt.split_whitespace()) {
        hasher.update(b" ");
        hasher.update(token.as_bytes());
        if i % PIECE_TOKENS == 0 {
            pieces.push(truncate(&hasher.finalize()));
        }
    }
    pieces
}

/// Returns a hash of a model name and a whole prompt.
pub fn prompt_hash(model: &str, prompt: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(b"\0");
    hasher.update(prompt.as_bytes());
    truncate(&hasher.finalize())
}

fn truncate(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(bytes)
}
