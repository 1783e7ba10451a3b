//! Data centres and the distances between them.
