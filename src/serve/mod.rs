//! The callers' interface.
