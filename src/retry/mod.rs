//! Retries by verdict, budget and deadline.
