//! Sections `customer <name>` of the plans list.

use smol_str::SmolStr;

use crate::{
    id,
    settings::{Field, Section, Slot},
};

/// A customer's account as the plans list gives it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Account {
    /// Plan that the account is on.
    pub plan: id::Plan,
    /// Hashes of the keys that the account may use.
    pub keys: Vec<SmolStr>,
}

impl Section for Account {
    const NAME: &'static str = "customer";
    const FIELDS: &'static [Field<Account>] = &[
        Field::required("plan", "Plan that the account is on.", |it| Slot::Name(&mut it.plan)),
        Field::required(
            "key",
            "Hash of the account's key; two of them, separated by a comma, while keys change.",
            |it| Slot::KeyHashes(&mut it.keys),
        ),
    ];
}
