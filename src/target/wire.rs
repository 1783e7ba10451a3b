//! Messages of the targets' HTTP interface that are not types of their own.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Body of `POST /cancel`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// Generation to cancel.
    #[serde(rename = "request")]
    pub request_id: SmolStr,
}
