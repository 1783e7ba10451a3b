//! Bodies of the targets' HTTP interface that other modules don't define.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Body of `POST /cancel`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// Request id of the generation to cancel.
    #[serde(rename = "request")]
    pub request_id: SmolStr,
}
