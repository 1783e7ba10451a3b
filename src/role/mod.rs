//! Planning of engine roles.
