//! Entry hosts: membership, joining and leaving.
