//! Stored form of a group's row.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    drain, id,
    lease::{Malformed, wire::Holder},
    target::{Action, Fence},
};

/// A group's row, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Epoch of the last holder that took over the group.
    pub epoch: id::Epoch,
    /// Number that rises with each write.
    pub revision: id::Version,
    /// Sequence number of the epoch's last order.
    pub sequence: id::Sequence,
    /// Random token that identifies the write.
    pub token: id::Token,
    /// Targets with a wanted change, a drain or a pending order.
    #[serde(default)]
    pub targets: BTreeMap<id::Target, Entry>,
}

/// State of one target, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Requested change that is not complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted: Option<Action>,
    /// Drain in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<Drain>,
    /// Order that may still take effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<Pending>,
}

/// A drain, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Revision of the row that began the drain.
    pub revision: id::Version,
    /// Why the target is drained.
    pub purpose: Purpose,
}

/// Why a target is drained, as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// An order follows.
    Order,
    /// An announced change covers the target.
    Announced,
    /// The target is withdrawn from the fleet.
    Withdrawn,
}

/// A pending order, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// Fencing token.
    pub fence: Fence,
    /// Change that the order asks for.
    #[serde(flatten)]
    pub action: Action,
    /// Run of the host that recorded the order; no other run may send it.
    pub sender: Holder,
    /// Whether an operator has confirmed that the sender can no longer send the order.
    #[serde(default)]
    pub released: bool,
}

impl Group {
    /// Parses the JSON text of a row.
    ///
    /// # Errors
    /// Fails when the text does not have the expected JSON form.
    pub fn parse(text: &str) -> Result<Group, Malformed> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the JSON text of the row.
    pub fn text(&self) -> String {
        serde_json::to_string(self)
            .expect("a group always serialises to JSON: its map keys are strings")
    }
}

impl From<&super::Group> for Group {
    fn from(group: &super::Group) -> Group {
        let targets = group.targets.iter();
        Group {
            epoch: group.epoch,
            revision: group.revision,
            sequence: group.sequence,
            token: group.token,
            targets: targets.map(|(target, it)| (target.clone(), Entry::from(it))).collect(),
        }
    }
}

impl TryFrom<Group> for super::Group {
    type Error = Malformed;

    fn try_from(group: Group) -> Result<super::Group, Malformed> {
        if group.epoch == 0 {
            return Err(Malformed::Field("epoch"));
        }
        if group.revision == 0 {
            return Err(Malformed::Field("revision"));
        }
        let mut targets = BTreeMap::new();
        for (target, entry) in group.targets {
            let entry = super::Entry::try_from(entry)?;
            if entry.drain.as_ref().is_some_and(|it| group.revision < it.revision) {
                return Err(Malformed::Field("drain.revision"));
            }
            targets.insert(target, entry);
        }
        Ok(super::Group {
            epoch: group.epoch,
            revision: group.revision,
            sequence: group.sequence,
            token: group.token,
            targets,
        })
    }
}

impl From<&super::Entry> for Entry {
    fn from(entry: &super::Entry) -> Entry {
        Entry {
            wanted: entry.wanted.clone(),
            drain: entry.drain.as_ref().map(Drain::from),
            pending: entry.pending.as_ref().map(Pending::from),
        }
    }
}

impl TryFrom<Entry> for super::Entry {
    type Error = Malformed;

    fn try_from(entry: Entry) -> Result<super::Entry, Malformed> {
        Ok(super::Entry {
            wanted: entry.wanted,
            drain: entry.drain.map(drain::Drain::from),
            pending: entry.pending.map(super::Pending::try_from).transpose()?,
        })
    }
}

impl From<&super::Pending> for Pending {
    fn from(pending: &super::Pending) -> Pending {
        Pending {
            fence: pending.fence,
            action: pending.action.clone(),
            sender: Holder::from(&pending.sender),
            released: pending.released,
        }
    }
}

impl TryFrom<Pending> for super::Pending {
    type Error = Malformed;

    fn try_from(pending: Pending) -> Result<super::Pending, Malformed> {
        if pending.fence.epoch == 0 {
            return Err(Malformed::Field("pending.fence.epoch"));
        }
        Ok(super::Pending {
            fence: pending.fence,
            action: pending.action,
            sender: pending.sender.try_into()?,
            released: pending.released,
        })
    }
}

impl From<&drain::Drain> for Drain {
    fn from(drain: &drain::Drain) -> Drain {
        let purpose = match drain.purpose {
            drain::Purpose::Order => Purpose::Order,
            drain::Purpose::Announced => Purpose::Announced,
            drain::Purpose::Withdrawn => Purpose::Withdrawn,
        };
        Drain { revision: drain.revision, purpose }
    }
}

impl From<Drain> for drain::Drain {
    fn from(drain: Drain) -> drain::Drain {
        let purpose = match drain.purpose {
            Purpose::Order => drain::Purpose::Order,
            Purpose::Announced => drain::Purpose::Announced,
            Purpose::Withdrawn => drain::Purpose::Withdrawn,
        };
        drain::Drain { revision: drain.revision, purpose }
    }
}
