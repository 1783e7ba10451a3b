//! Prompts as engines see them: tokens, and pieces of the prefix cache by chained hash.

use super::PIECE_TOKENS;

/// Returns the number of tokens in a prompt; a token is a word between white space.
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the hash of each whole piece of [`PIECE_TOKENS`] tokens from the start of a prompt.
///
/// Each hash also covers the model and everything before the piece, so that two prompts share a hash
/// only when they agree up to the end of that piece.
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

/// Returns a hash of a model and a whole prompt.
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
