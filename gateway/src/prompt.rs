//! What a request says of its prompt.

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::headers::HeaderNames;

/// One part of a prompt; requests that begin with the same parts share their cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identity of the part.
    pub id: SmolStr,
    /// Tokens of the part.
    pub tokens: u64,
}

/// A prompt's parts and sizes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Parts in order; the last belongs to the request or its session.
    pub parts: Vec<Part>,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that may be generated at most.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// Reads the prompt's headers; those that are missing or unreadable leave their part empty.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Prompt {
        let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let parts: Vec<Part> = text(&names.prompt_parts).split(',').filter_map(part).collect();
        let mut counts =
            text(&names.token_counts).split(',').map(|it| it.trim().parse().unwrap_or(0));
        let listed = parts.iter().map(|it| it.tokens).sum();
        let tokens = counts.next().unwrap_or(0).max(listed);
        Prompt { parts, tokens, max_output_tokens: counts.next().unwrap_or(0) }
    }

    /// Returns the part that decides which engines are home to the prompt: the last shared one.
    pub fn affinity_key(&self) -> &str {
        self.shared_parts().last().map_or("", |it| it.id.as_str())
    }

    /// Returns the tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u64 {
        self.tokens - self.shared_parts().iter().map(|it| it.tokens).sum::<u64>()
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part { id: SmolStr::new(id), tokens: tokens.parse().ok()? })
}
