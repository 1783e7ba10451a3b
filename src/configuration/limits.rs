//! Keys of the sections `plan <name>` in the limits list.

use super::Limits;
use crate::settings::{Field, Section, Slot};

impl Section for Limits {
    const NAME: &'static str = "plan";
    const FIELDS: &'static [Field<Limits>] = &[
        Field::required(
            "weight",
            "Share of engine time, relative to the weights of the other plans.",
            |it| Slot::Number(&mut it.weight),
        ),
        Field::optional(
            "requests_per_second",
            "Maximum requests per second across all hosts.",
            |it| Slot::Number(&mut it.requests_per_second),
        ),
        Field::optional("concurrent", "Maximum open requests across all hosts.", |it| {
            Slot::Count32(&mut it.concurrent)
        }),
        Field::optional(
            "tokens_per_second",
            "Maximum tokens per second, prompt and output, across all hosts.",
            |it| Slot::Number(&mut it.tokens_per_second),
        ),
        Field::optional(
            "allowed",
            "Models and services that the plan may use; all of them when absent.",
            |it| Slot::Names(&mut it.allowed),
        ),
        Field::optional(
            "priority",
            "Scheduling priority at the engines; higher values go first.",
            |it| Slot::Signed(&mut it.priority),
        ),
        Field::optional("first_token", "Time within which the first token is due.", |it| {
            Slot::Time(&mut it.first_token)
        }),
        Field::optional(
            "between_tokens",
            "Longest mean time between tokens at which a response is in time.",
            |it| Slot::Time(&mut it.between_tokens),
        ),
        Field::optional("queue", "Maximum queued requests per host.", |it| {
            Slot::Count(&mut it.queue)
        }),
    ];
}
