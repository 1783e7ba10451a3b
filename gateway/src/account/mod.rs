//! Client accounts: who a caller is, and how long this host may rely on what it knows of the keys.

pub mod freshness;
pub mod proof;
pub mod recognition;

use std::{collections::HashMap, fmt, rc::Rc};

use fuchsiaknot_core::{clock::Moment, id};
use smol_str::SmolStr;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name that targets are given.
    pub name: id::Account,
    /// Priority that goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Bytes of a [`Digest`].
const DIGEST_BYTES: usize = 16;

/// Hash of a caller's key, by which hosts tell each other of the key without passing it on.
///
/// Configurations keep digests only, so that no key can reach a log line.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

/// Text that is no digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the text is not a digest")]
pub struct Malformed;

impl From<&[u8]> for Digest {
    fn from(key: &[u8]) -> Digest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        Digest(digest)
    }
}

impl TryFrom<&str> for Digest {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<Digest, Malformed> {
        let is_hex =
            text.len() == 2 * DIGEST_BYTES && text.bytes().all(|it| it.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_hex).ok_or(Malformed)?;
        Ok(Digest(number.to_be_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest")
    }
}

/// An inconsistency among accounts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two accounts have the same name.
    #[error("two accounts are named {0}")]
    NameReused(id::Account),
    /// Two accounts hold the same key.
    #[error("accounts {0} and {1} hold the same key")]
    KeyShared(id::Account, id::Account),
    /// The name cannot be sent in a header.
    #[error("the account name {0:?} cannot be sent in a header")]
    NameUnusable(SmolStr),
    /// An account holds an empty key.
    #[error("account {0} holds an empty key")]
    KeyEmpty(id::Account),
}

/// Accounts of one version of the configuration.
///
/// Each key takes its digest and four bytes, at most twice as much while the table grows.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    all: Vec<Rc<Account>>,
    /// Position of the account that holds a key.
    by_key: HashMap<Digest, u32>,
}

impl TryFrom<Vec<(Account, Vec<SmolStr>)>> for Accounts {
    type Error = Error;

    /// Checks accounts and their keys; an account may list a key twice.
    fn try_from(entries: Vec<(Account, Vec<SmolStr>)>) -> Result<Accounts, Error> {
        let mut accounts = Accounts::default();
        accounts.by_key.reserve(entries.iter().map(|(_, keys)| keys.len()).sum());
        for (account, keys) in entries {
            accounts.add(account, &keys)?;
        }
        let mut names: Vec<&id::Account> = accounts.all.iter().map(|it| &it.name).collect();
        names.sort_unstable();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(Error::NameReused(pair[0].clone())),
            None => Ok(accounts),
        }
    }
}

impl Accounts {
    fn add(&mut self, account: Account, keys: &[SmolStr]) -> Result<(), Error> {
        let name = &account.name;
        if name.is_empty() || !name.bytes().all(|it| it.is_ascii_graphic()) {
            return Err(Error::NameUnusable(name.clone()));
        }
        let position = u32::try_from(self.all.len()).unwrap_or(u32::MAX);
        for key in keys {
            if key.is_empty() {
                return Err(Error::KeyEmpty(name.clone()));
            }
            let holder = *self.by_key.entry(Digest::from(key.as_bytes())).or_insert(position);
            if let Some(other) = self.all.get(holder as usize) {
                return Err(Error::KeyShared(other.name.clone(), name.clone()));
            }
        }
        self.all.push(Rc::new(account));
        Ok(())
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: &Digest) -> Option<&Rc<Account>> {
        self.all.get(*self.by_key.get(key)? as usize)
    }

    /// Returns all accounts.
    pub fn all(&self) -> &[Rc<Account>] {
        &self.all
    }
}

/// State of the accounts on this host.
#[derive(Debug, Default)]
pub struct State {
    /// How lately the configuration in force was the newest one.
    pub freshness: freshness::Tracker,
    /// Time from which on requests with a key are refused, since no proof is young enough.
    pub(crate) unproven_since: Option<Moment>,
}
