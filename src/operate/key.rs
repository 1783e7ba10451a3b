//! Who may use the operators' interface.

use std::net::IpAddr;

use crate::utils;

/// Rule by which callers of the operators' interface are let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Callers on the loopback interface need no key.
    Loopback,
    /// Every caller needs the key with this hash.
    Key(String),
}

/// Why a caller was not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The caller is on another machine and no key is set.
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
    /// Checks a caller by its address and the key that it presents.
    ///
    /// # Errors
    /// Returns why it is not let in.
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
