//! Contents of a row: a byte with the number of the format, then the records.

use crate::stream_archive::Group;

/// Number of the format of this build.
const FORMAT: u8 = 1;

/// Contents of a row that this build cannot read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The row was written by a build with another format.
    #[error("the row has the format {0}")]
    OtherFormat(u8),
    /// The row has no format or its records cannot be decoded.
    #[error("the records of the row cannot be decoded")]
    Unreadable,
}

/// Records of streams as a row holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row(pub Vec<Group>);

impl TryFrom<&Row> for Vec<u8> {
    type Error = postcard::Error;

    fn try_from(row: &Row) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = vec![FORMAT];
        bytes.extend(postcard::to_stdvec(&row.0)?);
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Row {
    type Error = Malformed;

    fn try_from(bytes: &[u8]) -> Result<Row, Malformed> {
        match bytes.split_first() {
            Some((&FORMAT, records)) => {
                postcard::from_bytes(records).map(Row).map_err(|_| Malformed::Unreadable)
            }
            Some((format, _)) => Err(Malformed::OtherFormat(*format)),
            None => Err(Malformed::Unreadable),
        }
    }
}
