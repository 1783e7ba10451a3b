//! Admission of requests under each plan's share.
