//! Access control of the operators' interface.

use std::net::IpAddr;

use crate::utils;

/// Rule that decides who may use the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Only clients with a loopback address have access; they need no key.
    Loopback,
    /// Every client needs the key with this hash.
    Key(String),
}

/// Reason for which access was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The client's address is not a loopback address, and no key is configured.
    #[error("only loopback is let in; set host.operators_key_hash to open the port to others")]
    NotLoopback,
    /// The key is missing or wrong.
    #[error("the operators' key is missing or wrong; set FUCHSIAKNOT_KEY")]
    WrongKey,
}

impl From<Option<String>> for Access {
    fn from(hash: Option<String>) -> Access {
        hash.map_or(Access::Loopback, Access::Key)
    }
}

impl Access {
    /// Checks whether a client with this address and key has access.
    ///
    /// # Errors
    /// Returns the reason for which access is denied.
    pub fn check(&self, address: IpAddr, key: Option<&str>) -> Result<(), Denied> {
        match self {
            Access::Loopback if address.is_loopback() => Ok(()),
            Access::Loopback => Err(Denied::NotLoopback),
            Access::Key(hash) => {
                let given = utils::key_hash(key.unwrap_or_default());
                match utils::constant_time_eq(&given, hash) {
                    true => Ok(()),
                    false => Err(Denied::WrongKey),
                }
            }
        }
    }
}
