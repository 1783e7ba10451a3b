//! Sections `plan <name>` of the limits list.

use super::Limits;
use crate::settings::{Field, Section, Slot};

impl Section for Limits {
    const NAME: &'static str = "plan";
    const FIELDS: &'static [Field<Limits>] = &[
        Field::required("weight", "Share of engine time relative to the other plans'.", |it| {
            Slot::Number(&mut it.weight)
        }),
        Field::optional("requests_per_second", "Most requests a second over all hosts.", |it| {
            Slot::Number(&mut it.requests_per_second)
        }),
        Field::optional("concurrent", "Most requests open at once over all hosts.", |it| {
            Slot::Count32(&mut it.concurrent)
        }),
        Field::optional(
            "tokens_per_second",
            "Most tokens a second, prompt and output, over all hosts.",
            |it| Slot::Number(&mut it.tokens_per_second),
        ),
        Field::optional(
            "allowed",
            "Models and services that the plan may use; all of them when absent.",
            |it| Slot::Names(&mut it.allowed),
        ),
        Field::optional("priority", "Priority at the engines; higher goes first.", |it| {
            Slot::Signed(&mut it.priority)
        }),
        Field::optional("first_token", "Time within which the first token is due.", |it| {
            Slot::Time(&mut it.first_token)
        }),
        Field::optional(
            "between_tokens",
            "Mean time between tokens that is still in time.",
            |it| Slot::Time(&mut it.between_tokens),
        ),
        Field::optional("queue", "Requests that may wait on one host.", |it| {
            Slot::Count(&mut it.queue)
        }),
    ];
}
