//! Description of a prompt that a request carries in its headers.

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::entry::headers::HeaderNames;

/// Largest number of tokens that is read for a part or a whole request; larger ones count as this, so
/// that sums cannot overflow.
const MAX_TOKENS: u64 = 1 << 32;

/// One part of a prompt; prompts that begin with the same parts share their prefix cache entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifier of the part's content.
    pub id: SmolStr,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Parts of a prompt and token counts of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Parts in order; the last is specific to the request or its session.
    pub parts: Vec<Part>,
    /// Number of tokens in the whole prompt.
    pub tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// Parses the prompt's headers; missing or malformed values count as empty or 0.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Prompt {
        let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let parts: Vec<Part> =
            text(&names.prompt_parts).split(',').filter_map(parse_part).collect();
        let mut counts =
            text(&names.token_counts).split(',').map(|it| parse_tokens(it).unwrap_or(0));
        let part_tokens = parts.iter().map(|it| it.tokens).sum();
        let tokens = counts.next().unwrap_or(0).max(part_tokens);
        Prompt { parts, tokens, max_output_tokens: counts.next().unwrap_or(0) }
    }

    /// Returns the key by which prompts are assigned to engines: the identifier of the last shared
    /// part.
    pub fn affinity_key(&self) -> &str {
        self.shared_parts().last().map_or("", |it| it.id.as_str())
    }

    /// Returns the number of tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u64 {
        self.tokens - self.shared_parts().iter().map(|it| it.tokens).sum::<u64>()
    }

    /// Returns the identifiers of the parts that other requests may share.
    pub fn shared_part_ids(&self) -> Vec<&str> {
        self.shared_parts().iter().map(|it| it.id.as_str()).collect()
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

fn parse_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part { id: SmolStr::new(id), tokens: parse_tokens(tokens)? })
}

fn parse_tokens(text: &str) -> Option<u64> {
    text.trim().parse().ok().map(|it: u64| it.min(MAX_TOKENS))
}
