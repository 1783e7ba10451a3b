//! Claims that make a request run at most once.
