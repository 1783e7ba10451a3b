//! Values that several tests share.
#![allow(dead_code)]

use std::time::Duration;

use fuchsiaknot_gateway::{
    configuration::{Repeat, Route},
    prompt::{Part, Prompt},
    target::{Stage, Target},
};
use slotmap::SlotMap;

use fuchsiaknot_gateway::registry::Key;

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns distinct keys.
pub(crate) fn keys(count: usize) -> Vec<Key> {
    let mut map: SlotMap<Key, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

pub(crate) fn target(id: &str, sequence: u64) -> Target {
    Target {
        id: id.into(),
        incarnation: Some(1),
        sequence,
        service: "models".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        draining: false,
        stage: Some(Stage::Decode),
    }
}

pub(crate) fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: ms(1000),
        objective: ms(200),
        max_pause: ms(100),
        priority: 0,
        split: split.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        attempts: 2,
    }
}

/// Returns a prompt of a shared part and one of its own.
pub(crate) fn prompt(shared: &str, shared_tokens: u64, own: &str, own_tokens: u64) -> Prompt {
    Prompt {
        parts: vec![
            Part { id: shared.into(), tokens: shared_tokens },
            Part { id: own.into(), tokens: own_tokens },
        ],
        tokens: shared_tokens + own_tokens,
        output: 100,
    }
}
