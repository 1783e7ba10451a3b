//! Hashes, key comparison and loopback listeners for several modules.

use std::net::{SocketAddr, TcpListener};

/// Returns the hexadecimal BLAKE3 hash under which a caller's or operator's key is stored.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Compares two strings in constant time: the time depends only on their lengths.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    use subtle::ConstantTimeEq;
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Binds a listener to a free loopback port.
///
/// # Errors
/// Fails when no port is free.
pub fn bind_loopback() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Returns a hash of a request's parts.
///
/// Each part is hashed with its length, so that moving bytes from one part to the next changes the
/// hash.
pub fn fingerprint(parts: &[&[u8]]) -> crate::id::Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
