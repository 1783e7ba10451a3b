//! Keys of the sections `customer <name>` in the plans list.

use smol_str::SmolStr;

use crate::{
    id,
    settings::{Field, Section, Slot},
};

/// Section `customer <name>` of the plans list: a customer's account.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Account {
    /// Plan of the account.
    pub plan: id::Plan,
    /// Hashes of the account's keys.
    pub keys: Vec<SmolStr>,
}

impl Section for Account {
    const NAME: &'static str = "customer";
    const FIELDS: &'static [Field<Account>] = &[
        Field::required("plan", "Plan of the account.", |it| Slot::Name(&mut it.plan)),
        Field::required(
            "key",
            "Hash of the account's key; during a key rotation two hashes, separated by a comma.",
            |it| Slot::KeyHashes(&mut it.keys),
        ),
    ];
}
