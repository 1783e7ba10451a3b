//! Client accounts: who a caller is, and how long this host may rely on what it knows of the keys.

use std::rc::Rc;

use fuchsiaknot_core::id;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name that targets are given.
    pub name: id::Account,
    /// Priority that goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Accounts of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    all: Vec<Rc<Account>>,
}

impl Accounts {
    /// Returns all accounts.
    pub fn all(&self) -> &[Rc<Account>] {
        &self.all
    }
}

/// State of the accounts on this host.
#[derive(Debug, Default)]
pub struct State {}
