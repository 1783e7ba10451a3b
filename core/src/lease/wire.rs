//! JSON of a lease's row.

use serde::{Deserialize, Serialize};

use super::{Malformed, Owner};
use crate::id;

/// One run of an entry host, as stored in a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub host: id::Host,
    /// Run of the host's process.
    pub incarnation: id::Incarnation,
}

/// Contents of a lease's row, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Current holder; `None` after it released the lease.
    pub holder: Option<Holder>,
    /// Raised by each acquisition of the lease; first part of the fencing tokens of its orders.
    pub epoch: id::Epoch,
    /// Number of writes by the holder since it acquired the lease.
    pub renewal: u64,
    /// Random token of the write that stored this record.
    pub token: id::Token,
}

impl Record {
    /// Parses the contents of a row; fields are not validated.
    ///
    /// # Errors
    /// Fails when the text is not the expected JSON.
    pub fn parse(text: &str) -> Result<Record, Malformed> {
        Ok(serde_json::from_str(text)?)
    }

    /// Serializes the contents of a row.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a lease record serializes to JSON")
    }
}

impl From<&Owner> for Holder {
    fn from(owner: &Owner) -> Holder {
        Holder { host: owner.host.clone(), incarnation: owner.incarnation }
    }
}

impl TryFrom<Holder> for Owner {
    type Error = Malformed;

    fn try_from(holder: Holder) -> Result<Owner, Malformed> {
        if holder.host.is_empty() {
            return Err(Malformed::Field("host"));
        }
        Ok(Owner { host: holder.host, incarnation: holder.incarnation })
    }
}

impl From<&super::Record> for Record {
    fn from(record: &super::Record) -> Record {
        Record {
            holder: record.owner.as_ref().map(Holder::from),
            epoch: record.epoch,
            renewal: record.renewal,
            token: record.token,
        }
    }
}

impl TryFrom<Record> for super::Record {
    type Error = Malformed;

    fn try_from(record: Record) -> Result<super::Record, Malformed> {
        if record.epoch == 0 {
            return Err(Malformed::Field("epoch"));
        }
        let owner = record.holder.map(Owner::try_from).transpose()?;
        Ok(super::Record {
            owner,
            epoch: record.epoch,
            renewal: record.renewal,
            token: record.token,
        })
    }
}
